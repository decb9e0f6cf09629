//! Renting and returning machines: what the cloud has refused, and requests under way.

use crate::time::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// What the cloud tells capacity apart by.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Market {
    pub kind: usize,
    pub zone: u32,
    pub spot: bool,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub market: Market,
    pub number: u32,
    pub in_flight: bool,
    pub again_at: MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    until: MonotonicTime,
    pause: Millis,
}

const FIRST_PAUSE: Millis = Millis(5_000);
const SOON: Millis = Millis(1_000);
const LONGEST_PAUSE: Millis = Millis(40_000);
/// Most rental requests under way at once.
const MAX_REQUESTS: usize = 16;

#[derive(Default)]
pub struct Rentals {
    blocks: BTreeMap<Market, Block>,
    /// By request name. A name that may have been carried out is repeated until it is answered.
    pub requests: BTreeMap<String, Request>,
}

impl Rentals {
    pub fn open(&self, m: Market, now: MonotonicTime) -> bool {
        self.blocks.get(&m).is_none_or(|b| b.until <= now)
    }

    /// "No capacity", or fewer machines than asked for: ask again later and later.
    pub fn refused(&mut self, m: Market, now: MonotonicTime) {
        let pause = match self.blocks.get(&m) {
            Some(b) if now - b.until < b.pause => Millis((b.pause.0 * 2).min(LONGEST_PAUSE.0)),
            _ => FIRST_PAUSE,
        };
        self.blocks.insert(m, Block { until: now + pause, pause });
    }

    pub fn granted(&mut self, m: Market) {
        self.blocks.remove(&m);
    }

    /// A machine of this market is gone, so there may be capacity again: the next try comes soon,
    /// whatever was refused before.
    pub fn freed(&mut self, m: Market, now: MonotonicTime) {
        if let Some(b) = self.blocks.get_mut(&m) {
            *b = Block { until: b.until.min(now + SOON), pause: FIRST_PAUSE };
        }
    }

    pub fn has_room(&self) -> bool {
        self.requests.len() < MAX_REQUESTS
    }
}

#[cfg(test)]
mod tests;
