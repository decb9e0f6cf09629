//! Sets of done tasks, as the state service keeps them.
//!
//! A job's set is cut into rows that fit the smallest value that the state service may come to take. A set
//! that fits one row is kept as row 0, which every version reads alike. Earlier versions cut larger sets by
//! the limit that was in force when they ran; their rows are read, and never overwritten.

use super::records::BITMAP_PREFIX;
use super::submissions::MAX_TASKS;
use crate::config::StoreLimits;
use crate::ids::JobId;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fixedbitset::FixedBitSet;
use serde_json::Value;
use std::ops::Range;

/// Rows from this number on begin with the task whose index is the row's number less this. Rows of earlier
/// versions have smaller numbers: each job has at most `MAX_TASKS` tasks, and so fewer rows.
const LARGE_BITMAP_OFFSET: u32 = MAX_TASKS;
const MIN_TASKS_PER_CHUNK: u32 = 64;

/// How sets are cut into rows.
#[derive(Clone, Copy, Debug)]
pub struct BitmapLayout {
    /// Tasks in a row.
    size: u32,
    /// Tasks in a row of an earlier version.
    earlier_size: u32,
}

/// One row of a job's set.
#[derive(Clone, Debug, PartialEq)]
pub struct BitmapChunk {
    number: u32,
    tasks: Range<usize>,
}

/// Tasks in a row, so that its base64 stays well below a value's limit.
fn tasks_per_chunk(max_value_kb: f64) -> u32 {
    ((max_value_kb * 1024.0 * 0.5) as u32 * 6).clamp(MIN_TASKS_PER_CHUNK, MAX_TASKS)
}

impl BitmapLayout {
    pub fn new(limits: &StoreLimits) -> BitmapLayout {
        BitmapLayout {
            size: tasks_per_chunk(limits.lowest().max_value_kb),
            earlier_size: tasks_per_chunk(limits.max_value_kb),
        }
    }

    /// The rows of a job with so many tasks.
    pub fn chunks(&self, tasks: u32) -> Vec<BitmapChunk> {
        if tasks <= self.size {
            return vec![BitmapChunk { number: 0, tasks: 0..tasks as usize }];
        }
        let row = |first: u32| BitmapChunk {
            number: LARGE_BITMAP_OFFSET + first,
            tasks: first as usize..tasks.min(first + self.size) as usize,
        };
        (0..tasks).step_by(self.size as usize).map(row).collect()
    }

    /// Adds a stored row to the set; false: it can't be read.
    pub fn read(&self, set: &mut FixedBitSet, number: u32, value: &Value) -> bool {
        let Some(bytes) = value.as_str().and_then(|s| STANDARD.decode(s).ok()) else {
            return false;
        };
        let first = match number.checked_sub(LARGE_BITMAP_OFFSET) {
            Some(first) => first as usize,
            None => number as usize * self.earlier_size as usize,
        };
        for (n, byte) in bytes.iter().enumerate() {
            for bit in 0..8 {
                let task = first + n * 8 + bit;
                if byte & (1 << bit) != 0 && task < set.len() {
                    set.insert(task);
                }
            }
        }
        true
    }
}

impl BitmapChunk {
    pub fn key(&self, id: &JobId) -> String {
        format!("{BITMAP_PREFIX}{id}/{}", self.number)
    }

    /// What is stored under the row's key.
    pub fn encode(&self, set: &FixedBitSet) -> Value {
        let mut bytes = vec![0u8; self.tasks.len().div_ceil(8)];
        for task in self.members(set) {
            let place = task - self.tasks.start;
            bytes[place / 8] |= 1 << (place % 8);
        }
        Value::String(STANDARD.encode(bytes))
    }

    /// The tasks of a set that are in this row.
    pub fn members<'a>(&'a self, set: &'a FixedBitSet) -> impl Iterator<Item = usize> + 'a {
        self.tasks.clone().filter(|task| set.contains(*task))
    }

    /// Whether two sets differ in this row.
    pub fn differs(&self, one: &FixedBitSet, other: &FixedBitSet) -> bool {
        self.members(one).ne(self.members(other))
    }
}

/// The job and the number of a row, by its key.
pub fn parse_key(key: &str) -> Option<(JobId, u32)> {
    let (job, number) = key.strip_prefix(BITMAP_PREFIX)?.split_once('/')?;
    Some((JobId::parse(job)?, number.parse().ok()?))
}

#[cfg(test)]
mod tests;
