//! Failover: a new leader reads the stored state and builds its scheduler from it.

use super::{machine_types, measured};
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

/// Stored records that a new leader takes in in one step.
const ROWS_PER_STEP: usize = 250;
const RETRY_BACKOFF: Millis = Millis(150);

/// Builds the scheduler of a new term from the stored state. Returns the revision from which the live jobs
/// have to be followed; none: this controller has stopped leading meanwhile.
pub(super) async fn load_scheduler(node: &Arc<Node>, term: Term, record: LeaderRecord) -> Option<Revision> {
    let since = node.now();
    let types = machine_types::for_leader(node).await;
    let (asked_at, stored, revision) = loop {
        let asked_at = node.now();
        match read_stored_state(node).await {
            Ok((stored, revision)) => break (asked_at, stored, revision),
            Err(e) => debug!("stored state can't be read: term={term} error={e}"),
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
    state.election.live_jobs_read(asked_at, now, revision);
    state.scheduler = Some(scheduler);
    Some(revision)
}

/// The stored state, and the revision up to which the live jobs are in it.
async fn read_stored_state(node: &Node) -> Result<(StoredState, Revision), KvError> {
    let live = node.kv.list(&node.http, LIVE_PREFIX).await?;
    let bitmaps = node.kv.list(&node.http, BITMAP_PREFIX).await?.entries;
    let machines = node.kv.list(&node.http, MACHINE_PREFIX).await?.entries;
    let shards = node.kv.get(&node.http, SHARDS_KEY).await?.map(|row| row.value);
    Ok((StoredState { live: live.entries, bitmaps, machines, shards }, live.revision))
}

/// Gives a new scheduler what is stored, a part at a time, so that renewals, users and heartbeats are served in
/// between.
async fn load_in_steps(node: &Node, scheduler: &mut Scheduler, stored: StoredState) {
    for part in stored.into_parts(ROWS_PER_STEP) {
        let now = node.now();
        let ((), took, cost) = measured(scheduler, |scheduler| scheduler.load_part(now, part));
        node.lock().input_latency.record(now, InputKind::Load, took, cost);
        tokio::task::yield_now().await;
    }
    scheduler.finish_load(node.now());
}
