//! Client of the state service.

use super::http::{Http, HttpError};
use crate::core::scheduler::CommitOutcome;
use crate::ids::{LeaseId, Revision};
use crate::time::Millis;
use crate::wire::{KeyValue, RangeResponse, Transaction, WatchResponse};
use hyper::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum KvError {
    /// 503: not carried out.
    #[error("refused")]
    Refused,
    /// 429: not carried out, too many requests.
    #[error("too many requests")]
    Busy,
    /// Perhaps carried out.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The answer is over this controller's limit.
    #[error("too large an answer")]
    TooLarge,
    /// An answer that the protocol doesn't foresee.
    #[error("status {0}")]
    Status(u16),
}

const REQUEST_TIMEOUT: Millis = Millis(1_200);

pub struct KvClient {
    addr: String,
}

#[derive(Deserialize)]
struct Failed {
    #[serde(default)]
    failed: Vec<String>,
}
#[derive(Deserialize)]
struct Committed {
    #[serde(rename = "epoch")]
    revision: u64,
}
#[derive(Deserialize)]
struct Tenure {
    tenure: LeaseId,
}

impl KvClient {
    pub fn new(addr: String) -> KvClient {
        KvClient { addr }
    }

    async fn call(
        &self,
        http: &Http,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(u16, bytes::Bytes), KvError> {
        match http.call(method, &self.addr, path, body, limit).await {
            Ok((503, _)) => Err(KvError::Refused),
            Ok((429, _)) => Err(KvError::Busy),
            Ok(answer) => Ok(answer),
            Err(HttpError::TooLarge) => Err(KvError::TooLarge),
            Err(e) => Err(KvError::Unknown(e.to_string())),
        }
    }

    /// A linearizable read; None: the key is absent.
    pub async fn get(&self, http: &Http, key: &str) -> Result<Option<KeyValue>, KvError> {
        match self.call(http, Method::GET, &format!("/store/{key}"), vec![], REQUEST_TIMEOUT).await? {
            (200, body) => parse(&body).map(Some),
            (404, _) => Ok(None),
            (s, _) => Err(KvError::Status(s)),
        }
    }

    /// All keys with the prefix, and the revision from which to follow them.
    pub async fn list(&self, http: &Http, prefix: &str) -> Result<(Vec<KeyValue>, u64), KvError> {
        let mut rows: Vec<KeyValue> = Vec::new();
        let mut revision = None;
        loop {
            let since = rows.last().map(|r| format!("&since={}", r.key)).unwrap_or_default();
            let path = format!("/store?prefix={prefix}{since}&limit=500");
            let (status, body) = self.call(http, Method::GET, &path, vec![], Millis(3_000)).await?;
            if status != 200 {
                return Err(KvError::Status(status));
            }
            let page: RangeResponse = parse(&body)?;
            // Changes after the first page are seen again by the watch.
            let revision = *revision.get_or_insert(page.revision);
            let more = page.has_next && !page.entries.is_empty();
            rows.extend(page.entries);
            if !more {
                return Ok((rows, revision));
            }
        }
    }

    /// The revision that the state service is at.
    pub async fn revision(&self, http: &Http) -> Result<Revision, KvError> {
        match self.call(http, Method::GET, "/store?prefix=ctl/&limit=1", vec![], REQUEST_TIMEOUT).await? {
            (200, body) => Ok(Revision(parse::<RangeResponse>(&body)?.revision)),
            (s, _) => Err(KvError::Status(s)),
        }
    }

    /// The revision of the commit, or why there is none.
    pub async fn commit(&self, http: &Http, transaction: &Transaction) -> Result<Result<u64, Vec<String>>, KvError> {
        let body = serde_json::to_vec(transaction).map_err(|e| KvError::Unknown(e.to_string()))?;
        match self.call(http, Method::POST, "/commit", body, REQUEST_TIMEOUT).await? {
            (200, body) => Ok(Ok(parse::<Committed>(&body)?.revision)),
            (409, body) => Ok(Err(parse::<Failed>(&body)?.failed)),
            (s, _) => Err(KvError::Status(s)),
        }
    }

    pub async fn grant(&self, http: &Http, life: Millis) -> Result<LeaseId, KvError> {
        let body = json!({ "life_ms": life.0 }).to_string().into_bytes();
        match self.call(http, Method::POST, "/holds", body, REQUEST_TIMEOUT).await? {
            (200 | 201, body) => Ok(parse::<Tenure>(&body)?.tenure),
            (s, _) => Err(KvError::Status(s)),
        }
    }

    /// False: the lease has ended.
    pub async fn renew(&self, http: &Http, lease: LeaseId, limit: Millis) -> Result<bool, KvError> {
        match self.call(http, Method::POST, &format!("/holds/{lease}/extend"), b"{}".to_vec(), limit).await? {
            (200, _) => Ok(true),
            (404, _) => Ok(false),
            (s, _) => Err(KvError::Status(s)),
        }
    }

    pub async fn revoke(&self, http: &Http, lease: LeaseId) -> Result<(), KvError> {
        match self.call(http, Method::DELETE, &format!("/holds/{lease}"), vec![], REQUEST_TIMEOUT).await? {
            (200 | 204 | 404, _) => Ok(()),
            (s, _) => Err(KvError::Status(s)),
        }
    }

    /// Changes after `since`; None: too old or too many, all must be read again, in pages.
    pub async fn follow(
        &self,
        http: &Http,
        prefix: &str,
        since: u64,
        block: Millis,
    ) -> Result<Option<WatchResponse>, KvError> {
        let path = format!("/follow?prefix={prefix}&since={since}&block_ms={}", block.0);
        match self.call(http, Method::GET, &path, vec![], Millis(block.0 + 2_000)).await {
            Ok((200, body)) => parse(&body).map(Some),
            Ok((410, _)) | Err(KvError::TooLarge) => Ok(None),
            Ok((s, _)) => Err(KvError::Status(s)),
            Err(e) => Err(e),
        }
    }
}

pub fn commit_outcome(r: &Result<Result<u64, Vec<String>>, KvError>) -> CommitOutcome {
    match r {
        Ok(Ok(_)) => CommitOutcome::Committed,
        Ok(Err(failed)) => CommitOutcome::Conflict(failed.clone()),
        Err(KvError::Unknown(_) | KvError::TooLarge) => CommitOutcome::Unknown,
        Err(KvError::Refused | KvError::Busy | KvError::Status(_)) => CommitOutcome::Rejected,
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, KvError> {
    serde_json::from_slice(body).map_err(|e| KvError::Unknown(format!("unreadable answer: {e}")))
}
