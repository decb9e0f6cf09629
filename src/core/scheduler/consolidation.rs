//! Moves replicas of services together, so that machines which do nothing else can be terminated.

use super::Scheduler;
use super::planner_view::zone_counts;
use crate::core::machine::{Allocation, Machine, Resources, TaskAttempt};
use crate::core::placement;
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::Kind;
use log::info;

/// At most one replica moves in this time.
const REPLICA_MOVE_INTERVAL: Millis = Millis(1_000);
/// A machine of which at least this part is in use isn't emptied.
const MAX_SOURCE_UTILIZATION: f64 = 0.5;
/// Operations that one search may take for each machine; the next one goes on from there.
const OPERATIONS_PER_MACHINE: usize = 64;
/// Operations that it may take in any fleet, besides those for its machines.
const MIN_OPERATIONS: usize = 16_384;
/// Stands for the capacity of a machine type that has none.
const MIN_CAPACITY: f64 = 0.1;

/// A machine with work on it, and how much of it is in use.
struct LoadedMachine<'a> {
    id: &'a MachineId,
    machine: &'a Machine,
    /// From 0 to 1, of what is scarcest on it.
    utilization: f64,
    free: Resources,
}

/// A replica that should be on another machine.
struct ReplicaMove {
    from: MachineId,
    to: MachineId,
    replica: TaskAttempt,
    need: Resources,
}

/// What came of a search for a replica to move.
struct MoveSearch {
    found: Option<ReplicaMove>,
    /// Machines that were tried in vain, if the search isn't through.
    sources_tried: usize,
}

/// Where the search for replicas to move goes on.
pub(super) struct Consolidation {
    next_move_at: MonotonicTime,
    /// Machines that the last search began with, in vain, before its budget was spent.
    sources_tried: usize,
}

impl Consolidation {
    /// The first search may begin now.
    pub(super) fn new(now: MonotonicTime) -> Consolidation {
        Consolidation { next_move_at: now, sources_tried: 0 }
    }
}

impl Scheduler {
    /// Moves a replica off a machine that does nothing else, onto one that is busy anyway, so that the
    /// former can be terminated. One at a time, and only while nothing waits.
    pub(super) fn consolidate_replicas(&mut self, now: MonotonicTime) {
        if now < self.consolidation.next_move_at
            || !self.reservations.is_empty()
            || self.jobs.live.values().any(|job| job.startable_tasks() > 0)
        {
            return;
        }
        self.consolidation.next_move_at = now + REPLICA_MOVE_INTERVAL;
        let search = self.find_move(now);
        self.consolidation.sources_tried = search.sources_tried;
        let Some(ReplicaMove { from, to, replica, need }) = search.found else { return };
        info!("moving a replica: task={} from={from} to={to}", replica.0);
        self.stop_task(&from, &replica);
        self.reservations.add(now, to, replica.0.job, need);
    }

    /// A replica to move off the machine on which the most is wasted.
    fn find_move(&self, now: MonotonicTime) -> MoveSearch {
        let heartbeat_timeout = self.heartbeat_timeout();
        let usable = |machine: &Machine| machine.is_schedulable(now, heartbeat_timeout) && machine.has_active_tasks();
        let machines = self.machines.known.iter().filter(|(_, machine)| usable(machine));
        let mut loaded: Vec<LoadedMachine> = machines.map(|(id, machine)| self.loaded(id, machine)).collect();
        // The fullest first.
        loaded.sort_by(|a, b| b.utilization.total_cmp(&a.utilization).then(b.id.cmp(a.id)));
        let mut sources: Vec<&LoadedMachine> = loaded.iter().filter(|source| self.may_be_emptied(source)).collect();
        let waste = |source: &LoadedMachine| self.catalog.types[source.machine.kind].price * (1.0 - source.utilization);
        sources.sort_by(|a, b| waste(b).total_cmp(&waste(a)).then(a.id.cmp(b.id)));
        let mut operations = self.machines.known.len();
        let most = MIN_OPERATIONS + OPERATIONS_PER_MACHINE * self.machines.known.len();
        let tried = self.consolidation.sources_tried.min(sources.len());
        let mut search = MoveSearch { found: None, sources_tried: 0 };
        for (position, source) in sources.iter().enumerate().skip(tried) {
            if operations > most {
                search.sources_tried = position;
                break;
            }
            search.found = self.move_from(now, source, &loaded, &mut operations);
            if search.found.is_some() {
                break;
            }
        }
        self.cost.add_machines(operations);
        search
    }

    fn loaded<'a>(&self, id: &'a MachineId, machine: &'a Machine) -> LoadedMachine<'a> {
        let machine_type = &self.catalog.types[machine.kind];
        let used = machine.used();
        let cpus = used.cpus / machine_type.cpus.max(MIN_CAPACITY);
        let memory = used.memory_gb / machine_type.memory_gb.max(MIN_CAPACITY);
        let mut free = Resources::of_type(machine_type);
        free.sub(&used);
        LoadedMachine { id, machine, utilization: cpus.max(memory), free }
    }

    /// Whether a machine does nothing but run a few replicas.
    fn may_be_emptied(&self, source: &LoadedMachine) -> bool {
        let is_service =
            |key: &TaskAttempt| self.jobs.live.get(&key.0.job).is_some_and(|job| job.spec.kind == Kind::Service);
        let is_settled_replica = |(key, allocation): (&TaskAttempt, &Allocation)| {
            !allocation.has_exited() && allocation.stop_leeway_s.is_none() && is_service(key)
        };
        source.utilization < MAX_SOURCE_UTILIZATION
            && source.machine.orders_in_flight.is_none()
            && source.machine.allocations.iter().all(is_settled_replica)
    }

    /// A replica of a machine that another one, of `loaded`, can take: the fullest that can. Counts the machines
    /// that were looked at in `operations`.
    fn move_from(
        &self,
        now: MonotonicTime,
        source: &LoadedMachine,
        loaded: &[LoadedMachine],
        operations: &mut usize,
    ) -> Option<ReplicaMove> {
        let from_gpus = self.catalog.types[source.machine.kind].gpus > 0.0;
        for (key, allocation) in &source.machine.allocations {
            let Some(job) = self.jobs.live.get(&key.0.job) else { continue };
            let mut zones = zone_counts(job, &self.machines.known);
            zones.iter_mut().filter(|zone| zone.zone == source.machine.zone).for_each(|zone| zone.count -= 1);
            let spec = &job.spec;
            let fits = |target: &&LoadedMachine| {
                target.free.covers(&allocation.need)
                    && target.id != source.id
                    && self.catalog.types[target.machine.kind].gpus <= 0.0
                    && target.machine.image_ready_in_s(allocation.image, now) == Some(0.0)
                    && self.permits(spec, target.machine)
                    && placement::zone_allowed(spec.spread, spec.one_zone, spec.tasks, &zones, target.machine.zone)
            };
            let fuller = loaded.iter().take_while(|target| from_gpus || target.utilization > source.utilization);
            if let Some(to) = fuller.inspect(|_| *operations += 1).find(fits) {
                return Some(ReplicaMove {
                    from: source.id.clone(),
                    to: to.id.clone(),
                    replica: *key,
                    need: allocation.need,
                });
            }
        }
        None
    }
}
