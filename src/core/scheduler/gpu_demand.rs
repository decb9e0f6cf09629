//! Tracks the recent GPU demand of jobs, which determines how many GPU machines may be filled with tasks that need no
//! GPUs.

use crate::time::MonotonicTime;

/// Seconds over which a past peak of the GPU demand decays: about the run time of the tasks without GPUs that could use
/// the GPU machines in the meantime.
const DEMAND_DECAY_S: f64 = 15.0;

/// A peak value that decays towards the latest measurement.
#[derive(Clone, Copy, Default)]
struct DecayingPeak(f64);

impl DecayingPeak {
    /// Adds a measurement: moves the value down by the fraction `decay` of the way to the measurement, or up to the
    /// measurement if that is higher. Returns the new value.
    fn update(&mut self, measured: f64, decay: f64) -> f64 {
        self.0 = measured.max(self.0 + (measured - self.0) * decay);
        self.0
    }
}

/// Recent peaks of the GPUs in use in each zone and of the GPUs that tasks waited for in all zones together.
pub(super) struct GpuDemand {
    in_use: Vec<DecayingPeak>,
    waiting: DecayingPeak,
    updated_at: MonotonicTime,
}

/// Installed GPUs beyond recent demand.
pub(super) struct SpareGpus {
    by_zone: Vec<f64>,
    /// Spare GPUs of all zones together, minus the GPUs that tasks recently waited for, which may be in any zone.
    total: f64,
}

impl GpuDemand {
    /// Creates the state without any past demand.
    pub(super) fn new(zones: usize, now: MonotonicTime) -> GpuDemand {
        GpuDemand { in_use: vec![DecayingPeak::default(); zones], waiting: DecayingPeak::default(), updated_at: now }
    }

    /// Records the GPUs in use by zone and the GPUs that tasks wait for in any zone. Returns the installed GPUs
    /// beyond recent demand.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        installed: Vec<f64>,
        in_use: &[f64],
        waiting: f64,
    ) -> SpareGpus {
        let decay = ((now - self.updated_at).as_secs_f64() / DEMAND_DECAY_S).min(1.0);
        self.updated_at = now;
        let mut by_zone = installed;
        for ((peak, used), left) in self.in_use.iter_mut().zip(in_use).zip(&mut by_zone) {
            *left -= peak.update(*used, decay);
        }
        let total = by_zone.iter().sum::<f64>() - self.waiting.update(waiting, decay);
        SpareGpus { by_zone, total }
    }
}

impl SpareGpus {
    /// Takes this many spare GPUs of a zone. Returns `false`, and takes none, if fewer are spare.
    pub(super) fn take(&mut self, zone: u32, gpus: f64) -> bool {
        let left = &mut self.by_zone[zone as usize];
        if left.min(self.total) < gpus {
            return false;
        }
        *left -= gpus;
        self.total -= gpus;
        true
    }
}

#[cfg(test)]
mod tests;
