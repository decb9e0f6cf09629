//! Provisioning of machines: pending requests to the cloud, and backoff after it lacked capacity.

use crate::ids::Term;
use crate::time::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// A group of interchangeable machines of the cloud; capacity differs from pool to pool.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct InstancePool {
    /// Index of the machine type in the scheduler's catalog.
    pub kind: usize,
    /// Index of the zone in the scheduler's catalog.
    pub zone: u32,
    /// Whether its machines are spot machines, which the cloud may reclaim.
    pub spot: bool,
}

/// A request for machines to which the cloud has not given a final answer.
#[derive(Clone, Copy, Debug)]
pub struct PendingProvision {
    /// The pool of the requested machines.
    pub pool: InstancePool,
    /// Number of machines that this request asks for.
    pub count: u32,
    /// Whether the request has been sent and its result has not arrived yet.
    in_flight: bool,
    /// When to send the request, or send it again. Not used while the request is in flight.
    next_attempt_at: MonotonicTime,
}

/// The backoff of a pool in which the cloud lacked capacity.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// No machines are requested from the pool before this time.
    until: MonotonicTime,
    /// Length of this backoff. The next one is twice as long if the cloud lacks capacity again soon after this one.
    delay: Millis,
}

/// Length of a pool's backoff after the cloud first lacked capacity for a request.
const INITIAL_BACKOFF: Millis = Millis(5_000);
/// Upper bound on the rest of a pool's backoff once a machine of the pool is gone, which frees capacity in the cloud.
const CAPACITY_FREED_BACKOFF: Millis = Millis(1_000);
/// Upper bound on the length of a pool's backoff, which doubles while the cloud lacks capacity.
const MAX_BACKOFF: Millis = Millis(40_000);
/// Maximum number of requests to the cloud without a final answer, over all pools.
const MAX_REQUESTS: usize = 16;

/// Tracks the pending requests for machines and the backoff of each pool.
#[derive(Default)]
pub struct Provisioner {
    backoffs: BTreeMap<InstancePool, Backoff>,
    /// The requests without a final answer, by the name under which they are sent. A request whose result is unknown is
    /// sent again under the same name: the cloud carries out only one request of each name.
    requests: BTreeMap<String, PendingProvision>,
    /// Number of requests that this leader has created, from which the name of the next one is made.
    request_count: u64,
}

impl Provisioner {
    /// Whether machines may be requested from the pool now: the pool is not in a backoff after a lack of capacity.
    pub fn may_request(&self, pool: InstancePool, now: MonotonicTime) -> bool {
        self.backoffs.get(&pool).is_none_or(|backoff| backoff.until <= now)
    }

    /// Records that the cloud refused a request or provisioned fewer machines than requested, and starts a backoff of
    /// the pool. The backoff is twice as long as the previous one, up to `MAX_BACKOFF`, if the time since the previous
    /// one ended is shorter than that one was.
    pub fn on_refused(&mut self, pool: InstancePool, now: MonotonicTime) {
        let delay = match self.backoffs.get(&pool) {
            Some(backoff) if now - backoff.until < backoff.delay => Millis((backoff.delay.0 * 2).min(MAX_BACKOFF.0)),
            _ => INITIAL_BACKOFF,
        };
        self.backoffs.insert(pool, Backoff { until: now + delay, delay });
    }

    /// Records that all requested machines have been provisioned, which ends the pool's backoff.
    pub fn on_granted(&mut self, pool: InstancePool) {
        self.backoffs.remove(&pool);
    }

    /// Records that a machine of the pool is gone, so that the cloud may have capacity again: the next request may be
    /// made soon, however long the backoff is.
    pub fn on_capacity_freed(&mut self, pool: InstancePool, now: MonotonicTime) {
        if let Some(backoff) = self.backoffs.get_mut(&pool) {
            *backoff = Backoff { until: backoff.until.min(now + CAPACITY_FREED_BACKOFF), delay: INITIAL_BACKOFF };
        }
    }

    /// Adds a request for `count` machines, to be sent by the next call of [`Self::start_due`]. The request's name
    /// contains the leader's term, so that it differs from the names of other leaders' requests.
    pub fn request(&mut self, term: Term, pool: InstancePool, count: u32, now: MonotonicTime) {
        self.request_count += 1;
        let name = format!("w{term}-{}", self.request_count);
        self.requests.insert(name, PendingProvision { pool, count, in_flight: false, next_attempt_at: now });
    }

    /// The requests that are to be sent now, with their names. Marks them as in flight.
    pub fn start_due(&mut self, now: MonotonicTime) -> Vec<(String, PendingProvision)> {
        let due = self.requests.iter_mut().filter(|(_, request)| !request.in_flight && request.next_attempt_at <= now);
        let start = |(name, request): (&String, &mut PendingProvision)| {
            request.in_flight = true;
            (name.clone(), *request)
        };
        due.map(start).collect()
    }

    /// The request of this name. Returns `None` if the cloud has given its final answer, or no request has this name.
    pub fn get(&self, name: &str) -> Option<PendingProvision> {
        self.requests.get(name).copied()
    }

    /// Schedules a request whose result is unknown to be sent again at `at`, under the same name.
    pub fn retry(&mut self, name: &str, at: MonotonicTime) {
        if let Some(request) = self.requests.get_mut(name) {
            request.in_flight = false;
            request.next_attempt_at = at;
        }
    }

    /// Removes a request to which the cloud has given its final answer.
    pub fn close(&mut self, name: &str) {
        self.requests.remove(name);
    }

    /// The requests to which the cloud has given no final answer, ordered by name.
    pub fn requests(&self) -> impl Iterator<Item = &PendingProvision> {
        self.requests.values()
    }

    /// Whether fewer than `MAX_REQUESTS` requests have no final answer, so that another one may be added.
    pub fn has_request_slot(&self) -> bool {
        self.requests.len() < MAX_REQUESTS
    }
}

#[cfg(test)]
mod tests;
