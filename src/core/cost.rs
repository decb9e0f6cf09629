//! Operation counts: how many objects the core examines. Unlike times they don't depend on the processor's speed, so
//! tests can check them against bounds, and operators can tell a slow host from too much work.

use std::cell::Cell;
use std::fmt;

/// How many objects of each kind were examined. Examining one takes about the same short time for all kinds, so the sum
/// is a measure of the work done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// Number of times that the core examined a job.
    pub jobs: u64,
    /// Number of times that the core examined a machine.
    pub machines: u64,
    /// Number of times that the core examined an allocation, which is a task on a machine.
    pub tasks: u64,
    /// Number of times that the core examined a reservation of machines for a gang.
    pub reservations: u64,
    /// Comparisons of a job with a candidate, which is a machine that a planner may place its tasks on.
    pub comparisons: u64,
}

impl OperationCounts {
    /// Number of operations of all kinds.
    pub fn total(&self) -> u64 {
        self.jobs + self.machines + self.tasks + self.reservations + self.comparisons
    }

    /// The operations counted since `earlier` was read from the same meter.
    pub fn since(&self, earlier: &OperationCounts) -> OperationCounts {
        OperationCounts {
            jobs: self.jobs - earlier.jobs,
            machines: self.machines - earlier.machines,
            tasks: self.tasks - earlier.tasks,
            reservations: self.reservations - earlier.reservations,
            comparisons: self.comparisons - earlier.comparisons,
        }
    }
}

impl fmt::Display for OperationCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let OperationCounts { jobs, machines, tasks, reservations, comparisons } = self;
        write!(f, "jobs={jobs} machines={machines} tasks={tasks} reservations={reservations} choices={comparisons}")
    }
}

/// Counts the operations of the core while it handles inputs, as a measure of its work.
#[derive(Default)]
pub struct OperationMeter(Cell<OperationCounts>);

impl OperationMeter {
    /// The operations counted since this meter was created.
    pub fn read(&self) -> OperationCounts {
        self.0.get()
    }

    /// Adds the number of jobs that the core has just examined.
    pub fn add_jobs(&self, count: usize) {
        self.update(|counts| counts.jobs += count as u64);
    }

    /// Adds the number of machines that the core has just examined.
    pub fn add_machines(&self, count: usize) {
        self.update(|counts| counts.machines += count as u64);
    }

    /// Adds the number of allocations (tasks on machines) that the core has just examined.
    pub fn add_tasks(&self, count: usize) {
        self.update(|counts| counts.tasks += count as u64);
    }

    /// Adds the number of reservations for gangs that the core has just examined.
    pub fn add_reservations(&self, count: usize) {
        self.update(|counts| counts.reservations += count as u64);
    }

    /// Adds the number of comparisons of a job with a candidate machine that a planner has just made.
    pub fn add_comparisons(&self, count: usize) {
        self.update(|counts| counts.comparisons += count as u64);
    }

    fn update(&self, change: impl FnOnce(&mut OperationCounts)) {
        let mut counts = self.0.get();
        change(&mut counts);
        self.0.set(counts);
    }
}
