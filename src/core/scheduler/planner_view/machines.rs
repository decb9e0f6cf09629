//! The machines as planners see them: those that are up, those that come up and those that were asked for.

use crate::core::machine::{Machine, Registration, Resources};
use crate::core::scheduler::Scheduler;
use crate::ids::MachineId;
use crate::peer::{ImageView, MachineView};
use crate::time::MonotonicTime;

/// Planners are given the ages of machines in steps of this.
const AGE_GRANULARITY_S: f64 = 30.0;
/// Planners are given the slowness of machines in steps of one over this.
const SLOWNESS_STEPS: f64 = 4.0;
/// Seconds until a machine that has come up gets its first order.
const REGISTRATION_DELAY_S: f64 = 0.3;
/// A machine that should be up by now may take this many seconds more.
const MIN_REMAINING_BOOT_S: f64 = 3.0;

/// The machines of a view, as they are gathered.
#[derive(Default)]
pub(super) struct MachineViews {
    pub(super) views: Vec<MachineView>,
    /// None: a machine that has been asked for and has no name yet.
    pub(super) ids: Vec<Option<MachineId>>,
    /// Processors of all machines that may get tasks now, with capacity left or without.
    pub(super) cpus_up: f64,
}

impl MachineViews {
    fn push(&mut self, id: Option<MachineId>, view: MachineView) {
        self.views.push(MachineView { key: self.ids.len() as u32, ..view });
        self.ids.push(id);
    }

    /// The machines that have names, with their keys.
    pub(super) fn keys(&self) -> impl Iterator<Item = (&MachineId, u32)> {
        self.ids.iter().enumerate().filter_map(|(key, id)| Some((id.as_ref()?, key as u32)))
    }
}

/// How far a machine is that may get tasks now or soon.
#[derive(Clone, Copy, PartialEq)]
enum Readiness {
    Usable,
    /// It is up, and not registered yet.
    Registering,
    Booting,
}

impl Scheduler {
    /// The machines that are up or coming, as far as they have capacity for the least that anyone needs.
    pub(super) fn machine_views(&self, now: MonotonicTime, least: Option<Resources>) -> MachineViews {
        let mut all = MachineViews::default();
        for (id, machine) in &self.machines.known {
            let Some(readiness) = self.readiness(now, machine) else { continue };
            if readiness == Readiness::Usable {
                all.cpus_up += self.catalog.types[machine.kind].cpus;
            }
            let free = self.unreserved_capacity(id, machine, None);
            if least.is_some_and(|least| free.covers(&least)) {
                all.push(Some(id.clone()), self.machine_view(now, id, machine, readiness, &free));
            }
        }
        all
    }

    /// None: the machine gets no tasks, now or soon.
    fn readiness(&self, now: MonotonicTime, machine: &Machine) -> Option<Readiness> {
        if machine.is_schedulable(now, self.heartbeat_timeout()) {
            return Some(Readiness::Usable);
        }
        if machine.retiring {
            return None;
        }
        match machine.registration {
            Registration::Unregistered if !machine.up => Some(Readiness::Booting),
            Registration::Unregistered | Registration::InFlight if machine.up && machine.reconciled => {
                Some(Readiness::Registering)
            }
            Registration::Unregistered | Registration::InFlight | Registration::Registered => None,
        }
    }

    fn machine_view(
        &self,
        now: MonotonicTime,
        id: &MachineId,
        machine: &Machine,
        readiness: Readiness,
        free: &Resources,
    ) -> MachineView {
        let machine_type = &self.catalog.types[machine.kind];
        let urgent = self.gpus.urgent_headroom(machine, machine_type);
        let lent = !machine.up || self.gpus.is_lendable(id);
        let preemptible = self.gpus.preemptible_headroom(machine, machine_type, lent);
        let age_s = (now - machine.created_at).as_secs_f64();
        let image = |(image, _): &(u32, f64)| ImageView {
            image: *image,
            ready_s: machine.image_ready_in_s(*image, now).unwrap_or(0.0),
        };
        MachineView {
            kind: machine.kind as u32,
            zone: machine.zone,
            spot: machine.spot,
            up: readiness == Readiness::Usable,
            ready_s: match readiness {
                Readiness::Usable => 0.0,
                Readiness::Registering => REGISTRATION_DELAY_S,
                Readiness::Booting => (machine_type.boot_s - age_s).max(MIN_REMAINING_BOOT_S),
            },
            age_s: (age_s / AGE_GRANULARITY_S).floor() * AGE_GRANULARITY_S,
            free_cpus: free.cpus,
            free_gpus: free.gpus,
            free_memory_gb: free.memory_gb,
            images: machine.images.iter().map(image).collect(),
            // Coarse, so that machines which hardly differ compare as equal.
            slowness: (machine.slowness * SLOWNESS_STEPS).round().max(1.0) / SLOWNESS_STEPS,
            urgent_cpus: urgent.cpus,
            urgent_memory_gb: urgent.memory_gb,
            preemptible_cpus: preemptible.cpus,
            preemptible_memory_gb: preemptible.memory_gb,
            ..Default::default()
        }
    }

    /// Adds the machines that the cloud has been asked for.
    pub(super) fn add_requested(&self, all: &mut MachineViews) {
        for request in self.provisioner.requests() {
            let machine_type = &self.catalog.types[request.pool.kind];
            let view = MachineView {
                kind: request.pool.kind as u32,
                zone: request.pool.zone,
                spot: request.pool.spot,
                ready_s: machine_type.boot_s,
                free_cpus: machine_type.cpus,
                free_gpus: machine_type.gpus,
                free_memory_gb: machine_type.memory_gb,
                preemptible_cpus: machine_type.cpus,
                preemptible_memory_gb: machine_type.memory_gb,
                slowness: 1.0,
                ..Default::default()
            };
            for _ in 0..request.count {
                all.push(None, view.clone());
            }
        }
    }
}
