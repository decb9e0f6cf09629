//! Provisioning machines: what the cloud has refused, and requests under way.

use crate::ids::Term;
use crate::time::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// What the cloud's capacity is told apart by.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct InstancePool {
    /// The number of the type in the catalog.
    pub kind: usize,
    /// The number of the zone in the catalog.
    pub zone: u32,
    /// Machines that the cloud may reclaim.
    pub spot: bool,
}

/// A request for machines that the cloud hasn't answered for good.
#[derive(Clone, Copy, Debug)]
pub struct PendingProvision {
    /// Where they are asked for.
    pub pool: InstancePool,
    /// How many.
    pub number: u32,
    /// Sent, without a result yet.
    in_flight: bool,
    /// Otherwise it is sent then.
    again_at: MonotonicTime,
}

/// A pool that the cloud has refused isn't tried before `until`.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: MonotonicTime,
    pause: Millis,
}

const INITIAL_BACKOFF: Millis = Millis(5_000);
const CAPACITY_FREED_BACKOFF: Millis = Millis(1_000);
const MAX_BACKOFF: Millis = Millis(40_000);
/// Requests under way at once at most.
const MAX_REQUESTS: usize = 16;

/// Requests for machines, and when each pool may be tried.
#[derive(Default)]
pub struct Provisioner {
    backoffs: BTreeMap<InstancePool, Backoff>,
    /// By request name. A name that may have been carried out is repeated until it is answered.
    requests: BTreeMap<String, PendingProvision>,
    /// How many requests have been named.
    named: u64,
}

impl Provisioner {
    /// Whether the pool may be tried: the cloud hasn't refused it lately.
    pub fn open(&self, pool: InstancePool, now: MonotonicTime) -> bool {
        self.backoffs.get(&pool).is_none_or(|backoff| backoff.until <= now)
    }

    /// "No capacity", or fewer machines than asked for: ask again later and later.
    pub fn on_refused(&mut self, pool: InstancePool, now: MonotonicTime) {
        let pause = match self.backoffs.get(&pool) {
            Some(backoff) if now - backoff.until < backoff.pause => Millis((backoff.pause.0 * 2).min(MAX_BACKOFF.0)),
            _ => INITIAL_BACKOFF,
        };
        self.backoffs.insert(pool, Backoff { until: now + pause, pause });
    }

    /// All machines that were asked for have been provisioned.
    pub fn on_granted(&mut self, pool: InstancePool) {
        self.backoffs.remove(&pool);
    }

    /// A machine of this pool is gone, so there may be capacity again: the next try comes soon,
    /// whatever was refused before.
    pub fn on_capacity_freed(&mut self, pool: InstancePool, now: MonotonicTime) {
        if let Some(backoff) = self.backoffs.get_mut(&pool) {
            *backoff = Backoff { until: backoff.until.min(now + CAPACITY_FREED_BACKOFF), pause: INITIAL_BACKOFF };
        }
    }

    /// Adds a request for `number` machines, which is due at once. The term keeps its name apart from those of
    /// other leaders.
    pub fn request(&mut self, term: Term, pool: InstancePool, number: u32, now: MonotonicTime) {
        self.named += 1;
        let name = format!("w{term}-{}", self.named);
        self.requests.insert(name, PendingProvision { pool, number, in_flight: false, again_at: now });
    }

    /// Marks the requests that are due as sent, and returns them by name.
    pub fn start_due(&mut self, now: MonotonicTime) -> Vec<(String, PendingProvision)> {
        let due = self.requests.iter_mut().filter(|(_, request)| !request.in_flight && request.again_at <= now);
        let start = |(name, request): (&String, &mut PendingProvision)| {
            request.in_flight = true;
            (name.clone(), *request)
        };
        due.map(start).collect()
    }

    /// The request of this name; none: it has been answered for good, or there was none.
    pub fn get(&self, name: &str) -> Option<PendingProvision> {
        self.requests.get(name).copied()
    }

    /// The result of a request isn't known: it is due again at `again_at`, under the same name.
    pub fn retry(&mut self, name: &str, again_at: MonotonicTime) {
        if let Some(request) = self.requests.get_mut(name) {
            request.in_flight = false;
            request.again_at = again_at;
        }
    }

    /// A request has been answered for good.
    pub fn close(&mut self, name: &str) {
        self.requests.remove(name);
    }

    /// The requests that aren't answered for good, in the order of their names.
    pub fn requests(&self) -> impl Iterator<Item = &PendingProvision> {
        self.requests.values()
    }

    /// Whether one more request may be under way.
    pub fn has_capacity(&self) -> bool {
        self.requests.len() < MAX_REQUESTS
    }
}

#[cfg(test)]
mod tests;
