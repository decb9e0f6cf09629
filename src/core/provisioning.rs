//! Renting and returning machines: what the cloud has refused, and requests under way.

use crate::time::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// What the cloud tells capacity apart by.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct InstancePool {
    pub kind: usize,
    pub zone: u32,
    pub spot: bool,
}

#[derive(Clone, Debug)]
pub struct PendingProvision {
    pub pool: InstancePool,
    pub number: u32,
    pub in_flight: bool,
    pub again_at: MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: MonotonicTime,
    pause: Millis,
}

const INITIAL_BACKOFF: Millis = Millis(5_000);
const CAPACITY_FREED_BACKOFF: Millis = Millis(1_000);
const MAX_BACKOFF: Millis = Millis(40_000);
/// Most rental requests under way at once.
const MAX_REQUESTS: usize = 16;

#[derive(Default)]
pub struct Provisioner {
    backoffs: BTreeMap<InstancePool, Backoff>,
    /// By request name. A name that may have been carried out is repeated until it is answered.
    pub requests: BTreeMap<String, PendingProvision>,
}

impl Provisioner {
    pub fn open(&self, m: InstancePool, now: MonotonicTime) -> bool {
        self.backoffs.get(&m).is_none_or(|b| b.until <= now)
    }

    /// "No capacity", or fewer machines than asked for: ask again later and later.
    pub fn on_refused(&mut self, m: InstancePool, now: MonotonicTime) {
        let pause = match self.backoffs.get(&m) {
            Some(b) if now - b.until < b.pause => Millis((b.pause.0 * 2).min(MAX_BACKOFF.0)),
            _ => INITIAL_BACKOFF,
        };
        self.backoffs.insert(m, Backoff { until: now + pause, pause });
    }

    pub fn on_granted(&mut self, m: InstancePool) {
        self.backoffs.remove(&m);
    }

    /// A machine of this market is gone, so there may be capacity again: the next try comes soon,
    /// whatever was refused before.
    pub fn on_capacity_freed(&mut self, m: InstancePool, now: MonotonicTime) {
        if let Some(b) = self.backoffs.get_mut(&m) {
            *b = Backoff { until: b.until.min(now + CAPACITY_FREED_BACKOFF), pause: INITIAL_BACKOFF };
        }
    }

    pub fn has_capacity(&self) -> bool {
        self.requests.len() < MAX_REQUESTS
    }
}

#[cfg(test)]
mod tests;
