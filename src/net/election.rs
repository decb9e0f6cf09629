//! Runs for leader, keeps it, and gives it up in time.

use super::kv::{CommitError, KvError};
use super::leader_loop;
use super::node::{Node, NodeState};
use super::peers;
use crate::core::election::{INITIALIZED_KEY, LEADER_KEY, LeaderLease, LeaderRecord, SUCCESSOR_BACKOFF, SUCCESSOR_KEY};
use crate::core::records::JobOutcome;
use crate::ids::{Revision, Term};
use crate::peer::PeerHeartbeatResponse;
use crate::time::Millis;
use crate::wire::{Mutation, Precondition, Transaction};
use log::{info, warn};
use serde_json::json;
use std::sync::Arc;

const POLL_INTERVAL: Millis = Millis(350);

pub async fn run(node: Arc<Node>) {
    let mut initialized = true;
    // Whoever has held the key until just now has no pledge to keep: pledges are made to the
    // holder of the key.
    let mut held_it = false;
    loop {
        if !node.lock().cancellations.is_known()
            && let Ok(revision) = node.track_store(node.kv.revision(&node.http)).await
        {
            node.lock().cancellations.at_revision(revision);
        }
        let row = node.track_store(node.kv.get(&node.http, LEADER_KEY)).await;
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
                    let ended = node.track_store(node.kv.revoke(&node.http, r.lease)).await;
                    held_it = ended.is_ok();
                    tokio::time::sleep(Millis(20).to_std()).await;
                    continue;
                }
            }
            Ok(None) => {
                node.lock().leader_name = None;
                if initialized {
                    let f = node.track_store(node.kv.get(&node.http, INITIALIZED_KEY)).await;
                    initialized = !matches!(f, Ok(None));
                }
                let may = {
                    let now = node.now();
                    node.lock().election.may_stand(now, initialized && !held_it)
                };
                if may && !must_back_off(&node).await {
                    held_it = false;
                    if let Some((leader_lease, record)) = stand_for_election(&node).await {
                        initialized = true;
                        keep_leading(&node, leader_lease, record).await;
                        continue;
                    }
                    tokio::time::sleep(Millis(rand::random::<u64>() % 200).to_std()).await;
                }
            }
            Err(KvError::Refused | KvError::Unknown(_)) => probe_peers(&node).await,
            Err(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL.to_std()).await;
    }
}

/// Whether a peer is served, which makes this controller the one to avoid.
async fn probe_peers(node: &Arc<Node>) {
    let answers = peers::ask_all(node, &peers::peer_heartbeat(node), Millis(700)).await;
    record_peer_answers(&mut node.lock(), &answers);
}

fn record_peer_answers(inner: &mut NodeState, answers: &[Option<PeerHeartbeatResponse>]) {
    inner.peer_reaches_store = answers.iter().flatten().any(|a| a.store_ok);
    inner.no_peer_answers = !answers.is_empty() && answers.iter().all(Option::is_none);
    inner.leader_per_peers = answers.iter().flatten().map(|a| a.leader.clone()).find(|l| !l.is_empty());
}

async fn stand_for_election(node: &Arc<Node>) -> Option<(LeaderLease, LeaderRecord)> {
    let asked_at = node.now();
    let lease = node.track_store(node.kv.grant(&node.http, node.settings.state_ttl())).await.ok()?;
    let record = LeaderRecord { node: node.settings.name.clone(), incarnation: node.incarnation, lease };
    {
        let now = node.now();
        let mut inner = node.lock();
        // A pledge may have been given since.
        if !inner.election.may_stand(now, false) {
            return None;
        }
        inner.election.candidacy_sent();
    }
    let transaction = Transaction {
        preconditions: vec![Precondition { key: LEADER_KEY.into(), revision: 0 }],
        mutations: vec![
            Mutation::Put { key: LEADER_KEY.into(), value: json!(record), lease: Some(lease.0) },
            Mutation::put(INITIALIZED_KEY, json!(true)),
        ],
    };
    let result = node.commit(&transaction).await;
    let mut term = None;
    match result {
        Ok(revision) => term = Some(Term(revision.0)),
        Err(CommitError::Conflict(_) | CommitError::Store(KvError::Refused | KvError::Busy | KvError::Status(_))) => {}
        Err(CommitError::Store(KvError::Unknown(_) | KvError::TooLarge)) => {
            // Perhaps carried out, perhaps yet to be: the key says, or the lease is ended so that
            // it never can be.
            loop {
                let row = node.track_store(node.kv.get(&node.http, LEADER_KEY)).await;
                if let Ok(Some(row)) = &row
                    && serde_json::from_value::<LeaderRecord>(row.value.clone()).ok().as_ref() == Some(&record)
                {
                    term = Some(Term(row.revision));
                    break;
                }
                if row.is_ok() && node.kv.revoke(&node.http, lease).await.is_ok() {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL.to_std()).await;
            }
        }
    }
    let mut inner = node.lock();
    inner.election.candidacy_settled();
    let term = term?;
    inner.election.elected(term, lease, asked_at);
    inner.leader_name = Some(node.settings.name.clone());
    Some((inner.election.lease()?, record))
}

/// Renews the lease until it is lost.
async fn keep_leading(node: &Arc<Node>, leader_lease: LeaderLease, record: LeaderRecord) {
    info!("leading: term={}", leader_lease.term);
    let work = tokio::spawn(leader_loop::run(node.clone(), leader_lease.term, record));
    let ttl = node.settings.state_ttl();
    let mut active_term = true;
    let mut pledged = false;
    loop {
        let asked_at = node.now();
        let renewed = node.track_store(node.kv.renew(&node.http, leader_lease.id, Millis(900))).await;
        match renewed {
            Ok(true) => {
                let mut inner = node.lock();
                inner.election.renewed(asked_at);
                pledged = false;
                set_in_doubt(&mut inner, false);
            }
            Ok(false) => break,
            Err(e) => {
                warn!("the lease could not be renewed: {e}");
                // Others may be served, and tell users of cancellations that can't be read here.
                // What the peers have pledged last holds until they are asked again.
                set_in_doubt(&mut node.lock(), !pledged);
                pledged = extend_lease(node, leader_lease.term).await;
                set_in_doubt(&mut node.lock(), !pledged);
            }
        }
        let successor = node.lock().successor.take();
        if let Some(successor) = successor {
            hand_over(node, leader_lease, successor).await;
            break;
        }
        let now = node.now();
        let acts = node.lock().election.active_term(now).is_some();
        if acts != active_term {
            active_term = acts;
            info!("{}: term={}", if acts { "acting again" } else { "no longer acting" }, leader_lease.term);
        }
        let pause = if renewed_late(node, asked_at) { Millis(100) } else { Millis(ttl.0 / 6) };
        tokio::time::sleep(pause.to_std()).await;
    }
    warn!("no longer leader: term={}", leader_lease.term);
    let mut inner = node.lock();
    inner.election.step_down();
    inner.scheduler = None;
    inner.leader_name = None;
    drop(inner);
    work.abort();
}

/// Stops acting, tells the peers who is to come, and ends the lease.
async fn hand_over(node: &Arc<Node>, leader_lease: LeaderLease, successor: String) {
    let fence_revision = {
        let now = node.now();
        let mut inner = node.lock();
        inner.election.step_down();
        inner.election.back_off_for_successor(now);
        inner.leader_name = None;
        inner.scheduler.take().map_or(Revision(leader_lease.term.0), |scheduler| scheduler.fence_revision())
    };
    let mut peer_heartbeat = peers::peer_heartbeat(node);
    peer_heartbeat.successor = successor;
    // A peer that the leader can't reach reads of it in the state service.
    let _ = tokio::join!(
        peers::ask_all(node, &peer_heartbeat, Millis(300)),
        node.track_store(name_successor(node, fence_revision, &peer_heartbeat.successor))
    );
    // Unanswered, the lease ends by itself.
    let _ = node.track_store(node.kv.revoke(&node.http, leader_lease.id)).await;
}

async fn name_successor(node: &Arc<Node>, fence_revision: Revision, successor: &str) -> Result<(), KvError> {
    let lease = node.kv.grant(&node.http, SUCCESSOR_BACKOFF).await?;
    let transaction = Transaction {
        preconditions: vec![Precondition { key: LEADER_KEY.into(), revision: fence_revision.0 }],
        mutations: vec![Mutation::Put { key: SUCCESSOR_KEY.into(), value: json!(successor), lease: Some(lease.0) }],
    };
    match node.kv.commit(&node.http, &transaction).await {
        // A conflict means that another leads already.
        Ok(_) | Err(CommitError::Conflict(_)) => Ok(()),
        Err(CommitError::Store(error)) => Err(error),
    }
}

/// Whether a leader that has just handed over named somebody else.
async fn must_back_off(node: &Arc<Node>) -> bool {
    let row = node.track_store(node.kv.get(&node.http, SUCCESSOR_KEY)).await;
    matches!(row, Ok(Some(row)) if row.value.as_str() != Some(&node.settings.name))
}

fn renewed_late(node: &Node, asked_at: crate::time::MonotonicTime) -> bool {
    node.now() - asked_at > Millis(1_000)
}

/// Starts wait while it isn't known what users have been told meanwhile.
fn set_in_doubt(inner: &mut NodeState, in_doubt: bool) {
    if let Some(scheduler) = &mut inner.scheduler {
        scheduler.set_in_doubt(in_doubt);
    }
}

/// Refused by the state service: goes on leading only if every peer is refused, pledges not to run,
/// and has passed on the cancellations that can't have been read here. True: all have.
async fn extend_lease(node: &Arc<Node>, term: Term) -> bool {
    let asked_at = node.now();
    let mut peer_heartbeat = peers::peer_heartbeat(node);
    peer_heartbeat.asks_extension = true;
    peer_heartbeat.leading = true;
    peer_heartbeat.term = term.0;
    peer_heartbeat.read_through = node.lock().election.lease().map_or(0, |o| o.read_through.0);
    let answers = peers::ask_all(node, &peer_heartbeat, Millis(800)).await;
    // A pledge whose cancellations can't be read is none.
    let pledged = |a: &Option<PeerHeartbeatResponse>| {
        let a = a.as_ref().filter(|a| a.pledge_ms > 0)?;
        Some((Millis(a.pledge_ms), peers::jobs(&a.cancelled)?))
    };
    let pledges: Vec<_> = answers.iter().map(pledged).collect();
    let mut inner = node.lock();
    record_peer_answers(&mut inner, &answers);
    let Some(scheduler) = &mut inner.scheduler else { return false };
    for (_, cancelled) in pledges.iter().flatten() {
        cancelled.iter().for_each(|id| scheduler.on_job_terminated(id, JobOutcome::Cancelled));
    }
    // Without peers there is nobody to pledge.
    let shortest = pledges.iter().map(|p| p.as_ref().map_or(Millis(0), |p| p.0)).min().unwrap_or_default();
    let pledged = shortest > Millis(0);
    if pledged {
        inner.election.extend_on_pledges(asked_at, shortest);
    }
    drop(inner);
    leader_loop::perform_pending(node);
    pledged
}
