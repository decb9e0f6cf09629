//! Drives [`Election`](crate::core::election::Election): stands for leader, keeps the lease, and gives it up in
//! time.

use super::kv::{CommitError, KvError};
use super::leader_loop;
use super::node::{Node, NodeState};
use super::peers;
use crate::core::election::{
    INITIALIZED_KEY, LEADER_KEY, LeaderLease, LeaderRecord, Pledge, SUCCESSOR_BACKOFF, SUCCESSOR_KEY,
};
use crate::core::records::JobOutcome;
use crate::ids::{LeaseId, Revision, Term};
use crate::peer::{PeerHeartbeat, PeerHeartbeatResponse};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{KeyValue, Mutation, Precondition, Transaction};
use log::{info, warn};
use serde_json::json;
use std::sync::Arc;

/// How often the leader's key is read.
const POLL_INTERVAL: Millis = Millis(350);
/// How long the store may take to drop the key of a lease that was revoked.
const REVOKE_PAUSE: Millis = Millis(20);
/// Controllers that failed to be elected try again after a random part of this time.
const MAX_CANDIDACY_BACKOFF_MS: u64 = 200;
const RENEW_TIMEOUT: Millis = Millis(900);
/// A renewal that takes longer is followed by the next one at once.
const SLOW_RENEWAL: Millis = Millis(1_000);
const SLOW_RENEWAL_PAUSE: Millis = Millis(100);
/// How often the lease is renewed within its length.
const RENEWALS_PER_TTL: u64 = 6;
const PROBE_TIMEOUT: Millis = Millis(700);
const EXTENSION_TIMEOUT: Millis = Millis(800);
const HAND_OVER_TIMEOUT: Millis = Millis(300);

/// Takes part in the election for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut follower = Follower { initialized: true, held_key: false };
    loop {
        learn_store_revision(&node).await;
        let next = match node.track_store(node.kv.get(&node.http, LEADER_KEY)).await {
            Ok(Some(row)) => follower.on_key_held(&node, row).await,
            Ok(None) => follower.on_key_absent(&node).await,
            Err(KvError::Refused | KvError::Unknown(_)) => {
                probe_peers(&node).await;
                Next::Wait
            }
            Err(KvError::Busy | KvError::TooLarge | KvError::Status(_)) => Next::Wait,
        };
        match next {
            Next::Wait => tokio::time::sleep(POLL_INTERVAL.to_std()).await,
            Next::ReadAgain => {}
        }
    }
}

/// What to do before the leader's key is read again.
enum Next {
    Wait,
    ReadAgain,
}

/// What a controller that doesn't lead remembers between two readings of the leader's key.
struct Follower {
    /// Somebody has led before, as far as is known.
    initialized: bool,
    /// An earlier process here has held the key until just now. Then there is no pledge to keep, as pledges are
    /// made to the holder of the key.
    held_key: bool,
}

impl Follower {
    async fn on_key_held(&mut self, node: &Node, row: KeyValue) -> Next {
        let record = serde_json::from_value::<LeaderRecord>(row.value).ok();
        node.lock().leader_name = record.as_ref().map(|record| record.node.clone());
        self.held_key = false;
        let Some(own) = record.filter(|record| record.node == node.settings.name) else { return Next::Wait };
        // An earlier process here led, and there is only ever one at an address: the lease can be ended for it.
        // Its late candidacies and answers are outranked.
        info!("ending the lease of an earlier process here");
        let revoked = node.track_store(node.kv.revoke(&node.http, own.lease)).await;
        self.held_key = revoked.is_ok();
        tokio::time::sleep(REVOKE_PAUSE.to_std()).await;
        Next::ReadAgain
    }

    async fn on_key_absent(&mut self, node: &Arc<Node>) -> Next {
        node.lock().leader_name = None;
        if self.initialized {
            let row = node.track_store(node.kv.get(&node.http, INITIALIZED_KEY)).await;
            self.initialized = !matches!(row, Ok(None));
        }
        let may_stand = {
            let now = node.now();
            node.lock().election.may_stand(now, self.initialized && !self.held_key)
        };
        if !may_stand || must_back_off(node).await {
            return Next::Wait;
        }
        self.held_key = false;
        if let Some((lease, record)) = stand_for_election(node).await {
            self.initialized = true;
            lead(node, lease, record).await;
            return Next::ReadAgain;
        }
        tokio::time::sleep(Millis(rand::random::<u64>() % MAX_CANDIDACY_BACKOFF_MS).to_std()).await;
        Next::Wait
    }
}

/// Learns the first revision that this process sees, from which on it knows what it tells users.
async fn learn_store_revision(node: &Node) {
    if !node.lock().cancellations.is_first_revision_known()
        && let Ok(revision) = node.track_store(node.kv.revision(&node.http)).await
    {
        node.lock().cancellations.set_first_revision(revision);
    }
}

/// Asks the peers whether the store serves them and who leads, as it doesn't serve this controller.
async fn probe_peers(node: &Arc<Node>) {
    let answers = peers::ask_all(node, &peers::peer_heartbeat(node), PROBE_TIMEOUT).await;
    node.lock().store_health.record_peer_answers(&answers);
}

/// Whether a leader that has just handed over named somebody else.
async fn must_back_off(node: &Node) -> bool {
    let row = node.track_store(node.kv.get(&node.http, SUCCESSOR_KEY)).await;
    matches!(row, Ok(Some(row)) if row.value.as_str() != Some(&node.settings.name))
}

/// Stands for election. None: another controller was elected, or it couldn't be tried.
async fn stand_for_election(node: &Node) -> Option<(LeaderLease, LeaderRecord)> {
    let asked_at = node.now();
    let lease = node.track_store(node.kv.grant(&node.http, node.settings.leader_lease_ttl())).await.ok()?;
    let record = LeaderRecord { node: node.settings.name.clone(), incarnation: node.incarnation, lease };
    {
        let now = node.now();
        let mut state = node.lock();
        // A pledge may have been given since.
        if !state.election.may_stand(now, false) {
            return None;
        }
        state.election.candidacy_sent();
    }
    let term = match node.commit(&candidacy(&record)).await {
        Ok(revision) => Some(Term(revision.0)),
        Err(CommitError::Conflict(_) | CommitError::Store(KvError::Refused | KvError::Busy | KvError::Status(_))) => {
            None
        }
        Err(CommitError::Store(KvError::Unknown(_) | KvError::TooLarge)) => {
            settle_unknown_candidacy(node, lease, &record).await
        }
    };
    let mut state = node.lock();
    state.election.candidacy_settled();
    state.election.elected(term?, lease, asked_at);
    state.leader_name = Some(node.settings.name.clone());
    Some((state.election.lease()?, record))
}

/// The transaction that makes a controller the leader if nobody leads.
fn candidacy(record: &LeaderRecord) -> Transaction {
    Transaction {
        preconditions: vec![Precondition { key: LEADER_KEY.into(), revision: 0 }],
        mutations: vec![
            Mutation::Put { key: LEADER_KEY.into(), value: json!(record), lease: Some(record.lease.0) },
            Mutation::put(INITIALIZED_KEY, json!(true)),
        ],
    }
}

/// Waits until the result of a candidacy is certain: the key says that it was carried out, or its lease is ended
/// so that it never can be. Returns the term in the first case.
async fn settle_unknown_candidacy(node: &Node, lease: LeaseId, record: &LeaderRecord) -> Option<Term> {
    loop {
        let row = node.track_store(node.kv.get(&node.http, LEADER_KEY)).await;
        if let Ok(Some(row)) = &row
            && serde_json::from_value::<LeaderRecord>(row.value.clone()).ok().as_ref() == Some(record)
        {
            return Some(Term(row.revision));
        }
        if row.is_ok() && node.kv.revoke(&node.http, lease).await.is_ok() {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL.to_std()).await;
    }
}

/// Does a leader's work beside renewing the lease, until that is lost or handed over.
async fn lead(node: &Arc<Node>, leader_lease: LeaderLease, record: LeaderRecord) {
    let term = leader_lease.term;
    info!("leading: term={term}");
    let work = tokio::spawn(leader_loop::run(node.clone(), term, record));
    keep_lease(node, leader_lease).await;
    warn!("no longer leader: term={term}");
    {
        let mut state = node.lock();
        state.election.step_down();
        state.scheduler = None;
        state.leader_name = None;
    }
    work.abort();
}

/// Renews or extends the lease. Returns when it has ended or is handed over.
async fn keep_lease(node: &Arc<Node>, leader_lease: LeaderLease) {
    let mut was_active = true;
    let mut pledged = false;
    loop {
        let asked_at = node.now();
        match node.track_store(node.kv.renew(&node.http, leader_lease.id, RENEW_TIMEOUT)).await {
            Ok(true) => {
                let mut state = node.lock();
                state.election.renewed(asked_at);
                pledged = false;
                set_in_doubt(&mut state, false);
            }
            Ok(false) => return,
            Err(e) => {
                warn!("lease not renewed: term={} error={e}", leader_lease.term);
                // Others may be served, and tell users of cancellations that can't be read here.
                // What the peers have pledged last holds until they are asked again.
                set_in_doubt(&mut node.lock(), !pledged);
                pledged = extend_lease(node, leader_lease.term).await;
                set_in_doubt(&mut node.lock(), !pledged);
            }
        }
        let successor = node.lock().successor.take();
        if let Some(successor) = successor {
            return hand_over(node, leader_lease, successor).await;
        }
        let now = node.now();
        let is_active = node.lock().election.active_term(now).is_some();
        if is_active != was_active {
            was_active = is_active;
            let change = if is_active { "term active again" } else { "term no longer active" };
            info!("{change}: term={}", leader_lease.term);
        }
        tokio::time::sleep(renewal_pause(node, asked_at).to_std()).await;
    }
}

fn renewal_pause(node: &Node, asked_at: MonotonicTime) -> Millis {
    let was_slow = node.now() - asked_at > SLOW_RENEWAL;
    if was_slow { SLOW_RENEWAL_PAUSE } else { Millis(node.settings.leader_lease_ttl().0 / RENEWALS_PER_TTL) }
}

/// Starts wait while it isn't known what users have been told meanwhile.
fn set_in_doubt(state: &mut NodeState, in_doubt: bool) {
    if let Some(scheduler) = &mut state.scheduler {
        scheduler.set_in_doubt(in_doubt);
    }
}

/// Stops leading, names the successor to the peers, and ends the lease.
async fn hand_over(node: &Arc<Node>, leader_lease: LeaderLease, successor: String) {
    let fence_revision = {
        let now = node.now();
        let mut state = node.lock();
        state.election.step_down();
        state.election.back_off_for_successor(now);
        state.leader_name = None;
        state.scheduler.take().map_or(Revision(leader_lease.term.0), |scheduler| scheduler.fence_revision())
    };
    let heartbeat = PeerHeartbeat { successor, ..peers::peer_heartbeat(node) };
    // A peer that the leader can't reach reads of it in the store.
    let _ = tokio::join!(
        peers::ask_all(node, &heartbeat, HAND_OVER_TIMEOUT),
        node.track_store(name_successor(node, fence_revision, &heartbeat.successor))
    );
    // Unanswered, the lease ends by itself.
    let _ = node.track_store(node.kv.revoke(&node.http, leader_lease.id)).await;
}

async fn name_successor(node: &Node, fence_revision: Revision, successor: &str) -> Result<(), KvError> {
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

/// Extends the lease of a leader that the store refuses: only if every peer is refused too, pledges not to stand
/// for election, and has passed on the cancellations that can't have been read here. Returns whether all have.
async fn extend_lease(node: &Arc<Node>, term: Term) -> bool {
    let asked_at = node.now();
    let read_through = node.lock().election.lease().map_or(0, |lease| lease.read_through.0);
    let heartbeat = PeerHeartbeat {
        asks_extension: true,
        leading: true,
        term: term.0,
        read_through,
        ..peers::peer_heartbeat(node)
    };
    let answers = peers::ask_all(node, &heartbeat, EXTENSION_TIMEOUT).await;
    let pledges: Vec<Option<Pledge>> = answers.iter().map(|answer| pledge(answer.as_ref()?)).collect();
    let mut state = node.lock();
    state.store_health.record_peer_answers(&answers);
    let Some(scheduler) = &mut state.scheduler else { return false };
    for pledge in pledges.iter().flatten() {
        pledge.cancelled.iter().for_each(|id| scheduler.on_job_terminated(id, JobOutcome::Cancelled));
    }
    // Without peers there is nobody to pledge.
    let span = |pledge: &Option<Pledge>| pledge.as_ref().map_or(Millis(0), |pledge| pledge.span);
    let shortest = pledges.iter().map(span).min().unwrap_or_default();
    let pledged = shortest > Millis(0);
    if pledged {
        state.election.extend_on_pledges(asked_at, shortest);
    }
    drop(state);
    leader_loop::perform_pending(node);
    pledged
}

/// A peer's pledge; none: it doesn't pledge, or its cancellations can't be read.
fn pledge(answer: &PeerHeartbeatResponse) -> Option<Pledge> {
    let span = Some(Millis(answer.pledge_ms)).filter(|span| *span > Millis(0))?;
    Some(Pledge { span, cancelled: peers::parse_job_ids(&answer.cancelled)? })
}
