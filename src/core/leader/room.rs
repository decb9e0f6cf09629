//! Room for urgent work: preemption, the room it makes, and moving replicas together.

use super::planner_view::{PlannedJob, PlannerView, wall_age, zone_counts};
use super::*;

/// Where room for a task is wanted.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Wanted {
    Anywhere,
    WhereImageIs,
}

/// What to do with room for a gang that doesn't suffice yet.
#[derive(Clone, Copy, PartialEq)]
enum Insufficient {
    Leave,
    /// Keep it, so that more can be gathered.
    Hold,
}

/// Tasks to be stopped on a machine, and what is lost by that in seconds of a processor.
#[derive(Default)]
struct Eviction {
    victims: Vec<SlotKey>,
    loss: f64,
}

/// What a second of fetching an image counts as.
const LOSS_OF_FETCH_SECOND: f64 = 20.0;
/// What counts against plain replicas on a machine with GPUs, by whether GPU jobs need the room: more than
/// anything that may be lost elsewhere.
const LOSS_OF_GPU_MACHINE: f64 = 1e6;
const LOSS_OF_GPU_ROOM: f64 = 1e9;

impl Leader {
    /// Tasks that found no machine that is up: preemption, and the paper's second fall-back.
    pub(super) fn heed_waiting(&mut self, now: Mono, view: &PlannerView, out: &PlanOutput) {
        for w in &out.waiting {
            let Some(PlannedJob { id, .. }) = view.jobs.get(w.job as usize) else { continue };
            let Some(view) = view.input.jobs.get(w.job as usize) else { continue };
            if let Some(j) = self.jobs.get_mut(id) {
                if w.on_spot {
                    let since = *j.spot_wait_since.get_or_insert(now);
                    let due = view.due_s.unwrap_or(2.0 * w.finish_s);
                    let sub = miser::sub_deadline(due, view.run_s, true);
                    let slip = (now - since).as_secs();
                    if !j.no_new_spot && miser::spot_wait_is_over(sub, w.finish_s, slip, self.tuning.spot_window_s) {
                        debug!("job {id} gives up its spot request");
                        j.no_new_spot = true;
                    }
                } else {
                    j.spot_wait_since = None;
                }
            }
            if !(view.priority <= priority_number(Priority::High) || view.guaranteed) {
                continue;
            }
            // Work is only stopped for a job that would start too late otherwise.
            let aim = self.jobs.get(id).and_then(|j| self.settings.start_aim(&j.spec.class, view.guaranteed));
            if aim.is_some_and(|aim| w.ready_s > 0.0 && view.age_s + w.ready_s <= aim) {
                continue;
            }
            if view.gang {
                // All of it or nothing: work is stopped only where that is enough.
                self.gather_for(now, id, Insufficient::Leave);
                continue;
            }
            for _ in 0..w.count.min(64) {
                if !self.make_room(now, id, Wanted::Anywhere) {
                    break;
                }
            }
        }
    }

    /// What urgent work without GPUs may still take of a GPU machine.
    pub(super) fn spare(&self, m: &Machine) -> Amount {
        let mut spare = Amount::of_type(&self.types[m.kind]);
        spare.sub(&self.gpu_needs[m.kind]);
        let fixed = |s: &&Slot| !s.exited() && s.need.gpus <= 0.0 && s.priority <= Priority::High;
        m.slots.values().filter(fixed).for_each(|s| spare.sub(&s.need));
        spare
    }

    /// The GPU machines that work without GPUs may fill: of each zone's, as many as GPU jobs haven't
    /// wanted lately, and those first that do such work already. Filled as they come free, they
    /// would be cleared for the next GPU job, and what ran there would start over each time.
    pub(super) fn lend(&mut self, now: Mono, waiting: &BTreeSet<JobId>) {
        let mut there = vec![0.0; self.zones.len()];
        let mut in_use = vec![0.0; self.zones.len()];
        let mut idle: Vec<(f64, &MachineId, &Machine)> = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| m.up && !m.doomed && self.types[m.kind].gpus > 0.0) {
            there[m.zone as usize] += self.types[m.kind].gpus;
            let used = m.used();
            in_use[m.zone as usize] += used.gpus;
            if used.gpus <= 0.0 {
                idle.push((used.cpus, id, m));
            }
        }
        let jobs = waiting.iter().filter_map(|id| self.jobs.get(id));
        let awaited: f64 = jobs.map(|j| j.startable_tasks() as f64 * j.spec.gpus).sum();
        let mut unwanted = self.gpu_demand.update(now, there, &in_use, awaited);
        idle.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
        let lent = idle.into_iter().filter(|(_, _, m)| unwanted.take(m.zone, self.types[m.kind].gpus));
        let lent = lent.map(|(_, id, _)| id.clone()).collect();
        self.lent = lent;
    }

    /// What work without GPUs that can be stopped for GPU jobs may still take of a GPU machine.
    pub(super) fn rest(&self, m: &Machine, lent: bool) -> Amount {
        let mut rest = m.free(&self.types[m.kind]);
        let gpu_work = m.slots.values().any(|s| !s.exited() && s.need.gpus > 0.0);
        if !lent && !gpu_work {
            rest.sub(&self.gpu_needs[m.kind]);
        }
        rest
    }

    /// Whether a planned start leaves GPU jobs their room. Planners keep to that, but not knowing of
    /// each other they may all give the same machine what is left there.
    pub(super) fn leaves_gpu_room(&self, j: &Job, id: &MachineId, m: &Machine) -> bool {
        let s = &j.spec;
        if self.types[m.kind].gpus <= 0.0 || s.gpus > 0.0 || s.kind == Kind::Service {
            return true;
        }
        let part = if j.priority() <= Priority::High { self.spare(m) } else { self.rest(m, self.lent.contains(id)) };
        part.cpus + 1e-6 >= s.cpus && part.memory_gb + 1e-6 >= s.memory_gb
    }

    /// Moves replicas off machines that do nothing else, onto machines that are busy anyway, so
    /// that the former can go back. One at a time, and only while nothing waits.
    pub(super) fn consolidate(&mut self, now: Mono) {
        if now < self.move_at || self.jobs.values().any(|j| j.startable_tasks() > 0) || !self.reservations.is_empty() {
            return;
        }
        self.move_at = now + Span(1_000);
        let quiet = self.quiet();
        let share = |m: &Machine| {
            let t = &self.types[m.kind];
            let u = m.used();
            (u.cpus / t.cpus.max(0.1)).max(u.memory_gb / t.memory_gb.max(0.1))
        };
        self.work.add_machines(self.machines.len());
        let is_service = |k: &SlotKey| self.jobs.get(&k.0.job).is_some_and(|j| j.spec.kind == Kind::Service);
        let waste = |m: &Machine| self.types[m.kind].price * (1.0 - share(m));
        let mut sources: Vec<(&MachineId, &Machine)> = self
            .machines
            .iter()
            .filter(|(_, m)| m.usable(now, quiet) && m.in_flight.is_none() && m.busy())
            .filter(|(_, m)| m.slots.iter().all(|(k, s)| !s.exited() && s.stop.is_none() && is_service(k)))
            .filter(|(_, m)| share(m) < 0.5)
            .collect();
        sources.sort_by(|a, b| waste(b.1).total_cmp(&waste(a.1)).then(a.0.cmp(b.0)));
        let mut found = None;
        'search: for (from, source) in sources {
            for (key, slot) in &source.slots {
                let Some(job) = self.jobs.get(&key.0.job) else { continue };
                let mut zones = zone_counts(job, &self.machines);
                zones.iter_mut().filter(|z| z.zone == source.zone).for_each(|z| z.count -= 1);
                let spec = &job.spec;
                let fits = |id: &MachineId, m: &Machine| {
                    let t = &self.types[m.kind];
                    id != from
                        && m.usable(now, quiet)
                        && m.busy()
                        && t.gpus <= 0.0
                        && (share(m) > share(source) || self.types[source.kind].gpus > 0.0)
                        && m.image_ready(slot.image, now) == Some(0.0)
                        && m.free(t).holds(&slot.need)
                        && self.permits(spec, m)
                        && miser::zone_allowed(spec.spread, spec.one_zone, spec.tasks, &zones, m.zone)
                };
                self.work.add_machines(self.machines.len());
                let to =
                    self.machines.iter().filter(|(id, m)| fits(id, m)).max_by(|a, b| share(a.1).total_cmp(&share(b.1)));
                if let Some((to, _)) = to {
                    found = Some((from.clone(), *key, to.clone(), slot.need));
                    break 'search;
                }
            }
        }
        let Some((from, key, to, need)) = found else { return };
        info!("moving {} from {from} to {to}", key.0);
        let job = key.0.job;
        self.stop_task(&from, &key);
        self.reservations.add(now, to, job, need);
    }

    /// Starts what room was kept for, once it is there.
    pub(super) fn use_reservations(&mut self, now: Mono) {
        self.reservations.expire(now);
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        for job in self.reservations.jobs() {
            self.work.add_reservations(self.reservations.len());
            let Some(j) = self.jobs.get(&job) else {
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
                let Some(index) = self.jobs.get(&job).and_then(|j| j.ready.first().copied()) else {
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

    /// Stops work of lower priority where that makes room for one task. False: nowhere.
    pub(super) fn make_room(&mut self, now: Mono, id: &JobId, wanted: Wanted) -> bool {
        let Some(j) = self.jobs.get(id) else { return false };
        let spec = &j.spec;
        let need = Amount::of_task(spec);
        // What is placed, and what room is being made for.
        let mut placed = zone_counts(j, &self.machines);
        let coming = self.reservations.of(id).filter_map(|r| self.machines.get(&r.machine));
        placed.extend(coming.map(|m| ZoneCount { zone: m.zone, count: 1 }));
        self.work.add_machines(self.machines.len());
        let mut best: Option<(Eviction, MachineId)> = None;
        for (mid, m) in &self.machines {
            if !self.suits(now, j, mid, m)
                || !miser::zone_allowed(spec.spread, spec.one_zone, spec.tasks, &placed, m.zone)
            {
                continue;
            }
            let Some(eviction) = self.eviction(now, (id, j), (mid, m), wanted) else { continue };
            if best.as_ref().is_none_or(|(best, _)| eviction.loss < best.loss) {
                best = Some((eviction, mid.clone()));
            }
        }
        let Some((Eviction { victims, .. }, mid)) = best else { return false };
        if !victims.is_empty() {
            debug!("making room for {id} on {mid}: tasks={}", victims.len());
        }
        for victim in victims {
            self.stop_task(&mid, &victim);
        }
        self.reservations.add(now, mid, *id, need);
        true
    }

    /// What has to be stopped on a machine to make room for a task of a job; none: that is not to be had.
    fn eviction(
        &self,
        now: Mono,
        (id, j): (&JobId, &Job),
        (mid, m): (&MachineId, &Machine),
        wanted: Wanted,
    ) -> Option<Eviction> {
        let spec = &j.spec;
        let t = &self.types[m.kind];
        let need = Amount::of_task(spec);
        let service = spec.kind == Kind::Service;
        let image = self.images.get(&spec.image).copied().unwrap_or(u32::MAX);
        let ready = m.image_ready(image, now);
        if wanted == Wanted::WhereImageIs && ready != Some(0.0) {
            return None;
        }
        let plain_on_gpus = t.gpus > 0.0 && need.gpus <= 0.0;
        let spared = plain_on_gpus && !self.spare(m).holds(&Amount { gpus: 0.0, ..need });
        if spared && !service {
            return None;
        }
        let mut free = m.free(t);
        self.work.add_tasks(m.slots.len());
        self.work.add_reservations(self.reservations.len());
        self.reservations.on(mid).for_each(|r| free.sub(&r.need));
        // What is already told to stop will be free soon.
        for s in m.slots.values().filter(|s| !s.exited() && s.stop.is_some()) {
            free.add(&s.need);
        }
        let mut eviction = Eviction::default();
        for (key, slot) in self.candidates((id, j), m, now, wanted) {
            if free.holds(&need) {
                break;
            }
            free.add(&slot.need);
            let ran_s = slot.running_since.map_or(0.0, |t| (now - t).as_secs());
            eviction.loss += self.gang_size(&key.0.job) * (1.0 + ran_s * slot.need.cpus.max(1.0));
            eviction.victims.push(*key);
        }
        if !free.holds(&need) {
            return None;
        }
        if ready.is_none() {
            eviction.loss += LOSS_OF_FETCH_SECOND * spec.image_gb / t.fetch_gb_per_s.max(0.01);
        }
        if service && plain_on_gpus {
            eviction.loss += if spared { LOSS_OF_GPU_ROOM } else { LOSS_OF_GPU_MACHINE };
        }
        Some(eviction)
    }

    /// The tasks on a machine that may be stopped for a job, those first that are missed least.
    fn candidates<'a>(
        &'a self,
        (id, j): (&JobId, &Job),
        m: &'a Machine,
        now: Mono,
        wanted: Wanted,
    ) -> Vec<(&'a SlotKey, &'a Slot)> {
        let guaranteed = self.within_guarantee.contains(id);
        let may_be_stopped = |(key, slot): &(&SlotKey, &Slot)| {
            // A team's guarantee goes before what other teams run beyond theirs.
            let beyond = slot.team != Some(j.team) && !self.within_guarantee.contains(&key.0.job);
            let lower = slot.priority > j.priority() || guaranteed && slot.priority == j.priority() && beyond;
            // Stopping one task of a gang stops it whole: too dear for an image.
            let cheap = wanted == Wanted::Anywhere || self.gang_size(&key.0.job) == 1.0;
            !slot.exited() && slot.stop.is_none() && lower && cheap
        };
        let mut candidates: Vec<_> = m.slots.iter().filter(may_be_stopped).collect();
        candidates.sort_by_key(|(_, slot)| {
            let ran = slot.running_since.map_or(0, |t| (now - t).0);
            (std::cmp::Reverse(slot.priority), ran)
        });
        candidates
    }

    /// How many tasks end when one of the job's is stopped.
    fn gang_size(&self, id: &JobId) -> f64 {
        self.jobs.get(id).filter(|j| j.spec.kind == Kind::Gang).map_or(1.0, |j| f64::from(j.spec.tasks))
    }

    /// Whether a job's tasks may be on the machine, room and the job's other tasks aside.
    fn suits(&self, now: Mono, j: &Job, id: &MachineId, m: &Machine) -> bool {
        m.usable(now, self.quiet()) && self.permits(&j.spec, m) && !j.avoids(id, now)
    }

    /// Gathers room for gangs that have waited long: smaller work would take every machine that
    /// becomes free, and the largest gangs would never begin. Free machines are held, for one gang
    /// at a time and the largest first, as holding costs what fresh work could have had; once they
    /// suffice together with what can be had by stopping work of lower priority, it is stopped.
    pub(super) fn gather(&mut self, now: Mono, wall: Wall) {
        let waits = |j: &Job| {
            j.spec.kind == Kind::Gang
                && j.spec.tasks as usize == j.startable_tasks()
                && j.placed.is_empty()
                && j.gang.is_none()
                && j.pause_until <= now
                && !j.at_fault(now)
                && !self.held_back(j)
                && wall_age(wall, j.startable_at) >= self.tuning.gather_s
        };
        // Of a class only the largest, down to half of the most: smaller ones find room anyway.
        let mut most: BTreeMap<&str, u32> = BTreeMap::new();
        for j in self.jobs.values().filter(|j| j.spec.kind == Kind::Gang) {
            let m = most.entry(&j.spec.class).or_default();
            *m = j.spec.tasks.max(*m);
        }
        let large = |j: &Job| most.get(&*j.spec.class).is_some_and(|m| j.spec.tasks.saturating_mul(2) >= *m);
        let size = |j: &Job| (j.priority(), std::cmp::Reverse(j.spec.tasks), j.submitted);
        let mut waiting: Vec<_> =
            self.jobs.iter().filter(|(_, j)| waits(j) && large(j)).map(|(id, j)| (size(j), *id)).collect();
        waiting.sort();
        for (_, id) in waiting {
            if self.gather_for(now, &id, Insufficient::Hold) {
                break;
            }
        }
    }

    /// Finds room for a gang. False: nowhere, or its team has no quota left.
    fn gather_for(&mut self, now: Mono, id: &JobId, insufficient: Insufficient) -> bool {
        let Some(j) = self.jobs.get(id) else { return false };
        let (tasks, need) = (j.spec.tasks, Amount::of_task(&j.spec));
        if !self.quota_holds(j.team, &need, f64::from(tasks)) {
            return false;
        }
        let Some(j) = self.jobs.get(id) else { return false };
        let held_in = self.reservations.of(id).next().and_then(|r| self.machines.get(&r.machine));
        let held_in = held_in.map(|m| m.zone);
        // By zone: what is free for it now, what could be made so, and what its machines could
        // hold at the most. A gang that may be anywhere counts all zones as one.
        #[derive(Default)]
        struct Zone {
            free: Vec<(MachineId, u32)>,
            soon: u32,
            most: u32,
        }
        self.work.add_machines(self.machines.len());
        let priority = priority_number(j.priority());
        let mut zones: BTreeMap<u32, Zone> = BTreeMap::new();
        for (mid, m) in self.machines.iter().filter(|(mid, m)| self.suits(now, j, mid, m)) {
            let t = &self.types[m.kind];
            let mut free = m.free(t);
            self.work.add_tasks(m.slots.len());
            self.work.add_reservations(self.reservations.len());
            self.reservations.on(mid).filter(|r| r.job != *id).for_each(|r| free.sub(&r.need));
            let mut soon = free;
            for s in m.slots.values().filter(|s| !s.exited()) {
                if s.stop.is_some() || priority_number(s.priority) > priority {
                    soon.add(&s.need);
                }
            }
            let z = zones.entry(if j.spec.one_zone { m.zone } else { u32::MAX }).or_default();
            let fit = |a: &Amount| times_in(a, &need);
            if fit(&free) > 0 {
                z.free.push((mid.clone(), fit(&free)));
            }
            z.soon += fit(&soon);
            z.most += fit(&Amount::of_type(t));
        }
        let free = |z: &Zone| z.free.iter().map(|(_, n)| n).sum::<u32>();
        let best = zones
            .into_iter()
            .filter(|(_, z)| z.most >= tasks)
            .max_by_key(|(zone, z)| (held_in == Some(*zone), z.soon.min(tasks), free(z)));
        let Some((_, z)) = best.filter(|(_, z)| insufficient == Insufficient::Hold || z.soon >= tasks) else {
            return false;
        };
        self.reservations.release(id);
        let mut left = tasks;
        for (machine, n) in z.free {
            for _ in 0..n.min(left) {
                self.reservations.add(now, machine.clone(), *id, need);
                left -= 1;
            }
        }
        if left > 0 && z.soon >= tasks {
            debug!("room gathered for {id}: tasks={tasks} free={}", tasks - left);
            while left > 0 && self.make_room(now, id, Wanted::Anywhere) {
                left -= 1;
            }
        }
        true
    }
}

/// How many times a need fits into room.
fn times_in(room: &Amount, need: &Amount) -> u32 {
    let part = |room: f64, need: f64| if need > 0.0 { (room + 1e-6) / need } else { f64::INFINITY };
    let n = part(room.cpus, need.cpus).min(part(room.gpus, need.gpus)).min(part(room.memory_gb, need.memory_gb));
    n.clamp(0.0, 1e6) as u32
}
