//! Runs for office, keeps it, and gives it up in time.

use super::leading;
use super::node::{Inner, Node};
use super::peers;
use super::state::StateError;
use crate::core::leadership::{FOUNDED_KEY, HEIR_KEY, LEADER_KEY, LeaderRecord, Office, YIELD};
use crate::ids::Term;
use crate::peer::HelloAnswer;
use crate::time::Span;
use crate::wire::{Change, Guard, Txn};
use log::{info, warn};
use serde_json::json;
use std::sync::Arc;

const POLL: Span = Span(350);

pub async fn run(node: Arc<Node>) {
    let mut founded = true;
    // Whoever has held the key until just now has no promise to keep: promises are made to the
    // holder of the key.
    let mut held_it = false;
    loop {
        let row = node.state.get(&node.http, LEADER_KEY).await;
        node.heard_state(&row);
        match row {
            Ok(Some(row)) => {
                let record = serde_json::from_value::<LeaderRecord>(row.value).ok();
                let name = record.as_ref().map(|r| r.node.clone());
                let mine = record.filter(|r| r.node == node.settings.name);
                node.lock().leader_name = name;
                held_it = false;
                if let Some(r) = mine {
                    // An earlier process here led, and there is only ever one at an address: the
                    // lease can be ended for it. Its late bids and answers are outranked.
                    info!("ending the lease of an earlier process here");
                    let ended = node.state.end(&node.http, r.hold).await;
                    node.heard_state(&ended);
                    held_it = ended.is_ok();
                    tokio::time::sleep(Span(20).std()).await;
                    continue;
                }
            }
            Ok(None) => {
                node.lock().leader_name = None;
                if founded {
                    let f = node.state.get(&node.http, FOUNDED_KEY).await;
                    node.heard_state(&f);
                    founded = !matches!(f, Ok(None));
                }
                let may = {
                    let now = node.now();
                    node.lock().leadership.may_run(now, founded && !held_it)
                };
                if may && !must_yield(&node).await {
                    held_it = false;
                    if let Some(office) = bid(&node).await {
                        founded = true;
                        hold_office(&node, office).await;
                        continue;
                    }
                    tokio::time::sleep(Span(rand::random::<u64>() % 200).std()).await;
                }
            }
            Err(StateError::Refused | StateError::Unknown(_)) => ask_about_state(&node).await,
            Err(_) => {}
        }
        tokio::time::sleep(POLL.std()).await;
    }
}

/// Whether a peer is served, which makes this controller the one to avoid.
async fn ask_about_state(node: &Arc<Node>) {
    let answers = peers::ask_all(node, &peers::hello(node), Span(700)).await;
    heard_peers(&mut node.lock(), &answers);
}

fn heard_peers(i: &mut Inner, answers: &[Option<HelloAnswer>]) {
    i.peer_has_state = answers.iter().flatten().any(|a| a.state_ok);
    i.alone = !answers.is_empty() && answers.iter().all(Option::is_none);
    i.leader_by_peers = answers.iter().flatten().map(|a| a.leader.clone()).find(|l| !l.is_empty());
}

async fn bid(node: &Arc<Node>) -> Option<Office> {
    let asked_at = node.now();
    let hold = node.state.hold(&node.http, node.settings.state_ttl()).await;
    node.heard_state(&hold);
    let hold = hold.ok()?;
    let record = LeaderRecord { node: node.settings.name.clone(), incarnation: node.incarnation, hold };
    {
        let now = node.now();
        let mut i = node.lock();
        // A promise may have been given since.
        if !i.leadership.may_run(now, false) {
            return None;
        }
        i.leadership.bid_sent();
    }
    let txn = Txn {
        guards: vec![Guard { path: LEADER_KEY.into(), stamp: 0 }],
        apply: vec![
            Change::Write { write: LEADER_KEY.into(), value: json!(record), tenure: Some(hold.0) },
            Change::write(FOUNDED_KEY, json!(true)),
        ],
    };
    let result = node.state.commit(&node.http, &txn).await;
    node.heard_state(&result);
    let mut term = None;
    match result {
        Ok(Ok(epoch)) => term = Some(Term(epoch)),
        Ok(Err(_)) | Err(StateError::Refused | StateError::Busy | StateError::Status(_)) => {}
        Err(StateError::Unknown(_) | StateError::TooLarge) => {
            // Perhaps carried out, perhaps yet to be: the key says, or the lease is ended so that
            // it never can be.
            loop {
                let row = node.state.get(&node.http, LEADER_KEY).await;
                node.heard_state(&row);
                if let Ok(Some(row)) = &row
                    && serde_json::from_value::<LeaderRecord>(row.value.clone()).ok().as_ref() == Some(&record)
                {
                    term = Some(Term(row.stamp));
                    break;
                }
                if row.is_ok() && node.state.end(&node.http, hold).await.is_ok() {
                    break;
                }
                tokio::time::sleep(POLL.std()).await;
            }
        }
    }
    let mut i = node.lock();
    i.leadership.bid_settled();
    let term = term?;
    i.leadership.took_office(term, hold, asked_at);
    i.leader_name = Some(node.settings.name.clone());
    i.leadership.office()
}

/// Renews the lease until it is lost.
async fn hold_office(node: &Arc<Node>, office: Office) {
    info!("leading: term={}", office.term);
    let work = tokio::spawn(leading::run(node.clone(), office.term));
    let ttl = node.settings.state_ttl();
    let mut acting = true;
    loop {
        let asked_at = node.now();
        let renewed = node.state.extend(&node.http, office.hold, Span(900)).await;
        node.heard_state(&renewed);
        match renewed {
            Ok(true) => node.lock().leadership.renewed(asked_at),
            Ok(false) => break,
            Err(e) => {
                warn!("the lease could not be renewed: {e}");
                hold_on(node, office.term).await;
            }
        }
        let heir = node.lock().heir.take();
        if let Some(heir) = heir {
            hand_over(node, office, heir).await;
            break;
        }
        let now = node.now();
        let acts = node.lock().leadership.acting(now).is_some();
        if acts != acting {
            acting = acts;
            info!("{}: term={}", if acts { "acting again" } else { "no longer acting" }, office.term);
        }
        let pause = if renewed_late(node, asked_at) { Span(100) } else { Span(ttl.0 / 6) };
        tokio::time::sleep(pause.std()).await;
    }
    warn!("office lost: term={}", office.term);
    let mut i = node.lock();
    i.leadership.lost_office();
    i.leader = None;
    i.leader_name = None;
    drop(i);
    work.abort();
}

/// Stops acting, tells the peers who is to come, and ends the lease.
async fn hand_over(node: &Arc<Node>, office: Office, heir: String) {
    {
        let now = node.now();
        let mut i = node.lock();
        i.leadership.lost_office();
        i.leadership.yield_office(now);
        i.leader = None;
        i.leader_name = None;
    }
    let mut hello = peers::hello(node);
    hello.heir = heir;
    // A peer that the leader can't reach reads of it in the state service.
    let (_, told) = tokio::join!(peers::ask_all(node, &hello, Span(300)), name_heir(node, office, &hello.heir));
    node.heard_state(&told);
    // Unanswered, the lease ends by itself.
    let ended = node.state.end(&node.http, office.hold).await;
    node.heard_state(&ended);
}

async fn name_heir(node: &Arc<Node>, office: Office, heir: &str) -> Result<(), StateError> {
    let hold = node.state.hold(&node.http, YIELD).await?;
    let txn = Txn {
        guards: vec![Guard { path: LEADER_KEY.into(), stamp: office.term.0 }],
        apply: vec![Change::Write { write: HEIR_KEY.into(), value: json!(heir), tenure: Some(hold.0) }],
    };
    node.state.commit(&node.http, &txn).await.map(drop)
}

/// Whether a leader that has just handed over named somebody else.
async fn must_yield(node: &Arc<Node>) -> bool {
    let row = node.state.get(&node.http, HEIR_KEY).await;
    node.heard_state(&row);
    matches!(row, Ok(Some(row)) if row.value.as_str() != Some(&node.settings.name))
}

fn renewed_late(node: &Node, asked_at: crate::time::Mono) -> bool {
    node.now() - asked_at > Span(1_000)
}

/// Refused by the state service: stays in office only if every peer is refused and promises not
/// to run.
async fn hold_on(node: &Arc<Node>, term: Term) {
    let asked_at = node.now();
    let mut hello = peers::hello(node);
    hello.hold_on = true;
    hello.leading = true;
    hello.term = term.0;
    let answers = peers::ask_all(node, &hello, Span(800)).await;
    let shortest = answers.iter().map(|a| a.as_ref().map_or(0, |a| a.promise_ms)).min().unwrap_or(0);
    let mut i = node.lock();
    heard_peers(&mut i, &answers);
    if shortest > 0 {
        i.leadership.all_promised(asked_at, Span(shortest));
    }
}
