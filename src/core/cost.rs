//! Operation counts: what the core looks at. The counts are independent of the processor's speed, so tests can
//! hold bounds against them and operators can tell a slow machine from too much work.

use std::cell::Cell;
use std::fmt;

/// How many things were looked at. Each look takes about the same small time, so that the sum is a cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CostCounters {
    /// Jobs.
    pub jobs: u64,
    /// Machines.
    pub machines: u64,
    /// Allocations: tasks on machines.
    pub tasks: u64,
    /// Reservations.
    pub reservations: u64,
    /// Candidates that a planner compared for a job.
    pub choices: u64,
}

impl CostCounters {
    /// The sum of all counts.
    pub fn total(&self) -> u64 {
        self.jobs + self.machines + self.tasks + self.reservations + self.choices
    }

    /// What was counted after `earlier` was read from the same meter.
    pub fn since(&self, earlier: &CostCounters) -> CostCounters {
        CostCounters {
            jobs: self.jobs - earlier.jobs,
            machines: self.machines - earlier.machines,
            tasks: self.tasks - earlier.tasks,
            reservations: self.reservations - earlier.reservations,
            choices: self.choices - earlier.choices,
        }
    }
}

impl fmt::Display for CostCounters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let CostCounters { jobs, machines, tasks, reservations, choices } = self;
        write!(f, "jobs={jobs} machines={machines} tasks={tasks} reservations={reservations} choices={choices}")
    }
}

/// A running count, shared by the parts that do the work.
#[derive(Default)]
pub struct CostMeter(Cell<CostCounters>);

impl CostMeter {
    /// The counts so far.
    pub fn read(&self) -> CostCounters {
        self.0.get()
    }

    /// Counts jobs that were looked at.
    pub fn add_jobs(&self, count: usize) {
        self.update(|cost| cost.jobs += count as u64);
    }

    /// Counts machines that were looked at.
    pub fn add_machines(&self, count: usize) {
        self.update(|cost| cost.machines += count as u64);
    }

    /// Counts allocations that were looked at.
    pub fn add_tasks(&self, count: usize) {
        self.update(|cost| cost.tasks += count as u64);
    }

    /// Counts reservations that were looked at.
    pub fn add_reservations(&self, count: usize) {
        self.update(|cost| cost.reservations += count as u64);
    }

    /// Counts candidates that were compared.
    pub fn add_choices(&self, count: usize) {
        self.update(|cost| cost.choices += count as u64);
    }

    fn update(&self, change: impl FnOnce(&mut CostCounters)) {
        let mut cost = self.0.get();
        change(&mut cost);
        self.0.set(cost);
    }
}
