//! Cache of the terminal records of jobs that have ended. Records that are not cached are read from the store.

use crate::core::records::TerminalRecord;
use crate::ids::JobId;
use std::collections::{HashMap, VecDeque};

const MAX_CACHED_OUTCOMES: usize = 20_000;

/// Terminal records by job. Beyond `MAX_CACHED_OUTCOMES` records, the one inserted first is evicted.
#[derive(Default)]
pub struct OutcomeCache {
    records: HashMap<JobId, TerminalRecord>,
    /// The jobs of `records` in insertion order.
    insertion_order: VecDeque<JobId>,
}

impl OutcomeCache {
    /// Returns a job's terminal record, or `None` if it isn't cached.
    pub fn get(&self, id: &JobId) -> Option<TerminalRecord> {
        self.records.get(id).copied()
    }

    /// Inserts a job's terminal record, which has been read from the store or committed to it.
    pub fn insert(&mut self, id: &JobId, record: TerminalRecord) {
        if self.records.insert(*id, record).is_none() {
            self.insertion_order.push_back(*id);
            if self.insertion_order.len() > MAX_CACHED_OUTCOMES
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.records.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
