//! Completion bitmaps: which tasks of a job are done, as the key-value store holds it.
//!
//! A bitmap is cut into chunks that fit the smallest value that the store may come to take. A bitmap that
//! fits one chunk is stored as chunk 0, which every version reads alike. Earlier versions cut larger bitmaps
//! by the limit that was in force when they ran; their chunks are read, and never overwritten.

use super::records::BITMAP_PREFIX;
use super::submissions::MAX_TASKS;
use crate::config::StoreLimits;
use crate::ids::JobId;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fixedbitset::FixedBitSet;
use serde_json::Value;
use std::ops::Range;

/// Chunks from this number on begin with the task whose index is the chunk's number less this. Chunks of
/// earlier versions have smaller numbers: a job has at most `MAX_TASKS` tasks, and so fewer chunks.
const LARGE_BITMAP_OFFSET: u32 = MAX_TASKS;

/// Least tasks in a chunk, however small the store's limit on values is.
const MIN_TASKS_PER_CHUNK: u32 = 64;

/// How bitmaps are cut into chunks.
#[derive(Clone, Copy, Debug)]
pub struct BitmapLayout {
    /// Tasks in a chunk.
    size: u32,
    /// Tasks in a chunk of an earlier version.
    earlier_size: u32,
}

/// One chunk of a job's bitmap: which tasks it covers, not which of them are done.
#[derive(Clone, Debug, PartialEq)]
pub struct BitmapChunk {
    number: u32,
    tasks: Range<usize>,
}

/// Tasks in a chunk, so that its base64 stays at half of a value's limit: each byte of it holds six tasks.
fn tasks_per_chunk(max_value_kb: f64) -> u32 {
    ((max_value_kb * 1024.0 * 0.5) as u32 * 6).clamp(MIN_TASKS_PER_CHUNK, MAX_TASKS)
}

impl BitmapLayout {
    /// The layout for the store's limits on values, now and as they may come to be.
    pub fn new(limits: &StoreLimits) -> BitmapLayout {
        BitmapLayout {
            size: tasks_per_chunk(limits.lowest().max_value_kb),
            earlier_size: tasks_per_chunk(limits.max_value_kb),
        }
    }

    /// The chunks of a job with so many tasks.
    pub fn chunks(&self, tasks: u32) -> Vec<BitmapChunk> {
        if tasks <= self.size {
            return vec![BitmapChunk { number: 0, tasks: 0..tasks as usize }];
        }
        let chunk = |first: u32| BitmapChunk {
            number: LARGE_BITMAP_OFFSET + first,
            tasks: first as usize..tasks.min(first + self.size) as usize,
        };
        (0..tasks).step_by(self.size as usize).map(chunk).collect()
    }

    /// Adds the tasks of a stored chunk to a bitmap; false: the chunk can't be read. Tasks beyond the
    /// bitmap's length are skipped.
    pub fn read(&self, bitmap: &mut FixedBitSet, number: u32, value: &Value) -> bool {
        let Some(bytes) = value.as_str().and_then(|text| STANDARD.decode(text).ok()) else {
            return false;
        };
        let first = match number.checked_sub(LARGE_BITMAP_OFFSET) {
            Some(first) => first as usize,
            None => number as usize * self.earlier_size as usize,
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
    /// The key under which the chunk of this job is stored.
    pub fn key(&self, id: &JobId) -> String {
        format!("{BITMAP_PREFIX}{id}/{}", self.number)
    }

    /// What is stored under the chunk's key: a bit for each of its tasks, in base64.
    pub fn encode(&self, bitmap: &FixedBitSet) -> Value {
        let mut bytes = vec![0u8; self.tasks.len().div_ceil(8)];
        for task in self.members(bitmap) {
            let position = task - self.tasks.start;
            bytes[position / 8] |= 1 << (position % 8);
        }
        Value::String(STANDARD.encode(bytes))
    }

    /// The tasks in this chunk that are done according to a bitmap.
    pub fn members<'a>(&'a self, bitmap: &'a FixedBitSet) -> impl Iterator<Item = usize> + 'a {
        self.tasks.clone().filter(|task| bitmap.contains(*task))
    }

    /// Whether two bitmaps differ in this chunk.
    pub fn differs(&self, one: &FixedBitSet, other: &FixedBitSet) -> bool {
        self.members(one).ne(self.members(other))
    }
}

/// The job and the number of a chunk, by its key; none: it isn't the key of a chunk.
pub fn parse_key(key: &str) -> Option<(JobId, u32)> {
    let (job, number) = key.strip_prefix(BITMAP_PREFIX)?.split_once('/')?;
    Some((JobId::parse(job)?, number.parse().ok()?))
}

#[cfg(test)]
mod tests;
