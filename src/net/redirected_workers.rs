//! Workers that have tried here while another controller led.
//!
//! A leader asks its peers which of its suspected machines have tried there: if most have, it is the leader
//! that can't be reached.

use crate::time::{Millis, MonotonicTime};
use std::collections::HashMap;

/// A worker waits this long for an answer (PROTOCOL).
const WORKER_RESPONSE_TIMEOUT: Millis = Millis(4_000);
/// A worker that has lost its leader may take this long to come back to the same controller.
const REDIRECT_TTL: Millis = Millis(8_000);
/// Far more machines than any known fleet has. Beyond it all are forgotten at once.
const MAX_REDIRECTED: usize = 65_536;

struct Redirect {
    at: MonotonicTime,
    /// The controller that the worker was sent to.
    sent_to: Option<String>,
}

/// The latest redirection of each machine.
#[derive(Default)]
pub struct RedirectedWorkers {
    by_machine: HashMap<String, Redirect>,
}

impl RedirectedWorkers {
    /// Notes that a machine has tried here, and returns the controller to send it to.
    ///
    /// None: no `leader` is known, or the worker has been sent there before, has waited in vain and is back.
    /// It can't reach that controller and would only be sent to and fro. One that was turned away there at
    /// once is sent again, as that controller may be about to start.
    pub fn record(&mut self, machine: &str, now: MonotonicTime, leader: Option<String>) -> Option<String> {
        if self.by_machine.len() >= MAX_REDIRECTED {
            self.by_machine.clear();
        }
        let before = self.by_machine.insert(machine.into(), Redirect { at: now, sent_to: leader.clone() });
        let waited = |before: &Redirect| (WORKER_RESPONSE_TIMEOUT..=REDIRECT_TTL).contains(&(now - before.at));
        leader.filter(|name| before.is_none_or(|before| !waited(&before) || before.sent_to.as_ref() != Some(name)))
    }

    /// Of these machines, those that have lately tried here.
    pub fn among(&mut self, machines: &[String], now: MonotonicTime) -> Vec<String> {
        self.by_machine.retain(|_, redirect| now - redirect.at <= REDIRECT_TTL);
        machines.iter().filter(|machine| self.by_machine.contains_key(*machine)).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
