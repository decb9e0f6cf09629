//! Provisioning machines: what the cloud has refused, and requests under way.

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
#[derive(Clone, Debug)]
pub struct PendingProvision {
    /// Where they are asked for.
    pub pool: InstancePool,
    /// How many.
    pub number: u32,
    /// Sent, without a result yet.
    pub in_flight: bool,
    /// Otherwise it is sent then.
    pub again_at: MonotonicTime,
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
    pub requests: BTreeMap<String, PendingProvision>,
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

    /// Whether one more request may be under way.
    pub fn has_capacity(&self) -> bool {
        self.requests.len() < MAX_REQUESTS
    }
}

#[cfg(test)]
mod tests;
