//! Moving replicas together, so that machines that do nothing else can go back.

use super::planner_view::zone_counts;
use super::*;
use crate::core::machine::{Allocation, Resources, TaskAttempt};
use crate::core::placement;
use crate::wire::Kind;
use log::info;

/// At most one replica moves in this time.
const REPLICA_MOVE_INTERVAL: Millis = Millis(1_000);
/// A machine with less than this in use may be emptied.
const MAX_SOURCE_UTILIZATION: f64 = 0.5;
/// Looks that one search may take, for each machine and at the least; the next one goes on from there.
const OPERATIONS_PER_MACHINE: usize = 64;
const MIN_OPERATIONS: usize = 16_384;

/// A machine that works, and how much of it is in use.
struct Loaded<'a> {
    id: &'a MachineId,
    machine: &'a Machine,
    /// From 0 to 1, of what is scarcest on it.
    share: f64,
    free: Resources,
}

/// A replica that should be on another machine.
struct Move {
    from: MachineId,
    to: MachineId,
    allocation: TaskAttempt,
    need: Resources,
}

/// Where the search for replicas to move goes on.
pub(super) struct Consolidation {
    pub next_move_at: MonotonicTime,
    /// Machines that the last search began with, in vain, before its budget was spent.
    pub sources_tried: usize,
}

impl Consolidation {
    pub fn new(now: MonotonicTime) -> Consolidation {
        Consolidation { next_move_at: now, sources_tried: 0 }
    }
}

impl Scheduler {
    /// Moves a replica off a machine that does nothing else, onto one that is busy anyway, so that the
    /// former can go back. One at a time, and only while nothing waits.
    pub(super) fn consolidate_replicas(&mut self, now: MonotonicTime) {
        if now < self.consolidation.next_move_at
            || !self.reservations.is_empty()
            || self.jobs.live.values().any(|j| j.startable_tasks() > 0)
        {
            return;
        }
        self.consolidation.next_move_at = now + REPLICA_MOVE_INTERVAL;
        let (found, tried) = self.find_move(now);
        self.consolidation.sources_tried = tried;
        let Some(Move { from, to, allocation, need }) = found else { return };
        info!("moving {} from {from} to {to}", allocation.0);
        self.stop_task(&from, &allocation);
        self.reservations.add(now, to, allocation.0.job, need);
    }

    /// A replica to move, and how many machines have been tried in vain if the search isn't through.
    fn find_move(&self, now: MonotonicTime) -> (Option<Move>, usize) {
        let heartbeat_timeout = self.heartbeat_timeout();
        let usable = self.machines.known.iter().filter(|(_, m)| m.usable(now, heartbeat_timeout) && m.busy());
        let mut loaded: Vec<Loaded> = usable.map(|(id, m)| self.loaded(id, m)).collect();
        // The fullest first.
        loaded.sort_by(|a, b| b.share.total_cmp(&a.share).then(b.id.cmp(a.id)));
        let mut sources: Vec<&Loaded> = loaded.iter().filter(|l| self.may_be_emptied(l)).collect();
        let waste = |l: &Loaded| self.catalog.types[l.machine.kind].price * (1.0 - l.share);
        sources.sort_by(|a, b| waste(b).total_cmp(&waste(a)).then(a.id.cmp(b.id)));
        let mut operations = self.machines.known.len();
        let most = MIN_OPERATIONS + OPERATIONS_PER_MACHINE * self.machines.known.len();
        let tried = self.consolidation.sources_tried.min(sources.len());
        let mut result = (None, 0);
        for (at, source) in sources.iter().enumerate().skip(tried) {
            if operations > most {
                result = (None, at);
                break;
            }
            let found = self.move_from(now, source, &loaded, &mut operations);
            if found.is_some() {
                result = (found, 0);
                break;
            }
        }
        self.cost.add_machines(operations);
        result
    }

    fn loaded<'a>(&self, id: &'a MachineId, machine: &'a Machine) -> Loaded<'a> {
        let t = &self.catalog.types[machine.kind];
        let used = machine.used();
        let share = (used.cpus / t.cpus.max(0.1)).max(used.memory_gb / t.memory_gb.max(0.1));
        let mut free = Resources::of_type(t);
        free.sub(&used);
        Loaded { id, machine, share, free }
    }

    /// Whether a machine does nothing but run a few replicas.
    fn may_be_emptied(&self, l: &Loaded) -> bool {
        let is_service = |k: &TaskAttempt| self.jobs.live.get(&k.0.job).is_some_and(|j| j.spec.kind == Kind::Service);
        let stays = |(k, s): (&TaskAttempt, &Allocation)| !s.has_exited() && s.stop.is_none() && is_service(k);
        l.share < MAX_SOURCE_UTILIZATION && l.machine.in_flight.is_none() && l.machine.allocations.iter().all(stays)
    }

    /// A replica of a machine that another one, of `loaded`, can take: the fullest that can.
    fn move_from(
        &self,
        now: MonotonicTime,
        source: &Loaded,
        loaded: &[Loaded],
        operations: &mut usize,
    ) -> Option<Move> {
        let from_gpus = self.catalog.types[source.machine.kind].gpus > 0.0;
        for (key, allocation) in &source.machine.allocations {
            let Some(job) = self.jobs.live.get(&key.0.job) else { continue };
            let mut zones = zone_counts(job, &self.machines.known);
            zones.iter_mut().filter(|z| z.zone == source.machine.zone).for_each(|z| z.count -= 1);
            let spec = &job.spec;
            let fits = |l: &&Loaded| {
                l.free.covers(&allocation.need)
                    && l.id != source.id
                    && self.catalog.types[l.machine.kind].gpus <= 0.0
                    && l.machine.image_ready_in_s(allocation.image, now) == Some(0.0)
                    && self.permits(spec, l.machine)
                    && placement::zone_allowed(spec.spread, spec.one_zone, spec.tasks, &zones, l.machine.zone)
            };
            let fuller = loaded.iter().take_while(|l| from_gpus || l.share > source.share);
            if let Some(to) = fuller.inspect(|_| *operations += 1).find(fits) {
                return Some(Move {
                    from: source.id.clone(),
                    to: to.id.clone(),
                    allocation: *key,
                    need: allocation.need,
                });
            }
        }
        None
    }
}
