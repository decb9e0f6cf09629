//! Which GPU machines work without GPUs may fill.

use super::gpu_demand::GpuDemand;
use crate::core::machine::Resources;
use crate::ids::MachineId;
use crate::time::MonotonicTime;
use std::collections::BTreeSet;

/// What GPU jobs need of GPU machines, and what is left of these for other work.
pub(super) struct GpuLending {
    /// For each type the most that a GPU job has asked of it.
    pub needs: Vec<Resources>,
    pub demand: GpuDemand,
    /// GPU machines that work without GPUs may fill, as of the last round.
    pub lendable: BTreeSet<MachineId>,
}

impl GpuLending {
    pub fn new(types: usize, zones: usize, now: MonotonicTime) -> GpuLending {
        GpuLending {
            needs: vec![Resources::default(); types],
            demand: GpuDemand::new(zones, now),
            lendable: BTreeSet::new(),
        }
    }
}
