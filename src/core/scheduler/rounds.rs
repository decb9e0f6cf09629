//! Rounds of decisions: the view, the parts of the plan, and what of it is committed.

use super::planner_view::{PlannedJob, PlannerView, partition_view, zone_counts};
use super::preemption::{PlacementTarget, PreemptionRequest};
use super::preemption_index::PreemptionSearch;
use super::*;
use crate::core::shards::ShardMove;

/// A round whose parts are planned by several controllers.
pub(super) struct Round {
    pub view: PlannerView,
    pub outputs: Vec<PlanOutput>,
    /// Peers that haven't answered, with their parts.
    pub missing: BTreeMap<String, Arc<PlanInput>>,
    pub until: MonotonicTime,
}

/// The rounds of this leader.
pub(super) struct Rounds {
    /// Something has changed since the last round.
    pub needed: bool,
    pub last_at: MonotonicTime,
    pub count: u64,
    /// The round whose parts are being planned.
    pub open: Option<Round>,
}

impl Rounds {
    pub fn new(now: MonotonicTime) -> Rounds {
        Rounds { needed: true, last_at: now, count: 0, open: None }
    }
}

impl Scheduler {
    /// Starts a round: each controller plans for the teams of its share, all on the same view.
    pub(super) fn round(&mut self, now: MonotonicTime, wall: WallTime) {
        self.rounds.last_at = now;
        self.rounds.needed = false;
        self.rounds.count += 1;
        // First, or the round would give away what has just become free.
        self.reserve_for_large_gangs(now, wall);
        self.inherit(wall);
        let view = self.planner_view(now, wall);
        // The leader's own part has no name.
        let mut parts: BTreeMap<Option<String>, Vec<u32>> = BTreeMap::from([(None, Vec::new())]);
        for j in &view.input.jobs {
            self.shards.record_load(j.team, j.ready);
            let planner = self.shards.planner_for(j.team, now).map(str::to_string);
            parts.entry(planner).or_default().push(j.key);
        }
        let keys: Vec<&[u32]> = parts.values().map(Vec::as_slice).collect();
        let mut inputs = partition_view(&view.input, &keys);
        let own = inputs.remove(0);
        let mut missing = BTreeMap::new();
        for (node, part) in parts.into_keys().flatten().zip(inputs) {
            let part = Arc::new(part);
            self.effects.push(Effect::Plan { node: node.clone(), input: part.clone() });
            missing.insert(node, part);
        }
        let outputs = vec![placement::plan_metered(&own, &self.cost)];
        let until = now + PLAN_TIMEOUT;
        self.rounds.open = Some(Round { view, outputs, missing, until });
        self.close_round(now);
    }

    /// A peer's plan. One of another round, term or version is dropped.
    pub fn on_plan(&mut self, now: MonotonicTime, node: &str, plan: Option<PlanOutput>) {
        let Some(round) = &mut self.rounds.open else { return };
        match plan {
            Some(p) if (p.version, p.term, p.round) == (VERSION, self.term.0, round.view.input.round) => {
                if round.missing.remove(node).is_some() {
                    round.outputs.push(p);
                    self.shards.mark_responsive(node, now);
                }
            }
            Some(p) => debug!("a plan of {node} is of round {} of term {}", p.round, p.term),
            None => round.until = now,
        }
        self.close_round(now);
    }

    /// Commits the round once all parts are there, or the leader has planned the missing ones.
    pub(super) fn close_round(&mut self, now: MonotonicTime) {
        if self.rounds.open.as_ref().is_none_or(|r| !r.missing.is_empty() && now < r.until) {
            return;
        }
        let Some(mut round) = self.rounds.open.take() else { return };
        // One part for each input: planning for all peers at once would hold up everything else.
        if let Some((node, part)) = round.missing.pop_first() {
            debug!("{node} is silent, its share is planned here");
            self.shards.mark_unresponsive(&node);
            round.outputs.push(placement::plan_metered(&part, &self.cost));
        }
        if !round.missing.is_empty() {
            self.rounds.open = Some(round);
            return;
        }
        let mut out = PlanOutput::default();
        for o in round.outputs {
            out.placements.extend(o.placements);
            out.scale_out.extend(o.scale_out);
            out.waiting.extend(o.waiting);
        }
        // The parts were planned apart: where they clash, the more urgent job goes first.
        let urgency = |job: u32| {
            let j = round.view.input.jobs.get(job as usize);
            j.map_or((u32::MAX, true), |j| (j.priority, !j.guaranteed))
        };
        out.placements.sort_by_key(|p| urgency(p.job));
        out.waiting.sort_by_key(|w| urgency(w.job));
        self.commit_plan(now, &round.view, &out);
    }

    /// Whether a round waits for the plans of peers.
    pub fn has_open_round(&self) -> bool {
        self.rounds.open.is_some()
    }

    /// The leader may not act for now: the open round is given up, so that what it was planned on is not
    /// acted on later.
    pub fn abandon_round(&mut self) {
        if let Some(round) = self.rounds.open.take() {
            info!("round {} is abandoned: term={}", round.view.input.round, self.term);
            self.rounds.needed = true;
        }
    }

    pub fn peer_answered(&mut self, now: MonotonicTime, node: &str) {
        self.shards.mark_responsive(node, now);
    }

    pub(super) fn rebalance_shards(&mut self, now: MonotonicTime) {
        for ShardMove { team, from, to } in self.shards.rebalance(now) {
            info!("share moved: team={} from={from} to={to}", self.quota.team_names[team as usize]);
            self.writes.shards_unsaved = true;
        }
    }

    /// Checks a plan against the cluster state and commits what still holds.
    pub(super) fn commit_plan(&mut self, now: MonotonicTime, view: &PlannerView, out: &PlanOutput) {
        let mut search = PreemptionSearch::new(self.machines.known.len());
        let mut gangs: BTreeMap<u32, Vec<(MachineId, u32)>> = BTreeMap::new();
        for p in &out.placements {
            // Keys beyond the view are a peer's mistake, and dropped.
            let (Some(PlannedJob { id: job, reclaimed }), Some(Some(machine))) =
                (view.jobs.get(p.job as usize), view.machines.get(p.machine as usize))
            else {
                continue;
            };
            let Some(j) = self.jobs.live.get_mut(job) else { continue };
            j.overspent += p.extra;
            if j.spec.kind == Kind::Gang {
                gangs.entry(p.job).or_default().push((machine.clone(), p.count));
                continue;
            }
            let mut count = p.count;
            if !search.budget.is_spent() && self.starts_late(now, job, machine, view.input.jobs.get(p.job as usize)) {
                let request =
                    PreemptionRequest { job: *job, target: PlacementTarget::ImageHolders, tasks: count, zone: None };
                count -= self.preempt_tasks(now, &mut search, &request);
            }
            let Some(j) = self.jobs.live.get(job) else { continue };
            let from = if *reclaimed { &j.reclaimed } else { &j.ready };
            let picked: Vec<u32> = from
                .iter()
                .filter(|i| *reclaimed || !j.reclaimed.contains(i))
                .filter(|i| j.ready.contains(i))
                .take(count as usize)
                .copied()
                .collect();
            for index in picked {
                let (Some(j), Some(m)) = (self.jobs.live.get(job), self.machines.known.get(machine)) else { break };
                if !self.preserves_gpu_headroom(j, machine, m) || !self.may_place(now, job, machine, 1.0) {
                    break;
                }
                let attempt = self.next_attempt();
                self.start(now, job, index, machine, attempt);
            }
        }
        for (key, parts) in gangs {
            let job = &view.jobs[key as usize].id;
            let total: u32 = parts.iter().map(|(_, n)| n).sum();
            if self.jobs.live.get(job).is_some_and(|j| j.spec.tasks == total && j.placed.is_empty() && j.gang.is_none())
            {
                self.start_gang(now, job, &parts);
            }
        }
        self.scale_out(now, &out.scale_out);
        // Tasks have been placed since the last survey.
        self.preempt_for_waiting(now, view, out, &mut PreemptionSearch::new(self.machines.known.len()));
        self.flush_orders();
    }

    /// Whether urgent work would miss its aim on starting on this machine, as the image has to be
    /// fetched first, and could meet it elsewhere: then room is made where the image is.
    pub(super) fn starts_late(
        &self,
        now: MonotonicTime,
        job: &JobId,
        machine: &MachineId,
        view: Option<&JobView>,
    ) -> bool {
        let (Some(j), Some(m), Some(v)) = (self.jobs.live.get(job), self.machines.known.get(machine), view) else {
            return false;
        };
        let image = self.catalog.images.get(&j.spec.image).copied().unwrap_or(u32::MAX);
        let fetch_s = m
            .image_ready_in_s(image, now)
            .unwrap_or(j.spec.image_gb / self.catalog.types[m.kind].fetch_gb_per_s.max(0.01));
        let aim = self.settings.start_slo_s(&j.spec.class, v.guaranteed);
        // A replica that is lost later is as urgent as a first one.
        let age_s = if j.spec.kind == Kind::Service { 0.0 } else { v.age_s };
        j.priority() <= Priority::High && aim.is_some_and(|aim| age_s < aim && age_s + fetch_s > aim)
    }

    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt::new(self.term, self.attempts)
    }

    /// A job from before this leader may have tasks on machines that aren't accounted for: nothing
    /// of it starts, whoever has planned it, until all those that could hold its tasks are.
    pub(super) fn held_back(&self, j: &Job) -> bool {
        let from_before = j.revision.0 <= self.term.0;
        from_before && self.machines.unreconciled.iter().any(|pool| self.permits_pool(&j.spec, *pool))
    }

    /// Whether a job permits a machine's type, zone and kind, whatever is on it.
    pub(super) fn permits(&self, s: &JobSpec, m: &Machine) -> bool {
        self.permits_pool(s, m.pool())
    }

    fn permits_pool(&self, s: &JobSpec, pool: InstancePool) -> bool {
        submissions::type_allows(s, &self.catalog.types[pool.kind])
            && s.zone.as_ref().is_none_or(|zone| *zone == self.catalog.zones[pool.zone as usize])
            && (s.spot || !pool.spot)
    }

    /// The markets whose machines a job permits.
    pub(super) fn permitted_pools(&self, s: &JobSpec) -> BTreeSet<InstancePool> {
        let kinds = 0..self.catalog.types.len();
        let zones = 0..self.catalog.zones.len() as u32;
        let pools = kinds.flat_map(|kind| {
            zones.clone().flat_map(move |zone| [false, true].map(|spot| InstancePool { kind, zone, spot }))
        });
        pools.filter(|pool| self.permits_pool(s, *pool)).collect()
    }

    /// The leader's own check of one start, whoever planned it.
    pub(super) fn may_place(&mut self, now: MonotonicTime, job: &JobId, machine: &MachineId, n: f64) -> bool {
        let (Some(j), Some(m)) = (self.jobs.live.get(job), self.machines.known.get(machine)) else { return false };
        let s = &j.spec;
        let need = Resources::of_task(s);
        let free = self.unreserved_capacity(machine, m, Some(job));
        let placed = zone_counts(j, &self.machines.known);
        let team = j.team;
        !self.in_doubt
            && !j.is_waiting()
            && m.usable(now, self.heartbeat_timeout())
            && !self.held_back(j)
            && free.covers(&need)
            && self.permits(s, m)
            && placement::zone_allowed(s.spread, s.one_zone, s.tasks, &placed, m.zone)
            && self.fits_quota(team, &need, n)
    }

    /// Counts everything possibly on a machine, and all of a machine that isn't accounted for.
    pub(super) fn quota_usage(&mut self) -> &QuotaUsage {
        self.quota.usage.get_or_insert_with(|| {
            let mut u = QuotaUsage {
                teams: vec![Resources::default(); self.settings.cluster.teams.len()],
                unreconciled: Resources::default(),
            };
            for m in self.machines.known.values() {
                for s in m.allocations.values().filter(|s| !s.has_exited()) {
                    if let Some(t) = s.team.and_then(|t| u.teams.get_mut(t as usize)) {
                        t.add(&s.need);
                    }
                }
                if !m.reconciled || m.has_unknown_usage() {
                    u.unreconciled.add(&Resources::of_type(&self.catalog.types[m.kind]));
                }
            }
            u
        })
    }

    pub(super) fn fits_quota(&mut self, team: u32, need: &Resources, n: f64) -> bool {
        let Some(t) = self.settings.cluster.teams.get(team as usize) else { return false };
        let (cpus_max, gpus_max) = (t.cpus_max, t.gpus_max);
        if cpus_max <= 0.0 && gpus_max <= 0.0 {
            return true;
        }
        let u = self.quota_usage();
        let mut used = u.teams[team as usize];
        used.add(&u.unreconciled);
        let fits = |most: f64, used: f64, need: f64| most <= 0.0 || used + need * n <= most + 1e-9;
        fits(cpus_max, used.cpus, need.cpus) && fits(gpus_max, used.gpus, need.gpus)
    }

    pub(super) fn start_gang(&mut self, now: MonotonicTime, job: &JobId, parts: &[(MachineId, u32)]) {
        let attempt = self.next_attempt();
        let Some(j) = self.jobs.live.get_mut(job) else { return };
        j.gang = Some(GangRun { attempt, broken: false });
        let total = j.spec.tasks;
        let mut index = 0;
        for (machine, n) in parts {
            for _ in 0..*n {
                if !self.may_place(now, job, machine, f64::from(total - index)) {
                    // Nothing was sent yet, so what was entered can be taken back.
                    self.take_back(job);
                    return;
                }
                self.start(now, job, index, machine, attempt);
                index += 1;
            }
        }
    }

    pub(super) fn take_back(&mut self, job: &JobId) {
        let Some(j) = self.jobs.live.get_mut(job) else { return };
        j.gang = None;
        let places: Vec<(u32, MachineId, Attempt)> = j.places().map(|(i, m, a)| (i, m.clone(), a)).collect();
        j.placed.clear();
        for (index, machine, attempt) in places {
            let key = (TaskId { job: *job, index }, attempt);
            if let Some(m) = self.machines.known.get_mut(&machine) {
                m.allocations.remove(&key);
                let run = Order::Run { task: key.0, attempt };
                m.outbox.retain(|o| *o != run);
            }
            j.requeue(index, false);
        }
    }

    /// Enters a task in the cluster state and queues its order; the cluster state always comes first.
    pub(super) fn start(&mut self, now: MonotonicTime, job: &JobId, index: u32, machine: &MachineId, attempt: Attempt) {
        let (Some(j), Some(m)) = (self.jobs.live.get_mut(job), self.machines.known.get_mut(machine)) else { return };
        let t = &self.catalog.types[m.kind];
        let s = &j.spec;
        let image = self.catalog.images.get(&s.image).copied().unwrap_or(u32::MAX);
        let fetch_s = match m.image_ready_in_s(image, now) {
            Some(left) => left,
            None => s.image_gb / t.fetch_gb_per_s.max(0.01),
        };
        m.cache_image(image, s.image_gb, t.cache_gb);
        let task = TaskId { job: *job, index };
        let allocation = Allocation {
            need: Resources::of_task(s),
            team: Some(j.team),
            priority: j.priority(),
            phase: None,
            pending_run: None,
            last_listed: 0,
            placed_at: now,
            running_since: None,
            fully_observed: true,
            stop: None,
            image,
            fetch_s,
            run_s: self.jobs.class_times.expect(&s.class, s.estimate_s),
        };
        j.place(index, machine, attempt);
        if let Some(u) = &mut self.quota.usage {
            u.teams[j.team as usize].add(&allocation.need);
        }
        debug!("start {task} try {attempt} on {machine}");
        m.queue_order(Order::Run { task, attempt });
        m.allocations.insert((task, attempt), allocation);
        m.idle_since = None;
    }
}
