//! Client of the cloud. Calls keep to the cloud's rate; provisioning and termination go before lists.

use super::http::{Http, HttpError};
use crate::core::scheduler::ProvisionOutcome;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ProvisionRequest};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::sync::Mutex;

/// Why a call of the cloud has no result.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The call was not sent, as others wait for their turns.
    #[error("too many calls wait")]
    TooManyCalls,
    /// No answer in time, or none that is sound.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The answer can't be read, or the request can't be written.
    #[error("unreadable message: {0}")]
    Message(#[from] serde_json::Error),
}

/// Requests to the cloud at one address, spaced so that the cloud's limit isn't reached.
pub struct CloudClient {
    addr: String,
    /// Average time between two calls.
    interval: Millis,
    /// When the next call may be sent.
    next_turn_at: Mutex<MonotonicTime>,
}

/// The part of the cloud's rate that is used.
const RATE_SHARE: f64 = 0.8;
/// Calls that weren't made in this time may be made up for at once.
const MAX_BURST_SPAN: Millis = Millis(500);
const REQUEST_TIMEOUT: Millis = Millis(4_000);
/// Calls wait for their turn up to this long, then fail.
const MAX_QUEUE_DELAY: Millis = Millis(5_000);

impl CloudClient {
    /// A client of the cloud at `addr` (host and port) that takes `rate` calls a second.
    pub fn new(addr: String, rate: f64) -> CloudClient {
        let interval = Millis::from_secs_f64(1.0 / (rate * RATE_SHARE));
        CloudClient { addr, interval, next_turn_at: Mutex::new(MonotonicTime(0)) }
    }

    /// Waits for a turn. Fails at once if too many calls are waiting, or (not urgent) if any is.
    async fn turn(&self, now: MonotonicTime, urgent: bool) -> Result<(), CloudError> {
        let at = {
            let mut next_turn_at = self.next_turn_at.lock().unwrap_or_else(|e| e.into_inner());
            let at = (*next_turn_at).max(MonotonicTime(now.0.saturating_sub(MAX_BURST_SPAN.0)));
            let wait = at - now;
            if wait > MAX_QUEUE_DELAY || (!urgent && wait > Millis(0)) {
                return Err(CloudError::TooManyCalls);
            }
            *next_turn_at = at + self.interval;
            at
        };
        tokio::time::sleep((at - now).to_std()).await;
        Ok(())
    }

    /// The machine types that the cloud offers, with their prices.
    pub async fn types(&self, http: &Http, now: MonotonicTime) -> Result<Vec<MachineType>, CloudError> {
        self.turn(now, true).await?;
        let types: MachineTypes = self.get(http, "/machine_types").await?;
        Ok(types.builds)
    }

    /// Asks the cloud for new machines.
    pub async fn provision(&self, http: &Http, now: MonotonicTime, request: &ProvisionRequest) -> ProvisionOutcome {
        let Ok(body) = serde_json::to_vec(request) else { return ProvisionOutcome::Malformed };
        if self.turn(now, true).await.is_err() {
            return ProvisionOutcome::Unknown;
        }
        match http.call(Method::POST, &self.addr, "/machines", body, REQUEST_TIMEOUT).await {
            Ok((200, body)) => match serde_json::from_slice::<MachineNames>(&body) {
                Ok(names) => ProvisionOutcome::Provisioned(names.plinths),
                Err(_) => ProvisionOutcome::Unknown,
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => ProvisionOutcome::NoCapacity,
            Ok((400, _)) => ProvisionOutcome::Malformed,
            Ok(_) | Err(_) => ProvisionOutcome::Unknown,
        }
    }

    /// Terminates machines. After an error they may be running still or not.
    pub async fn terminate(&self, http: &Http, now: MonotonicTime, names: Vec<String>) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { plinths: names })?;
        self.turn(now, true).await?;
        match http.call(Method::POST, &self.addr, "/machines/return", body, REQUEST_TIMEOUT).await? {
            (200, _) => Ok(()),
            (status, _) => Err(CloudError::Status(status)),
        }
    }

    /// All machines that the cloud lists, read in pages. Other calls go before.
    pub async fn list(&self, http: &Http, now: MonotonicTime) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            self.turn(now, false).await?;
            let since = all.last().map(|machine| format!("&since={}", machine.id)).unwrap_or_default();
            let page: MachineList = self.get(http, &format!("/machines?limit=500{since}")).await?;
            let more = page.has_next && !page.plinths.is_empty();
            all.extend(page.plinths);
            if !more {
                return Ok(all);
            }
        }
    }

    async fn get<T: DeserializeOwned>(&self, http: &Http, path: &str) -> Result<T, CloudError> {
        match http.call(Method::GET, &self.addr, path, vec![], REQUEST_TIMEOUT).await? {
            (200, body) => Ok(serde_json::from_slice(&body)?),
            (status, _) => Err(CloudError::Status(status)),
        }
    }
}
