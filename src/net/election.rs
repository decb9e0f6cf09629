//! Runs the leader election of this controller against the key-value store and the peers, with
//! [`Election`](crate::core::election::Election) as its state: stands for election, renews or extends the
//! leader's lease, and hands over to a successor.

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

/// Interval at which a controller that doesn't lead reads the leader's key.
const POLL_INTERVAL: Millis = Millis(350);
/// How long this controller waits after revoking a lease, so that the store has deleted the lease's key.
const REVOKE_DELAY: Millis = Millis(20);
/// Upper bound on the random time that a controller that was not elected waits before it tries again.
const MAX_CANDIDACY_BACKOFF_MS: u64 = 200;
const RENEW_TIMEOUT: Millis = Millis(900);
/// If a renewal of the leader's lease takes longer than this, the next one follows after [`SLOW_RENEWAL_BACKOFF`].
const SLOW_RENEWAL_THRESHOLD: Millis = Millis(1_000);
const SLOW_RENEWAL_BACKOFF: Millis = Millis(100);
/// Number of times that the leader renews its lease within the lease's time to live.
const RENEWALS_PER_TTL: u64 = 6;
const PROBE_TIMEOUT: Millis = Millis(700);
const EXTENSION_TIMEOUT: Millis = Millis(800);
const HAND_OVER_TIMEOUT: Millis = Millis(300);

/// Takes part in the election for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut follower = Follower { initialized: true, predecessor_held_key: false };
    loop {
        record_first_revision(&node).await;
        let next = match node.track_store(node.kv.get(&node.http, LEADER_KEY)).await {
            Ok(Some(row)) => follower.on_leader_key_present(&node, row).await,
            Ok(None) => follower.on_leader_key_absent(&node).await,
            Err(KvError::Refused | KvError::NoResponse(_)) => {
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

/// When [`run`] reads the leader's key again: after [`POLL_INTERVAL`] or without delay.
enum Next {
    Wait,
    ReadAgain,
}

/// State that a controller that doesn't lead keeps between two reads of the leader's key.
struct Follower {
    /// Whether the cluster has had a leader. Assumed to be true until the store shows that it is not.
    initialized: bool,
    /// Whether the leader's key belonged to an earlier process of this controller, whose lease was revoked just now. In
    /// that case this process needn't wait as long as a pledge lasts before it stands for election: a controller
    /// pledges only to the owner of the key, so the earlier process has given no pledge that is still binding.
    predecessor_held_key: bool,
}

impl Follower {
    async fn on_leader_key_present(&mut self, node: &Node, row: KeyValue) -> Next {
        let record = serde_json::from_value::<LeaderRecord>(row.value).ok();
        node.lock().leader_name = record.as_ref().map(|record| record.node.clone());
        self.predecessor_held_key = false;
        let Some(own) = record.filter(|record| record.node == node.settings.name) else { return Next::Wait };
        // An earlier process of this controller led. Only one process runs at an address at a time, so that process's
        // lease can be revoked. If a candidacy of that process is committed late, this code finds its key as well;
        // messages of that process that arrive late have a lower term than those of the next leader.
        info!("revoking the leader lease of an earlier process of this controller");
        let revoked = node.track_store(node.kv.revoke_lease(&node.http, own.lease)).await;
        self.predecessor_held_key = revoked.is_ok();
        tokio::time::sleep(REVOKE_DELAY.to_std()).await;
        Next::ReadAgain
    }

    async fn on_leader_key_absent(&mut self, node: &Arc<Node>) -> Next {
        node.lock().leader_name = None;
        if self.initialized {
            let row = node.track_store(node.kv.get(&node.http, INITIALIZED_KEY)).await;
            self.initialized = !matches!(row, Ok(None));
        }
        let may_stand = {
            let now = node.now();
            node.lock().election.can_stand_for_election(now, self.initialized && !self.predecessor_held_key)
        };
        if !may_stand || must_back_off_for_successor(node).await {
            return Next::Wait;
        }
        self.predecessor_held_key = false;
        if let Some((lease, record)) = stand_for_election(node).await {
            self.initialized = true;
            lead(node, lease, record).await;
            return Next::ReadAgain;
        }
        tokio::time::sleep(Millis(rand::random::<u64>() % MAX_CANDIDACY_BACKOFF_MS).to_std()).await;
        Next::Wait
    }
}

/// Records the store revision that this process reads first after its start: this process knows all cancellations
/// after that revision that this controller has confirmed to users.
async fn record_first_revision(node: &Node) {
    if !node.lock().cancellations.is_first_revision_known()
        && let Ok(revision) = node.track_store(node.kv.current_revision(&node.http)).await
    {
        node.lock().cancellations.set_first_revision(revision);
    }
}

/// Asks the peers whether the store serves them and who leads. Called while the store doesn't serve this controller.
async fn probe_peers(node: &Arc<Node>) {
    let responses = peers::broadcast_heartbeat(node, &peers::new_heartbeat(node), PROBE_TIMEOUT).await;
    node.lock().store_health.record_peer_responses(&responses);
}

/// Whether a leader has just handed over and named another controller as its successor.
async fn must_back_off_for_successor(node: &Node) -> bool {
    let row = node.track_store(node.kv.get(&node.http, SUCCESSOR_KEY)).await;
    matches!(row, Ok(Some(row)) if row.value.as_str() != Some(&node.settings.name))
}

/// Stands for election. Returns `None` if another controller leads, or if the candidacy could not be sent or was
/// not committed.
async fn stand_for_election(node: &Node) -> Option<(LeaderLease, LeaderRecord)> {
    let requested_at = node.now();
    let lease = node.track_store(node.kv.grant_lease(&node.http, node.settings.leader_lease_ttl())).await.ok()?;
    let record = LeaderRecord { node: node.settings.name.clone(), incarnation: node.incarnation, lease };
    {
        let now = node.now();
        let mut state = node.lock();
        // While this controller waited for the lease, it may have pledged to a leader not to stand for election.
        if !state.election.can_stand_for_election(now, false) {
            return None;
        }
        state.election.candidacy_sent();
    }
    let term = match node.commit(&candidacy(&record)).await {
        Ok(revision) => Some(Term(revision.0)),
        Err(CommitError::Conflict(_) | CommitError::Store(KvError::Refused | KvError::Busy | KvError::Status(_))) => {
            None
        }
        Err(CommitError::Store(KvError::NoResponse(_) | KvError::TooLarge)) => {
            settle_unknown_candidacy(node, lease, &record).await
        }
    };
    let mut state = node.lock();
    state.election.candidacy_settled();
    state.election.elected(term?, lease, requested_at);
    state.leader_name = Some(node.settings.name.clone());
    Some((state.election.lease()?, record))
}

/// The transaction that makes a controller the leader if there is no leader.
fn candidacy(record: &LeaderRecord) -> Transaction {
    Transaction {
        preconditions: vec![Precondition { key: LEADER_KEY.into(), revision: 0 }],
        mutations: vec![
            Mutation::Put { key: LEADER_KEY.into(), value: json!(record), lease: Some(record.lease.0) },
            Mutation::put(INITIALIZED_KEY, json!(true)),
        ],
    }
}

/// Settles a candidacy to which the store gave no result: waits until the leader's key shows that the candidacy was
/// committed, or until its lease is revoked, so that it can't be committed any more. Returns the term in the first
/// case, otherwise `None`.
async fn settle_unknown_candidacy(node: &Node, lease: LeaseId, record: &LeaderRecord) -> Option<Term> {
    loop {
        let row = node.track_store(node.kv.get(&node.http, LEADER_KEY)).await;
        if let Ok(Some(row)) = &row
            && serde_json::from_value::<LeaderRecord>(row.value.clone()).ok().as_ref() == Some(record)
        {
            return Some(Term(row.revision));
        }
        if row.is_ok() && node.kv.revoke_lease(&node.http, lease).await.is_ok() {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL.to_std()).await;
    }
}

/// Runs the leader loop and keeps the leader's lease, until the lease is lost or this controller hands over.
async fn lead(node: &Arc<Node>, leader_lease: LeaderLease, record: LeaderRecord) {
    let term = leader_lease.term;
    info!("elected leader: term={term}");
    let leader_task = tokio::spawn(leader_loop::run(node.clone(), term, record));
    keep_lease(node, leader_lease).await;
    warn!("no longer leader: term={term}");
    {
        let mut state = node.lock();
        state.election.step_down();
        state.scheduler = None;
        state.leader_name = None;
    }
    leader_task.abort();
}

/// Renews the leader's lease regularly. While the store is unavailable, extends the lease on the peers' pledges not to
/// stand for election instead. Returns when the lease has ended or this controller has handed over.
async fn keep_lease(node: &Arc<Node>, leader_lease: LeaderLease) {
    let mut was_active = true;
    let mut extended = false;
    loop {
        let requested_at = node.now();
        match node.track_store(node.kv.renew_lease(&node.http, leader_lease.id, RENEW_TIMEOUT)).await {
            Ok(true) => {
                let mut state = node.lock();
                state.election.renewed(requested_at);
                extended = false;
                set_in_doubt(&mut state, false);
            }
            Ok(false) => return,
            Err(e) => {
                warn!("could not renew the leader lease: term={} error={e}", leader_lease.term);
                // The store may serve other controllers, which may confirm cancellations that this one can't
                // read. Peers pledge only while the store doesn't serve them, so if the lease was last extended on
                // the pledges of all peers, the store served none of them. That is taken to hold until
                // `extend_lease` has asked the peers again.
                set_in_doubt(&mut node.lock(), !extended);
                extended = extend_lease(node, leader_lease.term).await;
                set_in_doubt(&mut node.lock(), !extended);
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
            let change = if is_active {
                "leader may act again"
            } else {
                "leader may not act: lease expired or last read too old"
            };
            info!("{change}: term={}", leader_lease.term);
        }
        tokio::time::sleep(renewal_delay(node, requested_at).to_std()).await;
    }
}

fn renewal_delay(node: &Node, requested_at: MonotonicTime) -> Millis {
    let is_slow = node.now() - requested_at > SLOW_RENEWAL_THRESHOLD;
    if is_slow { SLOW_RENEWAL_BACKOFF } else { Millis(node.settings.leader_lease_ttl().0 / RENEWALS_PER_TTL) }
}

/// Sets whether other controllers may have confirmed cancellations to users of which this leader doesn't know. While
/// `in_doubt` is true, the scheduler starts no tasks.
fn set_in_doubt(state: &mut NodeState, in_doubt: bool) {
    if let Some(scheduler) = &mut state.scheduler {
        scheduler.set_in_doubt(in_doubt);
    }
}

/// Stops leading, names the successor to the peers and in the store, and revokes the lease.
async fn hand_over(node: &Arc<Node>, leader_lease: LeaderLease, successor: String) {
    let fence_revision = {
        let now = node.now();
        let mut state = node.lock();
        state.election.step_down();
        state.election.back_off_for_successor(now);
        state.leader_name = None;
        state.scheduler.take().map_or(Revision(leader_lease.term.0), |scheduler| scheduler.fence_revision())
    };
    let heartbeat = PeerHeartbeat { successor, ..peers::new_heartbeat(node) };
    // A peer that this controller can't reach reads the successor's name from the store.
    let _ = tokio::join!(
        peers::broadcast_heartbeat(node, &heartbeat, HAND_OVER_TIMEOUT),
        node.track_store(write_successor_key(node, fence_revision, &heartbeat.successor))
    );
    // If this request to revoke the lease fails, the lease ends after its time to live.
    let _ = node.track_store(node.kv.revoke_lease(&node.http, leader_lease.id)).await;
}

/// Writes [`SUCCESSOR_KEY`] if this controller's leader key is still in place.
async fn write_successor_key(node: &Node, fence_revision: Revision, successor: &str) -> Result<(), KvError> {
    let lease = node.kv.grant_lease(&node.http, SUCCESSOR_BACKOFF).await?;
    let transaction = Transaction {
        preconditions: vec![Precondition { key: LEADER_KEY.into(), revision: fence_revision.0 }],
        mutations: vec![Mutation::Put { key: SUCCESSOR_KEY.into(), value: json!(successor), lease: Some(lease.0) }],
    };
    match node.kv.commit(&node.http, &transaction).await {
        // On a conflict, the leader's key has changed or is gone, so another controller may lead already.
        Ok(_) | Err(CommitError::Conflict(_)) => Ok(()),
        Err(CommitError::Store(error)) => Err(error),
    }
}

/// Extends the lease of a leader to which the store is unavailable, if every peer pledges not to stand for
/// election. A peer pledges only if the store is unavailable to that peer too, and sends along the cancellations that
/// this leader can't have read. Returns whether the lease was extended.
async fn extend_lease(node: &Arc<Node>, term: Term) -> bool {
    let requested_at = node.now();
    let read_through = node.lock().election.lease().map_or(0, |lease| lease.read_through.0);
    let heartbeat = PeerHeartbeat {
        requests_lease_extension: true,
        leading: true,
        term: term.0,
        read_through,
        ..peers::new_heartbeat(node)
    };
    let responses = peers::broadcast_heartbeat(node, &heartbeat, EXTENSION_TIMEOUT).await;
    let pledges: Vec<Option<Pledge>> = responses.iter().map(|response| parse_pledge(response.as_ref()?)).collect();
    let mut state = node.lock();
    state.store_health.record_peer_responses(&responses);
    let Some(scheduler) = &mut state.scheduler else { return false };
    for pledge in pledges.iter().flatten() {
        pledge.cancelled.iter().for_each(|id| scheduler.on_job_terminated(id, JobOutcome::Cancelled));
    }
    // A missing pledge counts as a pledge of zero duration. A controller without peers doesn't extend its lease.
    let duration = |pledge: &Option<Pledge>| pledge.as_ref().map_or(Millis(0), |pledge| pledge.duration);
    let shortest = pledges.iter().map(duration).min().unwrap_or_default();
    let extended = shortest > Millis(0);
    if extended {
        state.election.extend_on_pledges(requested_at, shortest);
    }
    drop(state);
    leader_loop::perform_pending_effects(node);
    extended
}

/// Extracts a peer's pledge not to stand for election from its response. Returns `None` if the peer doesn't pledge or
/// the names of its cancelled jobs can't be parsed.
fn parse_pledge(response: &PeerHeartbeatResponse) -> Option<Pledge> {
    let duration = Some(Millis(response.pledge_ms)).filter(|duration| *duration > Millis(0))?;
    Some(Pledge { duration, cancelled: peers::parse_job_ids(&response.cancelled_jobs)? })
}
