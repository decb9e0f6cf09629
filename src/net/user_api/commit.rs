//! Transactions that a user waits for.

use crate::ids::Revision;
use crate::net::kv::{CommitError, KvError};
use crate::net::node::Node;
use crate::time::Millis;
use crate::wire::Transaction;

/// How often a transaction is tried while the key-value store has too many requests.
const MAX_COMMIT_ATTEMPTS: usize = 3;
/// The least time between two attempts.
const MIN_BUSY_BACKOFF: Millis = Millis(80);
/// Up to this much is added at random, so that controllers don't try again at the same moment.
const BUSY_BACKOFF_JITTER: Millis = Millis(120);

/// Why a transaction isn't known to be carried out.
pub(super) enum CommitFailure {
    /// A precondition didn't hold: another transaction has changed the job.
    Rejected,
    /// The key-value store didn't answer, or refused. Without an answer it may be carried out all the same.
    StoreUnreachable,
}

/// Commits, and returns the revision of the commit. Where the key-value store has too many requests, it is tried
/// again for a short while only.
pub(super) async fn commit(node: &Node, transaction: &Transaction) -> Result<Revision, CommitFailure> {
    if node.is_store_unreachable() {
        return Err(CommitFailure::StoreUnreachable);
    }
    let mut attempts = 0;
    loop {
        let result = node.commit(transaction).await;
        attempts += 1;
        match result {
            Ok(revision) => return Ok(revision),
            Err(CommitError::Conflict(_)) => return Err(CommitFailure::Rejected),
            Err(CommitError::Store(KvError::Busy)) if attempts < MAX_COMMIT_ATTEMPTS => {}
            Err(CommitError::Store(_)) => return Err(CommitFailure::StoreUnreachable),
        }
        let backoff = MIN_BUSY_BACKOFF + Millis(rand::random::<u64>() % BUSY_BACKOFF_JITTER.0);
        tokio::time::sleep(backoff.to_std()).await;
    }
}
