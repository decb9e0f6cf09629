//! Client of the cloud. Calls keep to the cloud's rate; provisioning and termination go before lists.

use super::http::Http;
use crate::core::scheduler::ProvisionOutcome;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ProvisionRequest};
use hyper::Method;
use std::sync::Mutex;

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

    /// Waits for a turn. False: too many are waiting, or (not urgent) somebody is.
    async fn turn(&self, now: MonotonicTime, urgent: bool) -> bool {
        let at = {
            let mut next_turn_at = self.next_turn_at.lock().unwrap_or_else(|e| e.into_inner());
            let at = (*next_turn_at).max(MonotonicTime(now.0.saturating_sub(MAX_BURST_SPAN.0)));
            let wait = at - now;
            if wait > MAX_QUEUE_DELAY || (!urgent && wait > Millis(0)) {
                return false;
            }
            *next_turn_at = at + self.interval;
            at
        };
        tokio::time::sleep((at - now).to_std()).await;
        true
    }

    /// The machine types that the cloud offers; none: there was no readable answer.
    pub async fn types(&self, http: &Http, now: MonotonicTime) -> Option<Vec<MachineType>> {
        if !self.turn(now, true).await {
            return None;
        }
        match http.call(Method::GET, &self.addr, "/machine_types", vec![], REQUEST_TIMEOUT).await {
            Ok((200, body)) => serde_json::from_slice::<MachineTypes>(&body).ok().map(|types| types.builds),
            _ => None,
        }
    }

    /// Asks the cloud for new machines.
    pub async fn provision(&self, http: &Http, now: MonotonicTime, request: &ProvisionRequest) -> ProvisionOutcome {
        let Ok(body) = serde_json::to_vec(request) else { return ProvisionOutcome::Malformed };
        if !self.turn(now, true).await {
            return ProvisionOutcome::Unknown;
        }
        match http.call(Method::POST, &self.addr, "/machines", body, REQUEST_TIMEOUT).await {
            Ok((200, body)) => match serde_json::from_slice::<MachineNames>(&body) {
                Ok(names) => ProvisionOutcome::Provisioned(names.plinths),
                Err(_) => ProvisionOutcome::Unknown,
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => ProvisionOutcome::NoCapacity,
            Ok((400, _)) => ProvisionOutcome::Malformed,
            _ => ProvisionOutcome::Unknown,
        }
    }

    /// Terminates machines. False: the cloud hasn't confirmed it.
    pub async fn terminate(&self, http: &Http, now: MonotonicTime, names: Vec<String>) -> bool {
        let Ok(body) = serde_json::to_vec(&MachineNames { plinths: names }) else { return false };
        if !self.turn(now, true).await {
            return false;
        }
        let answer = http.call(Method::POST, &self.addr, "/machines/return", body, REQUEST_TIMEOUT).await;
        matches!(answer, Ok((200, _)))
    }

    /// All machines that the cloud lists, in pages; none: a page couldn't be read, or other calls wait.
    pub async fn list(&self, http: &Http, now: MonotonicTime) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            if !self.turn(now, false).await {
                return None;
            }
            let since = all.last().map(|machine| format!("&since={}", machine.id)).unwrap_or_default();
            let path = format!("/machines?limit=500{since}");
            let (200, body) = http.call(Method::GET, &self.addr, &path, vec![], REQUEST_TIMEOUT).await.ok()? else {
                return None;
            };
            let page: MachineList = serde_json::from_slice(&body).ok()?;
            let more = page.has_next && !page.plinths.is_empty();
            all.extend(page.plinths);
            if !more {
                return Some(all);
            }
        }
    }
}
