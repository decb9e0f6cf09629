//! How many GPUs jobs have wanted lately, and so how many GPU machines work without GPUs may fill.

use crate::time::MonotonicTime;

/// Seconds for which the most GPUs that jobs have wanted are kept free for them: about a run of the work
/// that could have had them.
const MEMORY_S: f64 = 15.0;

/// A maximum that fades to what is measured now.
#[derive(Clone, Copy, Default)]
struct FadingMaximum(f64);

impl FadingMaximum {
    /// Takes in a measurement, and goes by the part `fade` of the way down to it. Returns the maximum.
    fn update(&mut self, measured: f64, fade: f64) -> f64 {
        self.0 = measured.max(self.0 + (measured - self.0) * fade);
        self.0
    }
}

/// The most GPUs that jobs have had in each zone and waited for in all, fading to what it is now.
pub(super) struct GpuDemand {
    in_use: Vec<FadingMaximum>,
    waited_for: FadingMaximum,
    updated_at: MonotonicTime,
}

/// GPUs that nobody has wanted lately.
pub(super) struct UnwantedGpus {
    by_zone: Vec<f64>,
    /// Less than the zones together by what is waited for.
    in_all: f64,
}

impl GpuDemand {
    /// No GPUs have been wanted yet.
    pub(super) fn new(zones: usize, now: MonotonicTime) -> GpuDemand {
        GpuDemand {
            in_use: vec![FadingMaximum::default(); zones],
            waited_for: FadingMaximum::default(),
            updated_at: now,
        }
    }

    /// Takes in how many GPUs are installed and in use by zone, and how many are waited for; the latter may be
    /// in any zone. Returns the rest.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        installed: Vec<f64>,
        in_use: &[f64],
        waited_for: f64,
    ) -> UnwantedGpus {
        let fade = ((now - self.updated_at).as_secs_f64() / MEMORY_S).min(1.0);
        self.updated_at = now;
        let mut by_zone = installed;
        for ((maximum, used), left) in self.in_use.iter_mut().zip(in_use).zip(&mut by_zone) {
            *left -= maximum.update(*used, fade);
        }
        let in_all = by_zone.iter().sum::<f64>() - self.waited_for.update(waited_for, fade);
        UnwantedGpus { by_zone, in_all }
    }
}

impl UnwantedGpus {
    /// Takes that many GPUs of a zone, if so many are not wanted. False: they are.
    pub(super) fn take(&mut self, zone: u32, gpus: f64) -> bool {
        let left = &mut self.by_zone[zone as usize];
        if left.min(self.in_all) < gpus {
            return false;
        }
        *left -= gpus;
        self.in_all -= gpus;
        true
    }
}

#[cfg(test)]
mod tests;
