//! Words between controllers.

use super::node::Node;
use crate::core::miser;
use crate::peer::{Hello, HelloAnswer, PlanInput, PlanOutput, VERSION};
use crate::time::Span;
use hyper::Method;
use prost::Message;
use std::sync::Arc;

pub const HELLO: &str = "/peer/hello";
pub const PLAN: &str = "/peer/plan";

async fn ask(node: &Node, addr: &str, hello: &Hello, limit: Span) -> Option<HelloAnswer> {
    let answer = node.http.call(Method::POST, addr, HELLO, hello.encode_to_vec(), limit).await;
    let Ok((200, body)) = answer else { return None };
    HelloAnswer::decode(body).ok().filter(|a| a.version == VERSION)
}

/// Says hello to all peers at once; an answer for each, or none.
pub async fn ask_all(node: &Arc<Node>, hello: &Hello, limit: Span) -> Vec<Option<HelloAnswer>> {
    let mut asks = Vec::new();
    for p in &node.settings.peers {
        let (node, hello, addr) = (node.clone(), hello.clone(), p.addr.to_string());
        asks.push(tokio::spawn(async move { ask(&node, &addr, &hello, limit).await }));
    }
    let mut answers = Vec::new();
    for a in asks {
        answers.push(a.await.ok().flatten());
    }
    answers
}

pub fn hello(node: &Node) -> Hello {
    Hello { version: VERSION, from: node.settings.name.clone(), ..Default::default() }
}

/// Answers a peer; None: the message can't be read or is of another version.
pub fn answer(node: &Node, body: &[u8]) -> Option<Vec<u8>> {
    let hello = Hello::decode(body).ok().filter(|h| h.version == VERSION)?;
    let now = node.now();
    let mut i = node.lock();
    let strays = i.strays_among(&hello.silent, now);
    if hello.leading && !hello.hold_on {
        i.silent = hello.silent.into_iter().collect();
        i.take_counts(&hello.counts);
    }
    if !hello.heir.is_empty() && hello.heir != node.settings.name {
        i.leadership.yield_office(now);
    }
    let promise = if hello.hold_on { i.leadership.promise_to(now) } else { Span(0) };
    let state_ok = !i.leadership.is_refused();
    let leader = i.leader_name.clone().filter(|_| state_ok).unwrap_or_default();
    Some(HelloAnswer { version: VERSION, state_ok, promise_ms: promise.0, strays, leader }.encode_to_vec())
}

/// Has a peer plan for its share; none: it didn't.
pub async fn ask_plan(node: &Node, peer: &str, input: &PlanInput) -> Option<PlanOutput> {
    let addr = node.settings.peers.iter().find(|p| p.name == peer)?.addr.to_string();
    let answer = node.http.call(Method::POST, &addr, PLAN, input.encode_to_vec(), Span(400)).await;
    let Ok((200, body)) = answer else { return None };
    PlanOutput::decode(body).ok()
}

/// Plans for a leader. It decides nothing: the leader checks every placement.
pub fn plan(body: &[u8]) -> Option<Vec<u8>> {
    let input = PlanInput::decode(body).ok().filter(|i| i.version == VERSION)?;
    Some(miser::plan(&input).encode_to_vec())
}
