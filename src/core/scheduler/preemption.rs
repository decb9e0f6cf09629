//! Room for urgent work: preemption and the room it makes.

use super::planner_view::{PlannedJob, PlannerView, elapsed_s, zone_counts};
use super::preemption_index::{Candidates, PreemptionSearch, Urgency};
use super::*;

/// Where room for a task is wanted.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PlacementTarget {
    Anywhere,
    ImageHolders,
}

/// Room that is to be made for tasks of a job.
pub(super) struct PreemptionRequest {
    pub job: JobId,
    pub target: PlacementTarget,
    pub tasks: u32,
    /// In this zone only; none: in any.
    pub zone: Option<u32>,
}

impl PreemptionRequest {
    fn anywhere(job: JobId, tasks: u32) -> PreemptionRequest {
        PreemptionRequest { job, target: PlacementTarget::Anywhere, tasks, zone: None }
    }
}

/// Stands for all zones where a gang may be anywhere.
const ANY_ZONE: u32 = u32::MAX;

/// What to do with room for a gang that doesn't suffice yet.
#[derive(Clone, Copy, PartialEq)]
enum PartialCapacity {
    Release,
    /// Keep it, so that more can be gathered.
    Reserve,
}

/// Tasks to be stopped on a machine, and what is lost by that in seconds of a processor.
#[derive(Default)]
struct Eviction {
    victims: Vec<TaskAttempt>,
    loss: f64,
}

/// A job for which work may be stopped.
struct Preemptor {
    id: JobId,
    /// Priority and whether it is beyond its team's guarantee: the lowest is the most urgent.
    urgency: (u32, bool),
    /// The round in which room was last sought for it.
    last_searched_round: u64,
    tasks: u32,
}

/// Tasks of a job for which room is sought in one round.
const MAX_TASKS_PER_PREEMPTOR: u32 = 64;
/// Machines whose tasks one search passes over; a larger fleet has its turn part by part.
const MAX_CANDIDATES: usize = 256;
/// Reservations that there may be for each machine, and at the least: each is looked at when its turn comes.
const RESERVATIONS_PER_MACHINE: usize = 2;
const MIN_RESERVATIONS: usize = 1_024;
/// Reservations that one tick tries to use.
const RESERVATIONS_PER_TICK: usize = 2_048;

/// What a second of fetching an image counts as.
const IMAGE_FETCH_LOSS_PER_SECOND: f64 = 20.0;
/// What counts against plain replicas on a machine with GPUs, by whether GPU jobs need the room: more than
/// anything that may be lost elsewhere.
const GPU_MACHINE_LOSS: f64 = 1e6;
const GPU_CAPACITY_LOSS: f64 = 1e9;

impl Scheduler {
    /// Tasks that found no machine that is up: preemption, and the paper's second fall-back.
    pub(super) fn preempt_for_waiting(
        &mut self,
        now: MonotonicTime,
        view: &PlannerView,
        out: &PlanOutput,
        search: &mut PreemptionSearch,
    ) {
        let mut preemptors = Vec::new();
        for w in &out.waiting {
            let Some(PlannedJob { id, .. }) = view.jobs.get(w.job as usize) else { continue };
            let Some(view) = view.input.jobs.get(w.job as usize) else { continue };
            self.review_spot_wait(now, id, view, w);
            if self.may_preempt(id, view, w) {
                let last_searched_round = self.jobs.live.get(id).map_or(0, |j| j.last_preemption_round);
                preemptors.push(Preemptor {
                    id: *id,
                    urgency: (view.priority, !view.guaranteed),
                    last_searched_round,
                    tasks: w.count.min(MAX_TASKS_PER_PREEMPTOR),
                });
            }
        }
        self.cost.add_jobs(out.waiting.len());
        // The most urgent first, and of those whoever has waited longest for a search: what the budget
        // doesn't reach goes on in the next round.
        preemptors.sort_by_key(|s| (s.urgency, s.last_searched_round));
        let mut preemptors: VecDeque<Preemptor> = preemptors.into();
        while !search.budget.is_mostly_spent()
            && let Some(preemptor) = preemptors.pop_front()
        {
            self.preempt_for(now, &preemptor, search);
        }
        // The rest of the budget goes round among all: urgent work that finds nothing starves nobody.
        preemptors.make_contiguous().sort_by_key(|s| s.last_searched_round);
        while !search.budget.is_spent()
            && let Some(preemptor) = preemptors.pop_front()
        {
            self.preempt_for(now, &preemptor, search);
        }
    }

    /// The paper's second fall-back: gives up on spot machines that don't come.
    fn review_spot_wait(&mut self, now: MonotonicTime, id: &JobId, view: &JobView, w: &Waiting) {
        let window_s = self.tuning.spot_window_s;
        let Some(j) = self.jobs.live.get_mut(id) else { return };
        if !w.on_spot {
            j.spot_wait_since = None;
            return;
        }
        let since = *j.spot_wait_since.get_or_insert(now);
        let due = view.due_s.unwrap_or(2.0 * w.finish_s);
        let sub = placement::sub_deadline(due, view.run_s, true);
        let slip = (now - since).as_secs_f64();
        if !j.no_new_spot && placement::spot_wait_is_over(sub, w.finish_s, slip, window_s) {
            debug!("job {id} gives up its spot request");
            j.no_new_spot = true;
        }
    }

    /// Whether other work may be stopped for a waiting job.
    fn may_preempt(&self, id: &JobId, view: &JobView, w: &Waiting) -> bool {
        let urgent = view.priority <= priority_number(Priority::High) || view.guaranteed;
        // Work is only stopped for a job that would start too late otherwise.
        let aim = self.jobs.live.get(id).and_then(|j| self.settings.start_slo_s(&j.spec.class, view.guaranteed));
        urgent && !aim.is_some_and(|aim| w.ready_s > 0.0 && view.age_s + w.ready_s <= aim)
    }

    fn preempt_for(&mut self, now: MonotonicTime, preemptor: &Preemptor, search: &mut PreemptionSearch) {
        let Some(j) = self.jobs.live.get_mut(&preemptor.id) else { return };
        j.last_preemption_round = self.rounds.count;
        if j.spec.kind == Kind::Gang {
            // All of it or nothing: work is stopped only where that is enough.
            self.reserve_for_gang(now, search, &preemptor.id, PartialCapacity::Release);
        } else {
            self.preempt_tasks(now, search, &PreemptionRequest::anywhere(preemptor.id, preemptor.tasks));
        }
    }

    /// What urgent work without GPUs may still take of a GPU machine.
    pub(super) fn urgent_headroom(&self, m: &Machine) -> Resources {
        let mut urgent_headroom = Resources::of_type(&self.catalog.types[m.kind]);
        urgent_headroom.sub(&self.gpus.needs[m.kind]);
        let fixed = |s: &&Allocation| !s.has_exited() && s.need.gpus <= 0.0 && s.priority <= Priority::High;
        m.allocations.values().filter(fixed).for_each(|s| urgent_headroom.sub(&s.need));
        urgent_headroom
    }

    /// The GPU machines that work without GPUs may fill: of each zone's, as many as GPU jobs haven't
    /// wanted lately, and those first that do such work already. Filled as they come free, they
    /// would be cleared for the next GPU job, and what ran there would start over each time.
    pub(super) fn update_lendable_gpu_machines(&mut self, now: MonotonicTime, waiting: &BTreeSet<JobId>) {
        let mut there = vec![0.0; self.catalog.zones.len()];
        let mut in_use = vec![0.0; self.catalog.zones.len()];
        let mut idle: Vec<(f64, &MachineId, &Machine)> = Vec::new();
        for (id, m) in
            self.machines.known.iter().filter(|(_, m)| m.up && !m.retiring && self.catalog.types[m.kind].gpus > 0.0)
        {
            there[m.zone as usize] += self.catalog.types[m.kind].gpus;
            let used = m.used();
            in_use[m.zone as usize] += used.gpus;
            if used.gpus <= 0.0 {
                idle.push((used.cpus, id, m));
            }
        }
        let jobs = waiting.iter().filter_map(|id| self.jobs.live.get(id));
        let dependency: f64 = jobs.map(|j| j.startable_tasks() as f64 * j.spec.gpus).sum();
        let mut unwanted = self.gpus.demand.update(now, there, &in_use, dependency);
        idle.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
        let lent = idle.into_iter().filter(|(_, _, m)| unwanted.take(m.zone, self.catalog.types[m.kind].gpus));
        let lent = lent.map(|(_, id, _)| id.clone()).collect();
        self.gpus.lendable = lent;
    }

    /// What work without GPUs that can be stopped for GPU jobs may still take of a GPU machine.
    pub(super) fn preemptible_headroom(&self, m: &Machine, lent: bool) -> Resources {
        let mut rest = m.free(&self.catalog.types[m.kind]);
        let gpu_work = m.allocations.values().any(|s| !s.has_exited() && s.need.gpus > 0.0);
        if !lent && !gpu_work {
            rest.sub(&self.gpus.needs[m.kind]);
        }
        rest
    }

    /// Whether a planned start leaves GPU jobs their room. Planners keep to that, but not knowing of
    /// each other they may all give the same machine what is left there.
    pub(super) fn preserves_gpu_headroom(&self, j: &Job, id: &MachineId, m: &Machine) -> bool {
        let s = &j.spec;
        if self.catalog.types[m.kind].gpus <= 0.0 || s.gpus > 0.0 || s.kind == Kind::Service {
            return true;
        }
        let part = if j.priority() <= Priority::High {
            self.urgent_headroom(m)
        } else {
            self.preemptible_headroom(m, self.gpus.lendable.contains(id))
        };
        part.cpus + 1e-6 >= s.cpus && part.memory_gb + 1e-6 >= s.memory_gb
    }

    /// What of a machine is neither used nor reserved, but for one job's reservations if that is named.
    pub(super) fn unreserved_capacity(&self, id: &MachineId, m: &Machine, but_for: Option<&JobId>) -> Resources {
        let mut free = m.free(&self.catalog.types[m.kind]);
        let reservations = self.reservations.on(id).filter(|r| but_for != Some(&r.job));
        reservations.for_each(|r| free.sub(&r.need));
        free
    }

    /// Starts what room was kept for, once it is there.
    pub(super) fn use_reservations(&mut self, now: MonotonicTime) {
        self.reservations.expire(now);
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        let jobs = self.reservations.jobs_after(self.reservations_tried_to, RESERVATIONS_PER_TICK);
        self.reservations_tried_to = jobs.last().copied();
        for job in jobs {
            self.cost.add_reservations(self.reservations.count_of(&job));
            let Some(j) = self.jobs.live.get(&job) else {
                done.insert(job);
                continue;
            };
            let mut machines: Vec<MachineId> = self.reservations.of(&job).map(|r| r.machine.clone()).collect();
            if j.spec.kind == Kind::Gang {
                let tasks = j.spec.tasks;
                machines.truncate(tasks as usize);
                let idle = j.gang.is_none() && j.placed.is_empty() && j.ready.len() as u32 == tasks;
                if !idle {
                    done.insert(job);
                } else if machines.len() as u32 == tasks
                    && machines.iter().all(|m| self.may_place(now, &job, m, f64::from(tasks)))
                {
                    let parts: Vec<(MachineId, u32)> = machines.into_iter().map(|m| (m, 1)).collect();
                    self.start_gang(now, &job, &parts);
                    done.insert(job);
                }
                continue;
            }
            for machine in machines {
                let Some(index) = self.jobs.live.get(&job).and_then(|j| j.ready.first().copied()) else {
                    done.insert(job);
                    break;
                };
                if self.may_place(now, &job, &machine, 1.0) {
                    self.reservations.use_one(&job, &machine);
                    let attempt = self.next_attempt();
                    self.start(now, &job, index, &machine, attempt);
                }
            }
        }
        done.iter().for_each(|job| self.reservations.release(job));
    }

    /// Stops work of lower priority where that makes room for tasks of a job. Returns for how many.
    pub(super) fn preempt_tasks(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        request: &PreemptionRequest,
    ) -> u32 {
        let before = self.cost.read();
        let PreemptionRequest { job: id, target, tasks, .. } = request;
        let mut zones = self.zones_of(id);
        let mut candidates = self.candidates_for(now, search, request, &zones);
        let mut made = 0;
        while made < *tasks && !self.reservations_exhausted() {
            let Some(at) = candidates.pop() else { break };
            let indexed = &search.index(self, now).machines[at];
            let (machine, zone) = (indexed.id.clone(), indexed.pool.zone);
            let Some(j) = self.jobs.live.get(id) else { break };
            let Some(eviction) = self.eviction_for(now, (id, j), &machine, *target, &zones) else { continue };
            if candidates.has_better_than(eviction.loss) {
                // Something else has been stopped or reserved there since.
                candidates.push(eviction.loss, at);
                continue;
            }
            self.evict(now, id, &machine, eviction.victims);
            zones.push(ZoneCount { zone, count: 1 });
            made += 1;
            search.refresh(self, now, &machine);
            let Some(j) = self.jobs.live.get(id) else { break };
            if let Some(next) = self.eviction_for(now, (id, j), &machine, *target, &zones) {
                candidates.push(next.loss, at);
            }
        }
        search.budget.spend(self.cost.read().since(&before).total());
        made
    }

    fn reservations_exhausted(&self) -> bool {
        self.reservations.len() >= MIN_RESERVATIONS + RESERVATIONS_PER_MACHINE * self.machines.known.len()
    }

    /// The machines where stopping work makes room for a task of a job: all of them in small fleets, in large
    /// ones others in each round.
    fn candidates_for(
        &self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        request: &PreemptionRequest,
        zones: &[ZoneCount],
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let PreemptionRequest { job: id, target, zone, .. } = request;
        let Some(j) = self.jobs.live.get(id) else { return candidates };
        let (need, urgency) = (Resources::of_task(&j.spec), self.urgency(id, j));
        let mut permitted = self.permitted_pools(&j.spec);
        permitted.retain(|pool| zone.is_none_or(|zone| pool.zone == zone));
        self.cost.add_jobs(1);
        let index = search.index(self, now);
        let promising = index.promising(&permitted, urgency, &need);
        if promising.is_empty() {
            return candidates;
        }
        self.cost.add_machines(index.machines.len());
        let suited = |at: &usize| {
            let machine = &index.machines[*at];
            machine.reclaimable_by(urgency).covers(&need) && promising.contains(&machine.pool)
        };
        let count = index.machines.len();
        let first = (self.rounds.count as usize).wrapping_mul(MAX_CANDIDATES) % count.max(1);
        // A gang was found to have room on all of them together.
        let most = if j.spec.kind == Kind::Gang { count } else { MAX_CANDIDATES };
        for at in (first..count).chain(0..first).filter(suited).take(most) {
            let machine = &index.machines[at];
            if let Some(eviction) = self.eviction_for(now, (id, j), &machine.id, *target, zones) {
                candidates.push(eviction.loss, at);
            }
        }
        candidates
    }

    /// The zones in which a job's tasks are placed, or room is being made for them.
    fn zones_of(&self, id: &JobId) -> Vec<ZoneCount> {
        let Some(j) = self.jobs.live.get(id).filter(|j| j.spec.spread || j.spec.one_zone) else { return Vec::new() };
        let mut zones = zone_counts(j, &self.machines.known);
        let coming = self.reservations.of(id).filter_map(|r| self.machines.known.get(&r.machine));
        zones.extend(coming.map(|m| ZoneCount { zone: m.zone, count: 1 }));
        self.cost.add_tasks(j.placed.len() + zones.len());
        zones
    }

    /// What has to be stopped on a machine for one more task of a job; none: the job can't have room there.
    fn eviction_for(
        &self,
        now: MonotonicTime,
        (id, j): (&JobId, &Job),
        machine: &MachineId,
        target: PlacementTarget,
        zones: &[ZoneCount],
    ) -> Option<Eviction> {
        let m = self.machines.known.get(machine)?;
        let spec = &j.spec;
        let allowed = placement::zone_allowed(spec.spread, spec.one_zone, spec.tasks, zones, m.zone);
        (allowed && self.is_eligible(now, j, machine, m)).then(|| self.eviction(now, (id, j), (machine, m), target))?
    }

    /// Stops tasks on a machine and keeps the room for a task of a job.
    fn evict(&mut self, now: MonotonicTime, id: &JobId, machine: &MachineId, victims: Vec<TaskAttempt>) {
        let Some(need) = self.jobs.live.get(id).map(|j| Resources::of_task(&j.spec)) else { return };
        if !victims.is_empty() {
            debug!("making room for {id} on {machine}: tasks={}", victims.len());
        }
        for victim in victims {
            self.stop_task(machine, &victim);
        }
        self.reservations.add(now, machine.clone(), *id, need);
    }

    /// What has to be stopped on a machine to make room for a task of a job; none: that is not to be had.
    fn eviction(
        &self,
        now: MonotonicTime,
        (id, j): (&JobId, &Job),
        (mid, m): (&MachineId, &Machine),
        target: PlacementTarget,
    ) -> Option<Eviction> {
        let spec = &j.spec;
        let t = &self.catalog.types[m.kind];
        let need = Resources::of_task(spec);
        let service = spec.kind == Kind::Service;
        let image = self.catalog.images.get(&spec.image).copied().unwrap_or(u32::MAX);
        let ready = m.image_ready_in_s(image, now);
        if target == PlacementTarget::ImageHolders && ready != Some(0.0) {
            return None;
        }
        let plain_on_gpus = t.gpus > 0.0 && need.gpus <= 0.0;
        let spared = plain_on_gpus && !self.urgent_headroom(m).covers(&Resources { gpus: 0.0, ..need });
        if spared && !service {
            return None;
        }
        self.cost.add_tasks(m.allocations.len());
        let mut free = self.unreserved_capacity(mid, m, None);
        // What is already told to stop will be free soon.
        for s in m.allocations.values().filter(|s| !s.has_exited() && s.stop.is_some()) {
            free.add(&s.need);
        }
        let mut eviction = Eviction::default();
        for (key, allocation) in self.candidates((id, j), m, now, target) {
            if free.covers(&need) {
                break;
            }
            free.add(&allocation.need);
            let ran_s = allocation.running_since.map_or(0.0, |t| (now - t).as_secs_f64());
            eviction.loss += self.gang_size(&key.0.job) * (1.0 + ran_s * allocation.need.cpus.max(1.0));
            eviction.victims.push(*key);
        }
        if !free.covers(&need) {
            return None;
        }
        if ready.is_none() {
            eviction.loss += IMAGE_FETCH_LOSS_PER_SECOND * spec.image_gb / t.fetch_gb_per_s.max(0.01);
        }
        if service && plain_on_gpus {
            eviction.loss += if spared { GPU_CAPACITY_LOSS } else { GPU_MACHINE_LOSS };
        }
        Some(eviction)
    }

    /// The tasks on a machine that may be stopped for a job, those first that are missed least.
    fn candidates<'a>(
        &'a self,
        (id, j): (&JobId, &Job),
        m: &'a Machine,
        now: MonotonicTime,
        target: PlacementTarget,
    ) -> Vec<(&'a TaskAttempt, &'a Allocation)> {
        let guaranteed = self.quota.is_within_guarantee(id);
        let may_be_stopped = |(key, allocation): &(&TaskAttempt, &Allocation)| {
            // A team's guarantee goes before what other teams run beyond theirs.
            let beyond = allocation.team != Some(j.team) && !self.quota.is_within_guarantee(&key.0.job);
            let lower =
                allocation.priority > j.priority() || guaranteed && allocation.priority == j.priority() && beyond;
            // Stopping one task of a gang stops it whole: too dear for an image.
            let cheap = target == PlacementTarget::Anywhere || self.gang_size(&key.0.job) == 1.0;
            !allocation.has_exited() && allocation.stop.is_none() && lower && cheap
        };
        let mut candidates: Vec<_> = m.allocations.iter().filter(may_be_stopped).collect();
        candidates.sort_by_key(|(_, allocation)| {
            let ran = allocation.running_since.map_or(0, |t| (now - t).0);
            (std::cmp::Reverse(allocation.priority), ran)
        });
        candidates
    }

    /// How many tasks end when one of the job's is stopped.
    fn gang_size(&self, id: &JobId) -> f64 {
        self.jobs.live.get(id).filter(|j| j.spec.kind == Kind::Gang).map_or(1.0, |j| f64::from(j.spec.tasks))
    }

    /// Whether a job's tasks may be on the machine, room and the job's other tasks aside.
    fn is_eligible(&self, now: MonotonicTime, j: &Job, id: &MachineId, m: &Machine) -> bool {
        m.usable(now, self.heartbeat_timeout()) && self.permits(&j.spec, m) && !j.avoids(id, now)
    }

    /// Gathers room for gangs that have waited long: smaller work would take every machine that
    /// becomes free, and the largest gangs would never begin. Free machines are held, for one gang
    /// at a time and the largest first, as holding costs what fresh work could have had; once they
    /// suffice together with what can be had by stopping work of lower priority, it is stopped.
    pub(super) fn reserve_for_large_gangs(&mut self, now: MonotonicTime, wall: WallTime) {
        let waits = |j: &Job| {
            j.spec.kind == Kind::Gang
                && j.spec.tasks as usize == j.startable_tasks()
                && j.placed.is_empty()
                && j.gang.is_none()
                && j.pause_until <= now
                && !j.at_fault(now)
                && !self.held_back(j)
                && elapsed_s(wall, j.startable_at) >= self.tuning.gang_reservation_wait_s
        };
        // Of a class only the largest, down to half of the most: smaller ones find room anyway.
        let mut most: BTreeMap<&str, u32> = BTreeMap::new();
        for j in self.jobs.live.values().filter(|j| j.spec.kind == Kind::Gang) {
            let m = most.entry(&j.spec.class).or_default();
            *m = j.spec.tasks.max(*m);
        }
        let large = |j: &Job| most.get(&*j.spec.class).is_some_and(|m| j.spec.tasks.saturating_mul(2) >= *m);
        let size = |j: &Job| (j.priority(), std::cmp::Reverse(j.spec.tasks), j.submitted);
        let mut waiting: Vec<_> =
            self.jobs.live.iter().filter(|(_, j)| waits(j) && large(j)).map(|(id, j)| (size(j), *id)).collect();
        waiting.sort();
        let mut search = PreemptionSearch::new(self.machines.known.len());
        for (_, id) in waiting {
            if search.budget.is_spent() || self.reserve_for_gang(now, &mut search, &id, PartialCapacity::Reserve) {
                break;
            }
        }
    }

    /// Finds room for a gang. False: nowhere, or its team has no quota left.
    fn reserve_for_gang(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
        partial: PartialCapacity,
    ) -> bool {
        let Some(j) = self.jobs.live.get(id) else { return false };
        let (team, tasks, need) = (j.team, j.spec.tasks, Resources::of_task(&j.spec));
        if !self.fits_quota(team, &need, f64::from(tasks)) {
            return false;
        }
        let before = self.cost.read();
        let held_in = self.reservations.of(id).next().and_then(|r| self.machines.known.get(&r.machine)).map(|m| m.zone);
        let best = self
            .gang_capacity(now, search, id)
            .into_iter()
            .filter(|(_, room)| room.most >= tasks)
            .max_by_key(|(zone, room)| (held_in == Some(*zone), room.soon.min(tasks), room.free_tasks()));
        search.budget.spend(self.cost.read().since(&before).total());
        let Some((zone, room)) = best.filter(|(_, room)| partial == PartialCapacity::Reserve || room.soon >= tasks)
        else {
            return false;
        };
        let mut left = tasks - self.reserve_free_capacity(now, search, id, &room);
        if left > 0 && room.soon >= tasks {
            debug!("room gathered for {id}: tasks={tasks} free={}", tasks - left);
            let zone = (zone != ANY_ZONE).then_some(zone);
            left -=
                self.preempt_tasks(now, search, &PreemptionRequest { zone, ..PreemptionRequest::anywhere(*id, left) });
        }
        self.cost.add_tasks((tasks - left) as usize);
        true
    }

    /// The room that a gang could have in each zone; one that may be anywhere counts all zones as one.
    fn gang_capacity(
        &self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
    ) -> BTreeMap<u32, GangCapacity> {
        let mut zones: BTreeMap<u32, GangCapacity> = BTreeMap::new();
        let Some(j) = self.jobs.live.get(id) else { return zones };
        let need = Resources::of_task(&j.spec);
        let urgency = Urgency { guaranteed: false, ..self.urgency(id, j) };
        let permitted = self.permitted_pools(&j.spec);
        let mut held: BTreeMap<&MachineId, Resources> = BTreeMap::new();
        for reservation in self.reservations.of(id) {
            held.entry(&reservation.machine).or_default().add(&reservation.need);
        }
        let index = search.index(self, now);
        self.cost.add_machines(index.machines.len());
        for machine in index.machines.iter().filter(|m| permitted.contains(&m.pool) && !j.avoids(&m.id, now)) {
            let (mut free, mut soon) = (machine.free, machine.reclaimable_by(urgency));
            if let Some(held) = held.get(&machine.id) {
                free.add(held);
                soon.add(held);
            }
            let zone = if j.spec.one_zone { machine.pool.zone } else { ANY_ZONE };
            let room = zones.entry(zone).or_default();
            let free = tasks_that_fit(&free, &need);
            if free > 0 {
                room.free.push((machine.id.clone(), free));
            }
            room.soon += tasks_that_fit(&soon, &need);
            room.most += tasks_that_fit(&Resources::of_type(&self.catalog.types[machine.pool.kind]), &need);
        }
        zones
    }

    /// Reserves free room for a gang in place of what was held for it. Returns for how many tasks.
    fn reserve_free_capacity(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
        room: &GangCapacity,
    ) -> u32 {
        let Some(j) = self.jobs.live.get(id) else { return 0 };
        let (tasks, need) = (j.spec.tasks, Resources::of_task(&j.spec));
        let mut changed: BTreeSet<MachineId> = self.reservations.of(id).map(|r| r.machine.clone()).collect();
        self.reservations.release(id);
        let mut held = 0;
        for (machine, count) in &room.free {
            for _ in 0..(*count).min(tasks - held) {
                self.reservations.add(now, machine.clone(), *id, need);
                changed.insert(machine.clone());
                held += 1;
            }
        }
        changed.iter().for_each(|machine| search.refresh(self, now, machine));
        held
    }
}

/// Room for a gang on machines of one zone, in tasks of the gang.
#[derive(Default)]
struct GangCapacity {
    /// What is free for it now.
    free: Vec<(MachineId, u32)>,
    /// What is free, or would be if work of lower priority were stopped.
    soon: u32,
    /// What the machines could hold at the most.
    most: u32,
}

impl GangCapacity {
    fn free_tasks(&self) -> u32 {
        self.free.iter().map(|(_, tasks)| tasks).sum()
    }
}

/// How many times a need fits into room.
fn tasks_that_fit(room: &Resources, need: &Resources) -> u32 {
    let part = |room: f64, need: f64| if need > 0.0 { (room + 1e-6) / need } else { f64::INFINITY };
    let n = part(room.cpus, need.cpus).min(part(room.gpus, need.gpus)).min(part(room.memory_gb, need.memory_gb));
    n.clamp(0.0, 1e6) as u32
}
