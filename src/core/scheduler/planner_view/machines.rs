//! The machines of a planner view: those that are up, those that are booting or registering, and those requested
//! from the cloud.

use crate::core::machine::{Machine, Registration, Resources};
use crate::core::scheduler::Scheduler;
use crate::core::task_slots::MAX_TASKS_PER_MACHINE;
use crate::ids::MachineId;
use crate::peer::{ImageView, MachineView};
use crate::time::MonotonicTime;

/// Machine ages in a planner view are rounded down to a multiple of this many seconds.
const AGE_GRANULARITY_S: f64 = 30.0;
/// Machine slowness in a planner view is rounded to a multiple of one divided by this number.
const SLOWNESS_STEPS: f64 = 4.0;
/// Expected seconds until a machine that is up but whose record is not stored yet can get its first order.
const REGISTRATION_DELAY_S: f64 = 0.3;
/// Lower bound, in seconds, on the expected remaining boot time, also of a machine whose boot is overdue.
const MIN_REMAINING_BOOT_S: f64 = 3.0;

/// The machines of a view that is being built.
#[derive(Default)]
pub(super) struct MachineViews {
    pub(super) views: Vec<MachineView>,
    /// The machines' ids by key; `None` for a machine that has been requested from the cloud and has no id yet.
    pub(super) ids: Vec<Option<MachineId>>,
    /// Total number of processors of all schedulable machines, including those without free capacity.
    pub(super) cpus_up: f64,
}

impl MachineViews {
    fn push(&mut self, id: Option<MachineId>, view: MachineView) {
        self.views.push(MachineView { key: self.ids.len() as u32, ..view });
        self.ids.push(id);
    }

    /// The machines that have ids, with their keys.
    pub(super) fn keys(&self) -> impl Iterator<Item = (&MachineId, u32)> {
        self.ids.iter().enumerate().filter_map(|(key, id)| Some((id.as_ref()?, key as u32)))
    }
}

/// State of a machine that can take tasks now or soon.
#[derive(Clone, Copy, PartialEq)]
enum Readiness {
    /// The machine may get new tasks now.
    Schedulable,
    /// The machine is up, but its record is not in the key-value store yet.
    Registering,
    Booting,
}

impl Scheduler {
    /// The schedulable, registering and booting machines with free capacity for at least `smallest_demand`.
    pub(super) fn machine_views(&self, now: MonotonicTime, smallest_demand: Option<Resources>) -> MachineViews {
        let mut machines = MachineViews::default();
        for (id, machine) in &self.machines.known {
            let Some(readiness) = self.readiness(now, machine) else { continue };
            if readiness == Readiness::Schedulable {
                machines.cpus_up += self.catalog.types[machine.kind].cpus;
            }
            let free = self.unreserved_capacity(id, machine, None);
            if smallest_demand.is_some_and(|demand| free.covers(&demand)) {
                machines.push(Some(id.clone()), self.machine_view(now, id, machine, readiness, &free));
            }
        }
        machines
    }

    /// The state of a machine that can take tasks now or soon. Returns `None` for other machines.
    fn readiness(&self, now: MonotonicTime, machine: &Machine) -> Option<Readiness> {
        if machine.is_schedulable(now, self.heartbeat_timeout()) {
            return Some(Readiness::Schedulable);
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
        let lendable = !machine.up || self.gpus.is_lendable(id);
        let preemptible = self.gpus.preemptible_headroom(machine, machine_type, lendable);
        let age_s = (now - machine.created_at).as_secs_f64();
        let image = |(image, _): &(u32, f64)| ImageView {
            image: *image,
            ready_in_s: machine.image_ready_in_s(*image, now).unwrap_or(0.0),
        };
        MachineView {
            type_index: machine.kind as u32,
            zone: machine.zone,
            spot: machine.spot,
            up: readiness == Readiness::Schedulable,
            ready_in_s: match readiness {
                Readiness::Schedulable => 0.0,
                Readiness::Registering => REGISTRATION_DELAY_S,
                Readiness::Booting => (machine_type.boot_s - age_s).max(MIN_REMAINING_BOOT_S),
            },
            age_s: (age_s / AGE_GRANULARITY_S).floor() * AGE_GRANULARITY_S,
            free_cpus: free.cpus,
            free_gpus: free.gpus,
            free_memory_gb: free.memory_gb,
            free_task_slots: Some(free.task_slots.max(0.0) as u32),
            images: machine.images.iter().map(image).collect(),
            // The slowness is rounded, so that machines with a small difference compare as equal.
            slowness: (machine.slowness * SLOWNESS_STEPS).round().max(1.0) / SLOWNESS_STEPS,
            urgent_headroom_cpus: urgent.cpus,
            urgent_headroom_memory_gb: urgent.memory_gb,
            preemptible_headroom_cpus: preemptible.cpus,
            preemptible_headroom_memory_gb: preemptible.memory_gb,
            ..Default::default()
        }
    }

    /// Adds the machines that have been requested from the cloud, whose ids are not known yet.
    pub(super) fn add_requested_machines(&self, machines: &mut MachineViews) {
        for request in self.provisioner.requests() {
            let machine_type = &self.catalog.types[request.pool.kind];
            let view = MachineView {
                type_index: request.pool.kind as u32,
                zone: request.pool.zone,
                spot: request.pool.spot,
                ready_in_s: machine_type.boot_s,
                free_cpus: machine_type.cpus,
                free_gpus: machine_type.gpus,
                free_memory_gb: machine_type.memory_gb,
                free_task_slots: Some(MAX_TASKS_PER_MACHINE),
                preemptible_headroom_cpus: machine_type.cpus,
                preemptible_headroom_memory_gb: machine_type.memory_gb,
                slowness: 1.0,
                ..Default::default()
            };
            for _ in 0..request.count {
                machines.push(None, view.clone());
            }
        }
    }
}
