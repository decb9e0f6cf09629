//! Follows the live jobs in the store: new ones, and those that their users have cancelled.

use super::{perform_pending, still_leads};
use crate::core::records::{JobOutcome, LIVE_PREFIX};
use crate::core::scheduler::Scheduler;
use crate::ids::{JobId, Revision, Term};
use crate::net::kv::KvError;
use crate::net::node::Node;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{WatchEvent, WatchResponse};
use log::debug;
use std::sync::Arc;

/// Longest time that a watch waits for a change.
const MAX_WATCH_BLOCK: Millis = Millis(3_000);
/// Several answers must fit into the time for which what has been read may be acted on.
const WATCH_BLOCK_SHARE: f64 = 0.25;
const WATCH_RETRY_BACKOFF: Millis = Millis(200);
const LIST_RETRY_BACKOFF: Millis = Millis(300);

/// Gives the scheduler all changes of live jobs after a revision while this controller leads for the term.
pub(super) async fn follow(node: &Arc<Node>, term: Term, mut since: Revision) {
    let block = MAX_WATCH_BLOCK.min(node.settings.reading_validity().mul_f64(WATCH_BLOCK_SHARE));
    while still_leads(node, term) {
        let asked_at = node.now();
        let changes = node.kv.follow(&node.http, LIVE_PREFIX, since, block).await;
        // Without an answer the watch may just have stayed open: that says nothing about the store.
        if !matches!(changes, Err(KvError::Unknown(_))) {
            node.record_store_result(changes.as_ref().err());
        }
        match changes {
            Ok(Some(changes)) => {
                since = since.max(Revision(changes.revision));
                if !take_changes(node, asked_at, since, changes) {
                    continue;
                }
            }
            Ok(None) => match list_again(node).await {
                Ok(revision) => since = revision,
                Err(_) => tokio::time::sleep(LIST_RETRY_BACKOFF.to_std()).await,
            },
            Err(e) => {
                debug!("live jobs can't be followed: error={e}");
                tokio::time::sleep(WATCH_RETRY_BACKOFF.to_std()).await;
            }
        }
        perform_pending(node);
    }
}

/// Gives the scheduler changes up to a revision. False: there is no scheduler.
fn take_changes(node: &Node, asked_at: MonotonicTime, read_through: Revision, changes: WatchResponse) -> bool {
    let now = node.now();
    let mut state = node.lock();
    state.election.live_jobs_read(asked_at, now, read_through);
    let Some(scheduler) = &mut state.scheduler else { return false };
    changes.events.into_iter().for_each(|event| take_event(scheduler, event));
    true
}

fn take_event(scheduler: &mut Scheduler, event: WatchEvent) {
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

/// Reads all live jobs, as the changes are too many or not kept any more. Returns the revision to follow from.
async fn list_again(node: &Node) -> Result<Revision, KvError> {
    let asked_at = node.now();
    let live = node.track_store(node.kv.list(&node.http, LIVE_PREFIX)).await?;
    let now = node.now();
    let mut state = node.lock();
    if let Some(scheduler) = &mut state.scheduler {
        scheduler.resync_live_jobs(live.entries, live.revision.0);
        state.election.live_jobs_read(asked_at, now, live.revision);
    }
    Ok(live.revision)
}
