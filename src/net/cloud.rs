//! Client of the cloud. Calls keep to the cloud's rate; rentals and returns go before lists.

use super::http::Http;
use crate::core::scheduler::ProvisionOutcome;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ProvisionRequest};
use hyper::Method;
use std::sync::Mutex;

pub struct CloudClient {
    addr: String,
    every: Millis,
    next: Mutex<MonotonicTime>,
}

const REQUEST_TIMEOUT: Millis = Millis(4_000);
/// Calls wait for their turn up to this long, then fail.
const MAX_QUEUE_DELAY: Millis = Millis(5_000);

impl CloudClient {
    pub fn new(addr: String, rps: f64) -> CloudClient {
        CloudClient { addr, every: Millis::from_secs_f64(1.0 / (rps * 0.8)), next: Mutex::new(MonotonicTime(0)) }
    }

    /// Waits for a turn. False: too many are waiting, or (not urgent) somebody is.
    async fn turn(&self, now: MonotonicTime, urgent: bool) -> bool {
        let at = {
            let mut next = self.next.lock().unwrap_or_else(|e| e.into_inner());
            // A burst worth half a second may go at once.
            let at = (*next).max(MonotonicTime(now.0.saturating_sub(500)));
            let wait = at - now;
            if wait > MAX_QUEUE_DELAY || (!urgent && wait > Millis(0)) {
                return false;
            }
            *next = at + self.every;
            at
        };
        tokio::time::sleep((at - now).to_std()).await;
        true
    }

    pub async fn types(&self, http: &Http, now: MonotonicTime) -> Option<Vec<MachineType>> {
        if !self.turn(now, true).await {
            return None;
        }
        match http.call(Method::GET, &self.addr, "/machine_types", vec![], REQUEST_TIMEOUT).await {
            Ok((200, body)) => serde_json::from_slice::<MachineTypes>(&body).ok().map(|t| t.builds),
            _ => None,
        }
    }

    pub async fn provision(&self, http: &Http, now: MonotonicTime, r: &ProvisionRequest) -> ProvisionOutcome {
        let Ok(body) = serde_json::to_vec(r) else { return ProvisionOutcome::Malformed };
        if !self.turn(now, true).await {
            return ProvisionOutcome::Unknown;
        }
        match http.call(Method::POST, &self.addr, "/machines", body, REQUEST_TIMEOUT).await {
            Ok((200, body)) => match serde_json::from_slice::<MachineNames>(&body) {
                Ok(n) => ProvisionOutcome::Provisioned(n.plinths),
                Err(_) => ProvisionOutcome::Unknown,
            },
            Ok((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => ProvisionOutcome::NoCapacity,
            Ok((400, _)) => ProvisionOutcome::Malformed,
            _ => ProvisionOutcome::Unknown,
        }
    }

    pub async fn terminate(&self, http: &Http, now: MonotonicTime, names: Vec<String>) -> bool {
        let Ok(body) = serde_json::to_vec(&MachineNames { plinths: names }) else { return false };
        if !self.turn(now, true).await {
            return false;
        }
        let answer = http.call(Method::POST, &self.addr, "/machines/return", body, REQUEST_TIMEOUT).await;
        matches!(answer, Ok((200, _)))
    }

    pub async fn list(&self, http: &Http, now: MonotonicTime) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            if !self.turn(now, false).await {
                return None;
            }
            let since = all.last().map(|m| format!("&since={}", m.id)).unwrap_or_default();
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
