//! Failover: a new leader reads the cluster state from the store and builds its scheduler from it.

use super::{machine_types, measure};
use crate::core::election::LeaderRecord;
use crate::core::machine::MACHINE_PREFIX;
use crate::core::records::{BITMAP_PREFIX, LIVE_PREFIX};
use crate::core::scheduler::{Scheduler, StoredState};
use crate::core::shards::SHARDS_KEY;
use crate::ids::{Revision, Term};
use crate::net::input_latency::InputKind;
use crate::net::kv::KvError;
use crate::net::node::Node;
use crate::time::Millis;
use log::debug;
use std::sync::Arc;

/// Number of records that a new leader loads into its scheduler before it lets other inputs be handled.
const RECORDS_PER_STEP: usize = 250;
const RETRY_BACKOFF: Millis = Millis(150);

/// Builds the scheduler of a new term from the stored state. Returns the revision from which to watch the live jobs,
/// or `None` if this controller has stopped leading meanwhile.
pub(super) async fn load_scheduler(node: &Arc<Node>, term: Term, record: LeaderRecord) -> Option<Revision> {
    let since = node.now();
    let types = machine_types::for_leader(node).await;
    let (requested_at, stored, revision) = loop {
        let requested_at = node.now();
        match read_stored_state(node).await {
            Ok((stored, revision)) => break (requested_at, stored, revision),
            Err(e) => debug!("could not read the stored state: term={term} error={e}"),
        }
        tokio::time::sleep(RETRY_BACKOFF.to_std()).await;
    };
    let mut scheduler = Scheduler::new(node.settings.clone(), node.tuning.clone(), types, term, record, since);
    load_in_steps(node, &mut scheduler, stored).await;
    let now = node.now();
    let mut state = node.lock();
    if state.election.lease().is_none_or(|lease| lease.term != term) {
        return None;
    }
    state.election.live_jobs_read(requested_at, now, revision);
    state.scheduler = Some(scheduler);
    Some(revision)
}

/// Reads the cluster state from the key-value store. Returns the state, and the revision up to which it contains the
/// changes of live jobs.
async fn read_stored_state(node: &Node) -> Result<(StoredState, Revision), KvError> {
    let live = node.kv.list(&node.http, LIVE_PREFIX).await?;
    let bitmaps = node.kv.list(&node.http, BITMAP_PREFIX).await?.entries;
    let machines = node.kv.list(&node.http, MACHINE_PREFIX).await?.entries;
    let shards = node.kv.get(&node.http, SHARDS_KEY).await?.map(|row| row.value);
    Ok((StoredState { live: live.entries, bitmaps, machines, shards }, live.revision))
}

/// Loads the state read from the key-value store into a new scheduler part by part, so that lease renewals, user
/// requests and heartbeats are handled in between.
async fn load_in_steps(node: &Node, scheduler: &mut Scheduler, stored: StoredState) {
    for part in stored.into_parts(RECORDS_PER_STEP) {
        let now = node.now();
        let ((), took, operations) = measure(scheduler, |scheduler| scheduler.load_part(now, part));
        node.lock().input_latency.record(now, InputKind::Load, took, operations);
        tokio::task::yield_now().await;
    }
    scheduler.finish_load(node.now());
}
