//! Client of the key-value store.
//!
//! The client only encodes requests and decodes responses. Callers track whether the store serves this controller; see
//! [`Node::track_store`](super::node::Node::track_store).

use super::http::{HttpClient, HttpError};
use crate::ids::{LeaseId, Revision};
use crate::time::Millis;
use crate::wire::{KeyValue, RangeResponse, Transaction, WatchResponse};
use hyper::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Why a request to the store has no result.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum KvError {
    /// Status 503: the store refuses to serve this controller; the request was not carried out.
    #[error("refused with status 503")]
    Refused,
    /// Status 429: the store limits the request rate; the request was not carried out.
    #[error("too many requests (status 429)")]
    Busy,
    /// No response, or one that can't be decoded; the request may have been carried out.
    #[error("no valid response: {0}")]
    NoResponse(String),
    /// The response exceeds the HTTP client's size limit; the request may have been carried out.
    #[error("response is too large")]
    TooLarge,
    /// A status that the protocol doesn't define for the request, which was not carried out.
    #[error("unexpected status {0}")]
    Status(u16),
}

impl From<HttpError> for KvError {
    fn from(error: HttpError) -> KvError {
        match error {
            HttpError::ResponseTooLarge => KvError::TooLarge,
            HttpError::Request(_) | HttpError::Timeout | HttpError::Transport(_) => {
                KvError::NoResponse(error.to_string())
            }
        }
    }
}

/// Why a transaction isn't known to be committed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommitError {
    /// The transaction was not committed: the revisions of these keys differ from those in its preconditions.
    #[error("revisions of {0:?} differ from the preconditions")]
    Conflict(Vec<String>),
    /// The store returned no result for the transaction. Some of these errors leave open whether it was committed; see
    /// [`KvError`].
    #[error(transparent)]
    Store(#[from] KvError),
}

/// The result of listing all entries of the store whose keys have a given prefix.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The entries, in ascending order of their keys.
    pub entries: Vec<KeyValue>,
    /// The store's revision when the first page was read. A watch that starts from this revision misses no change.
    pub revision: Revision,
}

/// Time limit of a request to the store, unless the method has an argument or another constant for it.
const REQUEST_TIMEOUT: Millis = Millis(1_200);
/// Time limit of the request for one page of a listing.
const PAGE_TIMEOUT: Millis = Millis(3_000);
/// How much longer a watch request may take than the time for which it asks the store to wait for a change.
const WATCH_TIMEOUT_MARGIN: Millis = Millis(2_000);

/// A client of the key-value store at one address.
pub struct KvClient {
    addr: String,
}

#[derive(Deserialize)]
struct ConflictResponse {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct CommitResponse {
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct GrantResponse {
    #[serde(rename = "tenure")]
    lease: LeaseId,
}

impl KvClient {
    /// Creates a client of the store at `addr` (host and port).
    pub fn new(addr: String) -> KvClient {
        KvClient { addr }
    }

    /// Sends a request. Returns the status and body of the response, or an error if the status is 503 or 429.
    async fn call(
        &self,
        http: &HttpClient,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<(u16, bytes::Bytes), KvError> {
        match http.call(method, &self.addr, path, body, timeout).await? {
            (503, _) => Err(KvError::Refused),
            (429, _) => Err(KvError::Busy),
            response => Ok(response),
        }
    }

    /// Reads a key linearizably. Returns `None` if the key is absent.
    pub async fn get(&self, http: &HttpClient, key: &str) -> Result<Option<KeyValue>, KvError> {
        match self.call(http, Method::GET, &format!("/store/{key}"), vec![], REQUEST_TIMEOUT).await? {
            (200, body) => parse(&body).map(Some),
            (404, _) => Ok(None),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Lists all entries whose keys have the prefix, page by page.
    pub async fn list(&self, http: &HttpClient, prefix: &str) -> Result<Listing, KvError> {
        let mut entries: Vec<KeyValue> = Vec::new();
        let mut revision = None;
        loop {
            let since = entries.last().map(|entry| format!("&since={}", entry.key)).unwrap_or_default();
            let path = format!("/store?prefix={prefix}{since}&limit=500");
            let (status, body) = self.call(http, Method::GET, &path, vec![], PAGE_TIMEOUT).await?;
            if status != 200 {
                return Err(KvError::Status(status));
            }
            let page: RangeResponse = parse(&body)?;
            // The pages are read at different revisions. A watch from the first page's revision delivers again all
            // changes that later pages contain already.
            let revision = *revision.get_or_insert(Revision(page.revision));
            let has_more = page.has_next && !page.entries.is_empty();
            entries.extend(page.entries);
            if !has_more {
                return Ok(Listing { entries, revision });
            }
        }
    }

    /// Reads the current revision of the store.
    pub async fn current_revision(&self, http: &HttpClient) -> Result<Revision, KvError> {
        match self.call(http, Method::GET, "/store?prefix=ctl/&limit=1", vec![], REQUEST_TIMEOUT).await? {
            (200, body) => Ok(Revision(parse::<RangeResponse>(&body)?.revision)),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Commits a transaction if all its preconditions hold, and returns the revision of the commit.
    pub async fn commit(&self, http: &HttpClient, transaction: &Transaction) -> Result<Revision, CommitError> {
        let body = serde_json::to_vec(transaction).map_err(|e| KvError::NoResponse(e.to_string()))?;
        match self.call(http, Method::POST, "/commit", body, REQUEST_TIMEOUT).await? {
            (200, body) => Ok(Revision(parse::<CommitResponse>(&body)?.revision)),
            (409, body) => Err(CommitError::Conflict(parse::<ConflictResponse>(&body)?.failed)),
            (status, _) => Err(KvError::Status(status).into()),
        }
    }

    /// Creates a lease that expires after `ttl` unless it is renewed.
    pub async fn grant_lease(&self, http: &HttpClient, ttl: Millis) -> Result<LeaseId, KvError> {
        let body = json!({ "life_ms": ttl.0 }).to_string().into_bytes();
        match self.call(http, Method::POST, "/holds", body, REQUEST_TIMEOUT).await? {
            (200 | 201, body) => Ok(parse::<GrantResponse>(&body)?.lease),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Renews a lease. Returns `false` if it has expired or was revoked.
    pub async fn renew_lease(&self, http: &HttpClient, lease: LeaseId, timeout: Millis) -> Result<bool, KvError> {
        match self.call(http, Method::POST, &format!("/holds/{lease}/extend"), b"{}".to_vec(), timeout).await? {
            (200, _) => Ok(true),
            (404, _) => Ok(false),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Revokes a lease, which deletes the keys attached to it. Succeeds if the lease no longer exists.
    pub async fn revoke_lease(&self, http: &HttpClient, lease: LeaseId) -> Result<(), KvError> {
        match self.call(http, Method::DELETE, &format!("/holds/{lease}"), vec![], REQUEST_TIMEOUT).await? {
            (200 | 204 | 404, _) => Ok(()),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Watches keys with the prefix for changes after revision `since`. The store waits up to `block` for a change.
    ///
    /// Returns `None` if `since` is too old for the store or the changes exceed the maximum response size. The keys
    /// must then be listed again.
    pub async fn watch(
        &self,
        http: &HttpClient,
        prefix: &str,
        since: Revision,
        block: Millis,
    ) -> Result<Option<WatchResponse>, KvError> {
        let path = format!("/follow?prefix={prefix}&since={since}&block_ms={}", block.0);
        match self.call(http, Method::GET, &path, vec![], block + WATCH_TIMEOUT_MARGIN).await {
            Ok((200, body)) => parse(&body).map(Some),
            Ok((410, _)) | Err(KvError::TooLarge) => Ok(None),
            Ok((status, _)) => Err(KvError::Status(status)),
            Err(e) => Err(e),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, KvError> {
    serde_json::from_slice(body).map_err(|e| KvError::NoResponse(format!("response can't be decoded: {e}")))
}
