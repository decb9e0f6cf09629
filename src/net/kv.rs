//! Client of the key-value store.
//!
//! It knows the store's requests and answers only; who calls keeps track of whether the store serves
//! this controller (`net::node`).

use super::http::{Http, HttpError};
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
    /// Status 503: not carried out.
    #[error("refused")]
    Refused,
    /// Status 429: not carried out, too many requests.
    #[error("too many requests")]
    Busy,
    /// No answer, or one that can't be read: perhaps carried out.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The answer is over this controller's limit: perhaps carried out.
    #[error("too large an answer")]
    TooLarge,
    /// A status that the protocol doesn't foresee: not carried out.
    #[error("status {0}")]
    Status(u16),
}

impl From<HttpError> for KvError {
    fn from(error: HttpError) -> KvError {
        match error {
            HttpError::TooLarge => KvError::TooLarge,
            HttpError::Request(_) | HttpError::Timeout | HttpError::Exchange(_) => KvError::Unknown(error.to_string()),
        }
    }
}

/// Why a transaction isn't known to be committed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommitError {
    /// Not carried out: these keys have other revisions than the preconditions name.
    #[error("other revisions of {0:?}")]
    Conflict(Vec<String>),
    /// The store gave no result; some of these errors leave open whether it was carried out.
    #[error(transparent)]
    Store(#[from] KvError),
}

/// All keys with a prefix.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The keys with their values, in the order of the keys.
    pub entries: Vec<KeyValue>,
    /// The revision of the first page: from here on the keys can be followed.
    pub revision: Revision,
}

/// For one request, unless a method names another.
const REQUEST_TIMEOUT: Millis = Millis(1_200);
/// For one page of a listing.
const PAGE_TIMEOUT: Millis = Millis(3_000);
/// How much longer than its blocking time a watch may take to answer.
const WATCH_TIMEOUT_MARGIN: Millis = Millis(2_000);

/// Requests to the key-value store at one address.
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
    /// A client of the store at `addr` (host and port).
    pub fn new(addr: String) -> KvClient {
        KvClient { addr }
    }

    /// Status and body of an answer other than 503 and 429.
    async fn call(
        &self,
        http: &Http,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Millis,
    ) -> Result<(u16, bytes::Bytes), KvError> {
        match http.call(method, &self.addr, path, body, timeout).await? {
            (503, _) => Err(KvError::Refused),
            (429, _) => Err(KvError::Busy),
            answer => Ok(answer),
        }
    }

    /// A linearizable read of a key; none: the key is absent.
    pub async fn get(&self, http: &Http, key: &str) -> Result<Option<KeyValue>, KvError> {
        match self.call(http, Method::GET, &format!("/store/{key}"), vec![], REQUEST_TIMEOUT).await? {
            (200, body) => parse(&body).map(Some),
            (404, _) => Ok(None),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// All keys with the prefix, read in pages.
    pub async fn list(&self, http: &Http, prefix: &str) -> Result<Listing, KvError> {
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
            // Changes after the first page are seen again by the watch.
            let revision = *revision.get_or_insert(Revision(page.revision));
            let more = page.has_next && !page.entries.is_empty();
            entries.extend(page.entries);
            if !more {
                return Ok(Listing { entries, revision });
            }
        }
    }

    /// The revision that the store is at.
    pub async fn revision(&self, http: &Http) -> Result<Revision, KvError> {
        match self.call(http, Method::GET, "/store?prefix=ctl/&limit=1", vec![], REQUEST_TIMEOUT).await? {
            (200, body) => Ok(Revision(parse::<RangeResponse>(&body)?.revision)),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Commits a transaction if all its preconditions hold. Returns the revision of the commit.
    pub async fn commit(&self, http: &Http, transaction: &Transaction) -> Result<Revision, CommitError> {
        let body = serde_json::to_vec(transaction).map_err(|e| KvError::Unknown(e.to_string()))?;
        match self.call(http, Method::POST, "/commit", body, REQUEST_TIMEOUT).await? {
            (200, body) => Ok(Revision(parse::<CommitResponse>(&body)?.revision)),
            (409, body) => Err(CommitError::Conflict(parse::<ConflictResponse>(&body)?.failed)),
            (status, _) => Err(KvError::Status(status).into()),
        }
    }

    /// Grants a lease that ends after `ttl` unless it is renewed.
    pub async fn grant(&self, http: &Http, ttl: Millis) -> Result<LeaseId, KvError> {
        let body = json!({ "life_ms": ttl.0 }).to_string().into_bytes();
        match self.call(http, Method::POST, "/holds", body, REQUEST_TIMEOUT).await? {
            (200 | 201, body) => Ok(parse::<GrantResponse>(&body)?.lease),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Renews a lease. Returns false if it has ended.
    pub async fn renew(&self, http: &Http, lease: LeaseId, timeout: Millis) -> Result<bool, KvError> {
        match self.call(http, Method::POST, &format!("/holds/{lease}/extend"), b"{}".to_vec(), timeout).await? {
            (200, _) => Ok(true),
            (404, _) => Ok(false),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Ends a lease, and with it the keys that hang on it. One that has ended already is no error.
    pub async fn revoke(&self, http: &Http, lease: LeaseId) -> Result<(), KvError> {
        match self.call(http, Method::DELETE, &format!("/holds/{lease}"), vec![], REQUEST_TIMEOUT).await? {
            (200 | 204 | 404, _) => Ok(()),
            (status, _) => Err(KvError::Status(status)),
        }
    }

    /// Changes of keys with the prefix after revision `since`; the store waits up to `block` for one.
    /// None: `since` is too old or the changes are too many, so all must be listed again.
    pub async fn follow(
        &self,
        http: &Http,
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
    serde_json::from_slice(body).map_err(|e| KvError::Unknown(format!("unreadable answer: {e}")))
}
