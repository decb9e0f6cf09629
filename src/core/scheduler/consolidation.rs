//! Consolidates service replicas onto fewer machines, so that machines which run nothing else can be terminated.

use super::Scheduler;
use crate::core::machine::{Allocation, Machine, Resources, TaskAttempt};
use crate::core::placement;
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::JobKind;
use log::info;

/// Minimum time between two searches for a service replica to move to another machine. Each search moves at most one
/// replica.
const REPLICA_MOVE_INTERVAL: Millis = Millis(1_000);
/// Service replicas are only moved off machines whose utilization (0 to 1) is below this.
const MAX_SOURCE_UTILIZATION: f64 = 0.5;
/// Limit on the machines that one search for a replica to move examines, per machine of the fleet; a machine counts
/// each time that it is examined. A search that reaches the limit is continued by the next one.
const OPERATIONS_PER_MACHINE: usize = 64;
/// Limit on the machines that one search for a replica to move examines in a fleet of any size, in addition to those
/// per machine.
const MIN_OPERATIONS: usize = 16_384;
/// Lower bound of a machine's number of processors and of its memory in GB, to avoid division by zero.
const MIN_CAPACITY: f64 = 0.1;

/// A machine with active tasks, and its utilization.
struct LoadedMachine<'a> {
    id: &'a MachineId,
    machine: &'a Machine,
    /// Used share, 0 to 1, of processors or memory, whichever is higher.
    utilization: f64,
    free: Resources,
}

/// A planned move of a replica to another machine.
struct ReplicaMove {
    from: MachineId,
    to: MachineId,
    replica: TaskAttempt,
    need: Resources,
}

/// Result of a search for a replica to move.
struct MoveSearch {
    found: Option<ReplicaMove>,
    /// If the budget ran out, the number of source machines tried in vain by this search and those before it;
    /// otherwise 0.
    sources_tried: usize,
}

/// State of the consolidation of service replicas between two searches for a replica to move.
pub(super) struct Consolidation {
    next_move_at: MonotonicTime,
    /// Number of source machines that the next search skips, as the previous searches tried these machines in vain and
    /// ran out of budget.
    sources_tried: usize,
}

impl Consolidation {
    /// Creates the state in which the first search for a replica to move may start at `now`.
    pub(super) fn new(now: MonotonicTime) -> Consolidation {
        Consolidation { next_move_at: now, sources_tried: 0 }
    }
}

impl Scheduler {
    /// Moves one replica off a machine that runs nothing but replicas to a machine that is in use anyway, so that
    /// the former can eventually be terminated. Does nothing while tasks wait or there are reservations.
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
        info!("moving replica to consolidate machines: task={} from={from} to={to}", replica.0);
        self.stop_task(&from, &replica);
        self.reservations.add(now, to, replica.0.job, need);
    }

    /// Searches for a replica to move, starting with the machine whose unused capacity costs the most.
    fn find_move(&self, now: MonotonicTime) -> MoveSearch {
        let heartbeat_timeout = self.heartbeat_timeout();
        let is_loaded =
            |machine: &Machine| machine.is_schedulable(now, heartbeat_timeout) && machine.has_active_tasks();
        let machines = self.machines.known.iter().filter(|(_, machine)| is_loaded(machine));
        let mut loaded: Vec<LoadedMachine> = machines.map(|(id, machine)| self.loaded_machine(id, machine)).collect();
        // Machines with the highest utilization come first.
        loaded.sort_by(|a, b| b.utilization.total_cmp(&a.utilization).then(b.id.cmp(a.id)));
        let mut sources: Vec<&LoadedMachine> =
            loaded.iter().filter(|source| self.is_consolidation_source(source)).collect();
        let unused_cost =
            |source: &LoadedMachine| self.catalog.types[source.machine.kind].price * (1.0 - source.utilization);
        sources.sort_by(|a, b| unused_cost(b).total_cmp(&unused_cost(a)).then(a.id.cmp(b.id)));
        let mut operations = self.machines.known.len();
        let budget = MIN_OPERATIONS + OPERATIONS_PER_MACHINE * self.machines.known.len();
        let skipped = self.consolidation.sources_tried.min(sources.len());
        let mut search = MoveSearch { found: None, sources_tried: 0 };
        for (position, source) in sources.iter().enumerate().skip(skipped) {
            if operations > budget {
                search.sources_tried = position;
                break;
            }
            search.found = self.find_move_from(now, source, &loaded, &mut operations);
            if search.found.is_some() {
                break;
            }
        }
        self.meter.add_machines(operations);
        search
    }

    fn loaded_machine<'a>(&self, id: &'a MachineId, machine: &'a Machine) -> LoadedMachine<'a> {
        let machine_type = &self.catalog.types[machine.kind];
        let used = machine.used();
        let cpus = used.cpus / machine_type.cpus.max(MIN_CAPACITY);
        let memory = used.memory_gb / machine_type.memory_gb.max(MIN_CAPACITY);
        let mut free = Resources::of_type(machine_type);
        free.sub(&used);
        LoadedMachine { id, machine, utilization: cpus.max(memory), free }
    }

    /// Whether a machine runs only service replicas that are not being stopped, and has low utilization.
    fn is_consolidation_source(&self, source: &LoadedMachine) -> bool {
        let is_service =
            |key: &TaskAttempt| self.jobs.live.get(&key.0.job).is_some_and(|job| job.spec.kind == JobKind::Service);
        let is_settled_replica = |(key, allocation): (&TaskAttempt, &Allocation)| {
            !allocation.has_exited() && allocation.stop_leeway_s.is_none() && is_service(key)
        };
        source.utilization < MAX_SOURCE_UTILIZATION
            && source.machine.orders_in_flight.is_none()
            && source.machine.allocations.iter().all(is_settled_replica)
    }

    /// Finds a replica on `source` that another machine of `targets` can take, and the machine with the highest
    /// utilization that can. `targets` is sorted by descending utilization. Adds the number of examined machines to
    /// `operations`.
    fn find_move_from(
        &self,
        now: MonotonicTime,
        source: &LoadedMachine,
        targets: &[LoadedMachine],
        operations: &mut usize,
    ) -> Option<ReplicaMove> {
        let source_has_gpus = self.catalog.types[source.machine.kind].gpus > 0.0;
        for (key, allocation) in &source.machine.allocations {
            let Some(job) = self.jobs.live.get(&key.0.job) else { continue };
            let mut zones = job.zone_counts();
            zones.iter_mut().filter(|zone| zone.zone == source.machine.zone).for_each(|zone| zone.count -= 1);
            let spec = &job.spec;
            let fits = |target: &&LoadedMachine| {
                target.free.covers(&allocation.need)
                    && target.id != source.id
                    && self.catalog.types[target.machine.kind].gpus <= 0.0
                    && target.machine.image_ready_in_s(allocation.image, now) == Some(0.0)
                    && self.permits_machine(spec, target.machine)
                    && placement::zone_allowed(spec.spread, spec.one_zone, spec.tasks, &zones, target.machine.zone)
            };
            let candidates =
                targets.iter().take_while(|target| source_has_gpus || target.utilization > source.utilization);
            if let Some(to) = candidates.inspect(|_| *operations += 1).find(fits) {
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
