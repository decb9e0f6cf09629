//! The stored form of completion bitmaps, which say which tasks of a job are done.
//!
//! A bitmap is split into chunks that fit both the store's current limit on the size of values and any announced
//! lower one. A bitmap that fits one chunk is stored as chunk 0, which all versions read alike. Earlier versions
//! split larger bitmaps by the limit that was in force when they ran; their chunks are still read, and never
//! overwritten.

use super::records::BITMAP_PREFIX;
use super::submissions::MAX_TASKS;
use crate::config::StoreLimits;
use crate::ids::JobId;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fixedbitset::FixedBitSet;
use serde_json::Value;
use std::ops::Range;

/// If a bitmap needs several chunks, each is numbered by this base plus the index of its first task. Earlier
/// versions numbered chunks from 0; their numbers are below the base, as a job has at most [`MAX_TASKS`] tasks
/// and fewer chunks than tasks.
const CHUNK_NUMBER_BASE: u32 = MAX_TASKS;

/// Minimum number of tasks in a chunk of a bitmap, however small the store's limit on the size of values is.
const MIN_TASKS_PER_CHUNK: u32 = 64;

/// How completion bitmaps are split into chunks: by this version, and by an earlier one whose chunks are still read.
#[derive(Clone, Copy, Debug)]
pub struct BitmapLayout {
    /// Number of tasks in a chunk that this version writes.
    tasks_per_chunk: u32,
    /// Number of tasks in a chunk that an earlier version wrote.
    legacy_tasks_per_chunk: u32,
}

/// Which tasks of a job one chunk of its completion bitmap covers. Holds no bits: the methods are given the bitmap.
#[derive(Clone, Debug, PartialEq)]
pub struct BitmapChunk {
    /// The number in the chunk's key, which identifies the chunk among those of its job.
    number: u32,
    /// The indices, within the job, of the tasks that the chunk covers.
    tasks: Range<usize>,
}

/// The number of tasks in a chunk whose base64 text, at 6 tasks per byte, takes half of the store's limit on the
/// size of a value.
fn tasks_per_chunk(max_value_kb: f64) -> u32 {
    ((max_value_kb * 1024.0 * 0.5) as u32 * 6).clamp(MIN_TASKS_PER_CHUNK, MAX_TASKS)
}

impl BitmapLayout {
    /// Creates a layout whose chunks fit the store's current limits and those announced in [`StoreLimits::next`].
    pub fn new(limits: &StoreLimits) -> BitmapLayout {
        BitmapLayout {
            tasks_per_chunk: tasks_per_chunk(limits.strictest().max_value_kb),
            legacy_tasks_per_chunk: tasks_per_chunk(limits.max_value_kb),
        }
    }

    /// The chunks of a job with this number of tasks.
    pub fn chunks(&self, tasks: u32) -> Vec<BitmapChunk> {
        if tasks <= self.tasks_per_chunk {
            return vec![BitmapChunk { number: 0, tasks: 0..tasks as usize }];
        }
        let chunk = |first: u32| BitmapChunk {
            number: CHUNK_NUMBER_BASE + first,
            tasks: first as usize..tasks.min(first + self.tasks_per_chunk) as usize,
        };
        (0..tasks).step_by(self.tasks_per_chunk as usize).map(chunk).collect()
    }

    /// Adds the done tasks of a chunk that was read from the store to a bitmap, skipping those beyond the bitmap's
    /// length. Returns false if the chunk's value cannot be decoded.
    pub fn read_chunk(&self, bitmap: &mut FixedBitSet, number: u32, value: &Value) -> bool {
        let Some(bytes) = value.as_str().and_then(|text| STANDARD.decode(text).ok()) else {
            return false;
        };
        let first = match number.checked_sub(CHUNK_NUMBER_BASE) {
            Some(first) => first as usize,
            None => number as usize * self.legacy_tasks_per_chunk as usize,
        };
        for (position, byte) in bytes.iter().enumerate() {
            for bit in 0..8 {
                let task = first + position * 8 + bit;
                if byte & (1 << bit) != 0 && task < bitmap.len() {
                    bitmap.insert(task);
                }
            }
        }
        true
    }
}

impl BitmapChunk {
    /// The key of this chunk of a job's bitmap in the key-value store.
    pub fn key(&self, id: &JobId) -> String {
        format!("{BITMAP_PREFIX}{id}/{}", self.number)
    }

    /// The value to store for the chunk: one bit for each of its tasks, set if the task is done, as base64.
    pub fn encode(&self, bitmap: &FixedBitSet) -> Value {
        let mut bytes = vec![0u8; self.tasks.len().div_ceil(8)];
        for task in self.done_tasks(bitmap) {
            let position = task - self.tasks.start;
            bytes[position / 8] |= 1 << (position % 8);
        }
        Value::String(STANDARD.encode(bytes))
    }

    /// The tasks in this chunk that are done according to a bitmap.
    pub fn done_tasks<'a>(&'a self, bitmap: &'a FixedBitSet) -> impl Iterator<Item = usize> + 'a {
        self.tasks.clone().filter(|task| bitmap.contains(*task))
    }

    /// Whether two bitmaps differ in the tasks of this chunk.
    pub fn differs(&self, one: &FixedBitSet, other: &FixedBitSet) -> bool {
        self.done_tasks(one).ne(self.done_tasks(other))
    }
}

/// Parses the key of a chunk into the job's id and the chunk's number. Returns `None` for any other key.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (job, number) = key.strip_prefix(BITMAP_PREFIX)?.split_once('/')?;
    Some((JobId::parse(job)?, number.parse().ok()?))
}

#[cfg(test)]
mod tests;
