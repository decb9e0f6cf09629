//! Records workers that have sent this controller a heartbeat while it didn't lead, and neither this controller nor a
//! known peer could relay the heartbeat to the leader.
//!
//! A leader that suspects machines of having failed asks its peers which of these machines they have recorded. If the
//! peers have recorded most of them, the machines are alive but can't reach the leader.

use crate::time::{Millis, MonotonicTime};
use std::collections::HashMap;

/// How long a worker waits for the response to a heartbeat, as the platform's protocol specifies.
const WORKER_RESPONSE_TIMEOUT: Millis = Millis(4_000);
/// How long a record is kept. A worker that tries one controller after the other comes back to the same one within
/// this time.
const REDIRECT_TTL: Millis = Millis(8_000);
/// Maximum number of recorded machines, far above the size of known clusters. When it is reached, all records are
/// discarded.
const MAX_REDIRECTED: usize = 65_536;

/// The record of a worker's heartbeat. A worker with a record may not have been redirected, for example if no leader
/// was known.
struct Redirect {
    at: MonotonicTime,
    /// The leader that was passed to [`RedirectedWorkers::record`], or `None` if none was known.
    leader: Option<String>,
}

/// The latest heartbeat record of each machine, by the machine's name.
#[derive(Default)]
pub struct RedirectedWorkers {
    by_machine: HashMap<String, Redirect>,
}

impl RedirectedWorkers {
    /// Records that a machine's worker has sent its heartbeat here, and returns the controller to redirect it to.
    ///
    /// Returns `None` if `leader` is `None`, or if it is the same leader as at the worker's previous heartbeat here and
    /// that was at least a response timeout ago: the worker can't reach that leader and would only alternate between
    /// the two controllers. A worker that is back sooner was refused there immediately; it is redirected again, as that
    /// controller may be about to start leading.
    pub fn record(&mut self, machine: &str, now: MonotonicTime, leader: Option<String>) -> Option<String> {
        if self.by_machine.len() >= MAX_REDIRECTED {
            self.by_machine.clear();
        }
        let previous = self.by_machine.insert(machine.into(), Redirect { at: now, leader: leader.clone() });
        let timed_out = |previous: &Redirect| (WORKER_RESPONSE_TIMEOUT..=REDIRECT_TTL).contains(&(now - previous.at));
        leader.filter(|name| previous.is_none_or(|last| !timed_out(&last) || last.leader.as_ref() != Some(name)))
    }

    /// Returns those of `machines` whose workers have sent a heartbeat here recently, in the order of `machines`.
    pub fn filter_recent(&mut self, machines: &[String], now: MonotonicTime) -> Vec<String> {
        self.by_machine.retain(|_, redirect| now - redirect.at <= REDIRECT_TTL);
        machines.iter().filter(|machine| self.by_machine.contains_key(*machine)).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
