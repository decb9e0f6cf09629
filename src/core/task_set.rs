//! A set of task indices of one job.

use fixedbitset::FixedBitSet;

/// A set of task indices of one job, from 0 to the job's number of tasks. It takes one bit for each of them, as a job may
/// have many tasks and each controller has little memory.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSet {
    bits: FixedBitSet,
    len: usize,
}

impl TaskSet {
    /// Creates a set of none of a job's `tasks` tasks.
    pub fn none(tasks: u32) -> TaskSet {
        TaskSet { bits: FixedBitSet::with_capacity(tasks as usize), len: 0 }
    }

    /// Creates a set of all of a job's `tasks` tasks.
    pub fn all(tasks: u32) -> TaskSet {
        let mut set = TaskSet::none(tasks);
        set.bits.insert_range(..);
        set.len = tasks as usize;
        set
    }

    /// Adds a task. An index beyond the job's number of tasks is ignored.
    pub fn insert(&mut self, index: u32) {
        if (index as usize) < self.bits.len() && !self.bits.put(index as usize) {
            self.len += 1;
        }
    }

    /// Removes a task.
    pub fn remove(&mut self, index: u32) {
        if self.contains(index) {
            self.bits.remove(index as usize);
            self.len -= 1;
        }
    }

    /// Whether the task is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.bits.contains(index as usize)
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no task is in the set.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The tasks in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.bits.ones().map(|index| index as u32)
    }

    /// The tasks in this set that are not in `other`, in ascending order.
    pub fn difference<'a>(&'a self, other: &'a TaskSet) -> impl Iterator<Item = u32> + 'a {
        self.bits.difference(&other.bits).map(|index| index as u32)
    }
}

#[cfg(test)]
mod tests;
