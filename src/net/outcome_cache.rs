//! Jobs known to have ended. What isn't here is read from the store.

use crate::core::records::TerminalRecord;
use crate::ids::JobId;
use std::collections::{HashMap, VecDeque};

const MAX_CACHED_OUTCOMES: usize = 20_000;

/// Terminal records by job; beyond `MAX_CACHED_OUTCOMES` the one put first is dropped.
#[derive(Default)]
pub struct OutcomeCache {
    records: HashMap<JobId, TerminalRecord>,
    /// The jobs in `records` in the order in which they were put.
    order: VecDeque<JobId>,
}

impl OutcomeCache {
    /// A job's terminal record, if it is known here.
    pub fn get(&self, id: &JobId) -> Option<TerminalRecord> {
        self.records.get(id).copied()
    }

    /// Remembers a job's terminal record, as read from the store or committed.
    pub fn put(&mut self, id: &JobId, record: TerminalRecord) {
        if self.records.insert(*id, record).is_none() {
            self.order.push_back(*id);
            if self.order.len() > MAX_CACHED_OUTCOMES
                && let Some(oldest) = self.order.pop_front()
            {
                self.records.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
