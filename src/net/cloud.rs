//! Client of the cloud's API. The client keeps to the cloud's rate limit, and gives all other calls priority over
//! listing machines.

use super::http::{HttpClient, HttpError};
use crate::core::scheduler::ProvisionOutcome;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ProvisionRequest};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::sync::Mutex;

/// Why a call to the cloud has no result.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The call was not sent, as it would have had to wait too long for the rate limit.
    #[error("rate limit reached, call not sent")]
    RateLimited,
    /// The HTTP request failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The cloud responded with a status other than 200.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The request can't be encoded, or the response can't be decoded.
    #[error("invalid message: {0}")]
    Message(#[from] serde_json::Error),
}

/// A client of the cloud at one address, which spaces its calls so that they stay below the cloud's rate limit.
pub struct CloudClient {
    addr: String,
    /// Average time between two calls if the client makes as many calls as it may.
    interval: Millis,
    /// When the next call may be sent. In the past if the client has lately made fewer calls than it may.
    next_call_at: Mutex<MonotonicTime>,
}

/// Fraction of the cloud's rate limit that this client uses.
const RATE_LIMIT_SHARE: f64 = 0.8;
/// The calls that the rate limit allowed within this time and that were not made may be made in one burst.
const BURST_WINDOW: Millis = Millis(500);
const REQUEST_TIMEOUT: Millis = Millis(4_000);
/// A call that would have to wait longer than this for the rate limit fails immediately instead of waiting.
const MAX_QUEUE_DELAY: Millis = Millis(5_000);

impl CloudClient {
    /// Creates a client of the cloud at `addr` (host and port), which allows `max_rps` calls per second.
    pub fn new(addr: String, max_rps: f64) -> CloudClient {
        let interval = Millis::from_secs_f64(1.0 / (max_rps * RATE_LIMIT_SHARE));
        CloudClient { addr, interval, next_call_at: Mutex::new(MonotonicTime(0)) }
    }

    /// Waits until the rate limit allows a call. Fails immediately if an urgent call would have to wait longer than
    /// `MAX_QUEUE_DELAY`, or if a call that isn't urgent would have to wait at all.
    async fn wait_for_rate_limit(&self, now: MonotonicTime, urgent: bool) -> Result<(), CloudError> {
        let at = {
            let mut next_call_at = self.next_call_at.lock().unwrap_or_else(|e| e.into_inner());
            let at = (*next_call_at).max(MonotonicTime(now.0.saturating_sub(BURST_WINDOW.0)));
            let wait = at - now;
            if wait > MAX_QUEUE_DELAY || (!urgent && wait > Millis(0)) {
                return Err(CloudError::RateLimited);
            }
            *next_call_at = at + self.interval;
            at
        };
        tokio::time::sleep((at - now).to_std()).await;
        Ok(())
    }

    /// Reads the machine types that the cloud offers, with their prices.
    pub async fn machine_types(&self, http: &HttpClient, now: MonotonicTime) -> Result<Vec<MachineType>, CloudError> {
        self.wait_for_rate_limit(now, true).await?;
        let types: MachineTypes = self.get(http, "/machine_types").await?;
        Ok(types.types)
    }

    /// Requests new machines from the cloud.
    pub async fn provision(
        &self,
        http: &HttpClient,
        now: MonotonicTime,
        request: &ProvisionRequest,
    ) -> ProvisionOutcome {
        let Ok(body) = serde_json::to_vec(request) else { return ProvisionOutcome::Malformed };
        if self.wait_for_rate_limit(now, true).await.is_err() {
            return ProvisionOutcome::Unknown;
        }
        match http.call(Method::POST, &self.addr, "/machines", body, REQUEST_TIMEOUT).await {
            Ok((200, body)) => match serde_json::from_slice::<MachineNames>(&body) {
                Ok(names) => ProvisionOutcome::Provisioned(names.names),
                Err(_) => ProvisionOutcome::Unknown,
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => ProvisionOutcome::NoCapacity,
            Ok((400, _)) => ProvisionOutcome::Malformed,
            Ok(_) | Err(_) => ProvisionOutcome::Unknown,
        }
    }

    /// Terminates the machines of these names. After an error it is unknown which of them were terminated.
    pub async fn terminate(&self, http: &HttpClient, now: MonotonicTime, names: Vec<String>) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { names })?;
        self.wait_for_rate_limit(now, true).await?;
        match http.call(Method::POST, &self.addr, "/machines/return", body, REQUEST_TIMEOUT).await? {
            (200, _) => Ok(()),
            (status, _) => Err(CloudError::Status(status)),
        }
    }

    /// Lists all machines, page by page. Fails if a page would have to wait for the rate limit, so that other calls go
    /// first.
    pub async fn list_machines(&self, http: &HttpClient, now: MonotonicTime) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            self.wait_for_rate_limit(now, false).await?;
            let since = machines.last().map(|machine| format!("&since={}", machine.id)).unwrap_or_default();
            let page: MachineList = self.get(http, &format!("/machines?limit=500{since}")).await?;
            let has_more = page.has_next && !page.machines.is_empty();
            machines.extend(page.machines);
            if !has_more {
                return Ok(machines);
            }
        }
    }

    async fn get<T: DeserializeOwned>(&self, http: &HttpClient, path: &str) -> Result<T, CloudError> {
        match http.call(Method::GET, &self.addr, path, vec![], REQUEST_TIMEOUT).await? {
            (200, body) => Ok(serde_json::from_slice(&body)?),
            (status, _) => Err(CloudError::Status(status)),
        }
    }
}
