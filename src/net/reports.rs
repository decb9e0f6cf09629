//! Workers' reports: the leader decides on them, other controllers pass them on or name the leader.

use super::forwarding::{self, Forwarded};
use super::leading;
use super::node::{Inner, Node};
use super::step_times::Step;
use crate::core::fleet::Route;
use crate::core::leader::answer_without_ledger;
use crate::ids::MachineId;
use crate::peer::{ReportBatch, ReportDecision, ReportDecisions, VERSION};
use crate::time::MonotonicTime;
use crate::wire::{Report, ReportAnswer};
use bytes::Bytes;
use prost::Message;
use serde_json::json;
use std::sync::Arc;

/// Reports of a batch that are decided on in one step; what else there is to do has its turn in between.
const REPORTS_PER_STEP: usize = 256;

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
        Forwarded::Unanswered => redirect(node.lock().detours.take_turn().as_deref()),
        Forwarded::Unavailable => answer_directly(node, body),
    }
}

fn answer_directly(node: &Arc<Node>, body: &[u8]) -> ReportDecision {
    let Ok(report) = serde_json::from_slice::<Report>(body) else { return malformed() };
    match decide(node, std::slice::from_ref(&report), None) {
        Some(mut decisions) => decisions.pop().unwrap_or_else(|| decided(None)),
        None => redirect(known_leader(node, &report).as_deref()),
    }
}

/// The leader's decisions on reports that arrived together, passed on by a peer or not; none: this
/// controller does not lead.
fn decide(node: &Arc<Node>, reports: &[Report], by: Option<&str>) -> Option<Vec<ReportDecision>> {
    let now = node.now();
    let moves = {
        let mut inner = node.lock();
        let term = inner.leadership.acting(now)?;
        if inner.leader.is_none() {
            return Some(reports.iter().map(|r| decided(Some(answer_without_ledger(term, r)))).collect());
        }
        reports.iter().map(|r| inner.moved_to(now, r, by)).collect::<Vec<_>>()
    };
    let route = route(node, by);
    leading::feed(node, Step::Reports, |leader| {
        let decide_one = |(report, moved): (&Report, Option<String>)| match moved {
            Some(peer) => redirect(Some(&peer)),
            None => decided(leader.on_report_by(now, report, route)),
        };
        reports.iter().zip(moves).map(decide_one).collect()
    })
}

/// The way that reports take which a peer passes on.
fn route(node: &Node, by: Option<&str>) -> Route {
    let index = by.and_then(|name| node.settings.peers.iter().position(|peer| peer.name == name));
    index.map_or(Route::DIRECT, Route::by_peer)
}

impl Inner {
    /// The peer that should take a worker's reports from now on; none: it stays where it is.
    fn moved_to(&mut self, now: MonotonicTime, report: &Report, by: Option<&str>) -> Option<String> {
        // First, as most workers are where they should be.
        let peer = self.offloading.better_peer(now, &report.zone, by)?.to_string();
        let id = MachineId::parse(&report.machine)?;
        if !self.leader.as_ref()?.may_move(now, &id) {
            return None;
        }
        self.offloading.moved(now);
        Some(peer)
    }
}

/// Whom to send a worker to that can't be answered here.
fn known_leader(node: &Node, report: &Report) -> Option<String> {
    let now = node.now();
    let mut inner = node.lock();
    if let Some(peer) = inner.detours.take_turn() {
        return Some(peer);
    }
    // A worker that the leader doesn't hear would only wait there in vain. And a name read before the
    // state service fell silent may send it round in circles; peers may know.
    let known = if inner.store_refused_since.is_some() { &inner.leader_per_peers } else { &inner.leader_name };
    let known = if inner.silent.contains(&report.machine) { None } else { known.clone() };
    inner.note_misdirected(&report.machine, now, known).filter(|name| *name != node.settings.name)
}

/// Decides on reports that a peer has passed on; none: the message can't be read or is of another
/// version.
pub async fn answer_batch(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let batch = ReportBatch::decode(body).ok().filter(|b| b.version == VERSION)?;
    let decisions = decide_in_parts(node, &batch).await;
    let leading = decisions.is_some();
    let answer = ReportDecisions { version: VERSION, leading, decisions: decisions.unwrap_or_default() };
    Some(answer.encode_to_vec())
}

/// Decides on all reports of a batch; none: this controller does not lead, or not any more.
async fn decide_in_parts(node: &Arc<Node>, batch: &ReportBatch) -> Option<Vec<ReportDecision>> {
    // An empty batch asks whether this controller leads.
    let (first, rest) = batch.reports.split_at(batch.reports.len().min(REPORTS_PER_STEP));
    let mut decisions = decide_part(node, first, &batch.from)?;
    for part in rest.chunks(REPORTS_PER_STEP) {
        tokio::task::yield_now().await;
        decisions.extend(decide_part(node, part, &batch.from)?);
    }
    Some(decisions)
}

/// Decides on some reports of a batch; none: this controller does not lead.
fn decide_part(node: &Arc<Node>, reports: &[Bytes], from: &str) -> Option<Vec<ReportDecision>> {
    let mut readable = Vec::new();
    let mut is_readable = Vec::new();
    for report in reports {
        let report = serde_json::from_slice::<Report>(report);
        is_readable.push(report.is_ok());
        readable.extend(report);
    }
    let mut decisions = decide(node, &readable, Some(from))?.into_iter();
    let mut next = |readable| if readable { decisions.next().unwrap_or_else(|| decided(None)) } else { malformed() };
    Some(is_readable.into_iter().map(&mut next).collect())
}
