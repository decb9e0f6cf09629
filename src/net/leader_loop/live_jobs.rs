//! Watches the live jobs in the store: those newly accepted, and those that have ended or been cancelled by users.

use super::{perform_pending_effects, still_leads};
use crate::core::records::{JobOutcome, LIVE_PREFIX};
use crate::core::scheduler::Scheduler;
use crate::ids::{JobId, Revision, Term};
use crate::net::kv::KvError;
use crate::net::node::Node;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{WatchEvent, WatchResponse};
use log::debug;
use std::sync::Arc;

/// Longest time that a watch request on the live jobs asks the store to wait for a change.
const MAX_WATCH_BLOCK: Millis = Millis(3_000);
/// Longest time that a watch request asks the store to wait for a change, as a fraction of the time for which the
/// leader may act on a read of the live jobs. Several responses must fit into that time.
const WATCH_BLOCK_SHARE: f64 = 0.25;
const WATCH_RETRY_BACKOFF: Millis = Millis(200);
const LIST_RETRY_BACKOFF: Millis = Millis(300);

/// Gives the scheduler all changes of live jobs after the revision `since`, while this controller leads for the term.
pub(super) async fn watch(node: &Arc<Node>, term: Term, mut since: Revision) {
    let block = MAX_WATCH_BLOCK.min(node.settings.read_ttl().mul_f64(WATCH_BLOCK_SHARE));
    while still_leads(node, term) {
        let requested_at = node.now();
        let changes = node.kv.watch(&node.http, LIVE_PREFIX, since, block).await;
        // A watch request may stay open for long, so a missing response doesn't show that the store is unavailable.
        if !matches!(changes, Err(KvError::NoResponse(_))) {
            node.record_store_result(changes.as_ref().err());
        }
        match changes {
            Ok(Some(changes)) => {
                since = since.max(Revision(changes.revision));
                if !apply_changes(node, requested_at, since, changes) {
                    continue;
                }
            }
            Ok(None) => match resync(node).await {
                Ok(revision) => since = revision,
                Err(_) => tokio::time::sleep(LIST_RETRY_BACKOFF.to_std()).await,
            },
            Err(e) => {
                debug!("could not watch live jobs: error={e}");
                tokio::time::sleep(WATCH_RETRY_BACKOFF.to_std()).await;
            }
        }
        perform_pending_effects(node);
    }
}

/// Gives the scheduler changes of live jobs, which are complete up to the revision `read_through`. Returns false if
/// there is no scheduler.
fn apply_changes(node: &Node, requested_at: MonotonicTime, read_through: Revision, changes: WatchResponse) -> bool {
    let now = node.now();
    let mut state = node.lock();
    state.election.live_jobs_read(requested_at, now, read_through);
    let Some(scheduler) = &mut state.scheduler else { return false };
    changes.events.into_iter().for_each(|event| apply_event(scheduler, event));
    true
}

fn apply_event(scheduler: &mut Scheduler, event: WatchEvent) {
    let job_id = |key: &str| key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse);
    match event {
        WatchEvent::Put { key, value, revision } => {
            if let Some(id) = job_id(&key) {
                scheduler.on_job_accepted(&id, &value, Revision(revision));
            }
        }
        WatchEvent::Delete { key } => {
            if let Some(id) = job_id(&key) {
                scheduler.on_job_terminated(&id, JobOutcome::Unknown);
            }
        }
    }
}

/// Reads all live jobs anew, because there are too many changes for one response to a watch or the store no longer
/// keeps these changes. Returns the revision from which to continue the watch.
async fn resync(node: &Node) -> Result<Revision, KvError> {
    let requested_at = node.now();
    let live = node.track_store(node.kv.list(&node.http, LIVE_PREFIX)).await?;
    let now = node.now();
    let mut state = node.lock();
    if let Some(scheduler) = &mut state.scheduler {
        scheduler.resync_live_jobs(live.entries, live.revision.0);
        state.election.live_jobs_read(requested_at, now, live.revision);
    }
    Ok(live.revision)
}
