//! Commits of transactions whose result a user waits for.

use crate::ids::Revision;
use crate::net::kv::{CommitError, KvError};
use crate::net::node::Node;
use crate::time::Millis;
use crate::wire::Transaction;

/// Maximum number of attempts while the key-value store responds that it has too many requests.
const MAX_COMMIT_ATTEMPTS: usize = 3;
/// Minimum time between two attempts to commit a transaction.
const MIN_BUSY_BACKOFF: Millis = Millis(80);
/// Up to this much random time is added to `MIN_BUSY_BACKOFF`, so that controllers don't retry at the same moment.
const BUSY_BACKOFF_JITTER: Millis = Millis(120);

/// Why a transaction isn't known to be committed.
pub(super) enum CommitFailure {
    /// The transaction was not committed: a precondition didn't hold, as another transaction has changed the job.
    PreconditionFailed,
    /// The key-value store didn't respond, or refused the request. Without a response, the transaction may have been
    /// committed.
    StoreUnreachable,
}

/// Commits a transaction and returns the revision of the commit. Retries only while the key-value store responds that
/// it has too many requests, and only a few times, as a user waits.
pub(super) async fn commit_with_retries(node: &Node, transaction: &Transaction) -> Result<Revision, CommitFailure> {
    if node.is_store_unreachable() {
        return Err(CommitFailure::StoreUnreachable);
    }
    let mut attempts = 0;
    loop {
        let result = node.commit(transaction).await;
        attempts += 1;
        match result {
            Ok(revision) => return Ok(revision),
            Err(CommitError::Conflict(_)) => return Err(CommitFailure::PreconditionFailed),
            Err(CommitError::Store(KvError::Busy)) if attempts < MAX_COMMIT_ATTEMPTS => {}
            Err(CommitError::Store(_)) => return Err(CommitFailure::StoreUnreachable),
        }
        let backoff = MIN_BUSY_BACKOFF + Millis(rand::random::<u64>() % BUSY_BACKOFF_JITTER.0);
        tokio::time::sleep(backoff.to_std()).await;
    }
}
