//! Workers' reports: the leader decides on them, other controllers pass them on or name the leader.

use super::forwarding::{self, Forwarded};
use super::leading;
use super::node::Node;
use crate::core::leader::answer_without_ledger;
use crate::ids::MachineId;
use crate::peer::{ReportBatch, ReportDecision, ReportDecisions, VERSION};
use crate::wire::{Report, ReportAnswer};
use bytes::Bytes;
use prost::Message;
use serde_json::json;
use std::sync::Arc;

fn decision(status: u32, body: impl Into<Bytes>) -> ReportDecision {
    ReportDecision { status, body: body.into() }
}

fn malformed() -> ReportDecision {
    decision(400, json!({"error": "not a report"}).to_string())
}

/// Names the controller that the worker should report to, if one is known.
fn redirect(to: Option<&str>) -> ReportDecision {
    let body = to.map_or(json!({}), |name| json!({ "steward": name }));
    decision(421, body.to_string())
}

fn decided(answer: Option<ReportAnswer>) -> ReportDecision {
    match answer {
        Some(answer) => decision(200, serde_json::to_vec(&answer).unwrap_or_default()),
        None => decision(503, json!({"error": "not answered"}).to_string()),
    }
}

/// Answers a worker that has reported to this controller.
pub async fn answer_worker(node: &Arc<Node>, body: &Bytes) -> ReportDecision {
    let acting = {
        let now = node.now();
        node.lock().leadership.acting(now).is_some()
    };
    if acting {
        return answer_directly(node, body);
    }
    match forwarding::forward(node, body.clone()).await {
        Forwarded::Decided(decision) => decision,
        Forwarded::Unanswered => redirect(None),
        Forwarded::Unavailable => answer_directly(node, body),
    }
}

fn answer_directly(node: &Arc<Node>, body: &[u8]) -> ReportDecision {
    let Ok(report) = serde_json::from_slice::<Report>(body) else { return malformed() };
    if let Some(peer) = moved_to(node, &report) {
        return redirect(Some(&peer));
    }
    match decide(node, std::slice::from_ref(&report)) {
        Some(mut answers) => decided(answers.pop().flatten()),
        None => redirect(known_leader(node, &report).as_deref()),
    }
}

/// The leader's decisions on reports that arrived together; none: this controller does not lead.
fn decide(node: &Arc<Node>, reports: &[Report]) -> Option<Vec<Option<ReportAnswer>>> {
    let now = node.now();
    let (term, loaded) = {
        let inner = node.lock();
        (inner.leadership.acting(now)?, inner.leader.is_some())
    };
    if loaded {
        return leading::feed(node, |leader| reports.iter().map(|r| leader.on_report(now, r)).collect());
    }
    Some(reports.iter().map(|r| Some(answer_without_ledger(term, r))).collect())
}

/// The peer that should take a worker's reports in the leader's place.
fn moved_to(node: &Node, report: &Report) -> Option<String> {
    let now = node.now();
    let mut inner = node.lock();
    inner.leadership.acting(now)?;
    let id = MachineId::parse(&report.machine)?;
    if !inner.leader.as_ref()?.is_confirmed(&id) {
        return None;
    }
    inner.offloading.next_peer(now)
}

/// Whom to send a worker to that can't be answered here.
fn known_leader(node: &Node, report: &Report) -> Option<String> {
    let now = node.now();
    let mut inner = node.lock();
    // A worker that the leader doesn't hear would only wait there in vain. And a name read before the
    // state service fell silent may send it round in circles; peers may know.
    let known = if inner.refused_since.is_some() { &inner.leader_by_peers } else { &inner.leader_name };
    let known = if inner.silent.contains(&report.machine) { None } else { known.clone() };
    inner.note_stray(&report.machine, now, known).filter(|name| *name != node.settings.name)
}

/// Decides on reports that a peer has passed on; none: the message can't be read or is of another
/// version.
pub fn answer_batch(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let batch = ReportBatch::decode(body).ok().filter(|b| b.version == VERSION)?;
    let mut readable = Vec::new();
    let mut is_readable = Vec::new();
    for report in &batch.reports {
        let report = serde_json::from_slice::<Report>(report);
        is_readable.push(report.is_ok());
        readable.extend(report);
    }
    let mut answer = ReportDecisions { version: VERSION, ..Default::default() };
    if let Some(answers) = decide(node, &readable) {
        let mut answers = answers.into_iter();
        let decide_one = |readable| if readable { decided(answers.next().flatten()) } else { malformed() };
        answer.leading = true;
        answer.decisions = is_readable.into_iter().map(decide_one).collect();
    }
    Some(answer.encode_to_vec())
}
