//! What planners are told of a round: the machines with room, the jobs that wait and what may be rented, and
//! how this is dealt out among several planners.

use super::*;
use crate::config::next_slo_deadline;
use crate::core::jobs::priority_number;
use crate::core::machine::{Registration, Resources};
use crate::core::provisioning::InstancePool;
use crate::peer::{ImageView, JobView, MachineView, PlanInput, ProvisionOffer, TypeView, VERSION, ZoneCount};
use crate::wire::{JobSpec, Kind, Priority};

/// Planners are told the ages of machines in steps of this.
const AGE_GRANULARITY_S: f64 = 30.0;
/// Seconds until a machine that has come up gets its first order.
const REGISTRATION_DELAY_S: f64 = 0.3;
/// A machine that should be up by now may take this many seconds more.
const MIN_REMAINING_BOOT_S: f64 = 3.0;
/// Work that is not urgent causes rentals only if the fleet needs longer than this for all that waits.
const SCALE_OUT_BACKLOG_S: f64 = 8.0;
/// Most machines that one offer stands for.
const MAX_INSTANCES_PER_OFFER: u32 = 50;

/// A planner's input, and what its keys stand for.
pub(super) struct PlannerView {
    pub input: PlanInput,
    pub jobs: Vec<PlannedJob>,
    /// None: a machine that has been asked for and has no name yet.
    pub machines: Vec<Option<MachineId>>,
}

/// What a job's key stands for.
pub(super) struct PlannedJob {
    pub id: JobId,
    /// Only those tasks of the job whose spot machines were taken.
    pub reclaimed: bool,
}

/// The machines of a view, as they are gathered.
#[derive(Default)]
struct MachineViews {
    views: Vec<MachineView>,
    ids: Vec<Option<MachineId>>,
    /// Processors of all machines that may get tasks now, with room or without.
    cpus_up: f64,
}

impl MachineViews {
    fn push(&mut self, id: Option<MachineId>, view: MachineView) {
        self.views.push(MachineView { key: self.ids.len() as u32, ..view });
        self.ids.push(id);
    }
}

/// What holds for all jobs of a view.
struct JobContext<'a> {
    now: MonotonicTime,
    wall: WallTime,
    waiting: &'a BTreeSet<JobId>,
    /// The keys of the view's machines.
    keys: &'a HashMap<&'a MachineId, u32>,
    /// Seconds that the fleet needs for all that waits.
    drain_s: f64,
}

/// How many tasks of a job a view offers.
struct ReadyTasks {
    all: u32,
    /// Those of them whose spot machines were taken.
    reclaimed: u32,
}

impl Scheduler {
    /// The fleet and the ready tasks as the planner sees them, with what its keys stand for.
    pub(super) fn planner_view(&mut self, now: MonotonicTime, wall: WallTime) -> PlannerView {
        self.cost.add_jobs(self.jobs.live.len());
        self.cost.add_machines(self.machines.known.len());
        self.quota.invalidate_usage();
        self.update_unreconciled();
        let waits = |j: &Job| j.startable_tasks() > 0 && j.pause_until <= now && !j.finishing && !self.held_back(j);
        let waiting: BTreeSet<JobId> = self.jobs.live.iter().filter(|(_, j)| waits(j)).map(|(id, _)| *id).collect();
        self.update_lendable_gpu_machines(now, &waiting);
        let mut machines = self.machine_views(now, self.smallest_demand(&waiting));
        self.add_requested(&mut machines);
        let offers = self.offers(now);
        self.quota.update_guaranteed_jobs(&self.jobs.live);
        let teams = self.quota.headrooms(&self.machines.known, &self.catalog.types);
        let named = machines.ids.iter().enumerate().filter_map(|(key, id)| Some((id.as_ref()?, key as u32)));
        let keys: HashMap<&MachineId, u32> = named.collect();
        let context = JobContext { now, wall, waiting: &waiting, keys: &keys, drain_s: self.drain_s(machines.cpus_up) };
        let (job_views, jobs) = self.job_views(&context);
        // Batches widen with the load.
        let wanted: u32 = job_views.iter().map(|j| j.ready).sum();
        let batch = (wanted / 4).clamp(self.tuning.batch_min as u32, self.tuning.batch_max as u32);
        let input = PlanInput {
            version: VERSION,
            term: self.term.0,
            round: self.rounds.count,
            types: self.catalog.types.iter().map(type_view).collect(),
            machines: machines.views,
            jobs: job_views,
            teams,
            offers,
            batch,
            budget_share: self.tuning.budget_share,
            spot_mu: self.spot_lives.mu,
            spot_sigma: self.spot_lives.sigma,
        };
        PlannerView { input, jobs, machines: machines.ids }
    }

    /// Notes where machines are left whose tasks aren't known.
    fn update_unreconciled(&mut self) {
        if !self.machines.unreconciled.is_empty() {
            let machines = self.machines.known.values().filter(|m| !m.reconciled);
            self.machines.unreconciled = machines.map(Machine::pool).collect();
        }
    }

    /// The least that any waiting task needs of a machine.
    fn smallest_demand(&self, waiting: &BTreeSet<JobId>) -> Option<Resources> {
        let needs = waiting.iter().filter_map(|id| self.jobs.live.get(id)).map(|j| Resources::of_task(&j.spec));
        needs.reduce(|least, need| Resources {
            cpus: least.cpus.min(need.cpus),
            gpus: least.gpus.min(need.gpus),
            memory_gb: least.memory_gb.min(need.memory_gb),
        })
    }

    /// The machines that are up or coming, as far as they have room for the least that anyone needs.
    fn machine_views(&self, now: MonotonicTime, least: Option<Resources>) -> MachineViews {
        let heartbeat_timeout = self.heartbeat_timeout();
        let mut all = MachineViews::default();
        for (id, m) in &self.machines.known {
            let t = &self.catalog.types[m.kind];
            let usable = m.usable(now, heartbeat_timeout);
            let booting = !m.up && !m.retiring && m.registration == Registration::Unregistered;
            let settling = m.up && !m.retiring && m.reconciled && m.registration != Registration::Registered;
            if !usable && !booting && !settling {
                continue;
            }
            if usable {
                all.cpus_up += t.cpus;
            }
            let free = self.unreserved_capacity(id, m, None);
            if least.is_none_or(|least| !free.covers(&least)) {
                continue;
            }
            let age_s = (now - m.since).as_secs_f64();
            let ready_s = match (usable, settling) {
                (true, _) => 0.0,
                (false, true) => REGISTRATION_DELAY_S,
                (false, false) => (t.boot_s - age_s).max(MIN_REMAINING_BOOT_S),
            };
            let view = self.machine_view(now, id, m, &free);
            all.push(Some(id.clone()), MachineView { up: usable, ready_s, ..view });
        }
        all
    }

    fn machine_view(&self, now: MonotonicTime, id: &MachineId, m: &Machine, free: &Resources) -> MachineView {
        let machine_type = &self.catalog.types[m.kind];
        let urgent_headroom = self.gpus.urgent_headroom(m, machine_type);
        let rest = self.gpus.preemptible_headroom(m, machine_type, !m.up || self.gpus.is_lendable(id));
        let age_s = (now - m.since).as_secs_f64();
        let image = |(image, _): &(u32, f64)| ImageView {
            image: *image,
            ready_s: m.image_ready_in_s(*image, now).unwrap_or(0.0),
        };
        MachineView {
            kind: m.kind as u32,
            zone: m.zone,
            spot: m.spot,
            age_s: (age_s / AGE_GRANULARITY_S).floor() * AGE_GRANULARITY_S,
            free_cpus: free.cpus,
            free_gpus: free.gpus,
            free_memory_gb: free.memory_gb,
            images: m.images.iter().map(image).collect(),
            // Coarse, so that places which hardly differ compare as equal.
            slowness: (m.slowness * 4.0).round().max(1.0) / 4.0,
            urgent_cpus: urgent_headroom.cpus,
            urgent_memory_gb: urgent_headroom.memory_gb,
            preemptible_cpus: rest.cpus,
            preemptible_memory_gb: rest.memory_gb,
            ..Default::default()
        }
    }

    /// Machines that the cloud has been asked for.
    fn add_requested(&self, all: &mut MachineViews) {
        for r in self.provisioner.requests.values() {
            let t = &self.catalog.types[r.pool.kind];
            let view = MachineView {
                kind: r.pool.kind as u32,
                zone: r.pool.zone,
                spot: r.pool.spot,
                ready_s: t.boot_s,
                free_cpus: t.cpus,
                free_gpus: t.gpus,
                free_memory_gb: t.memory_gb,
                preemptible_cpus: t.cpus,
                preemptible_memory_gb: t.memory_gb,
                slowness: 1.0,
                ..Default::default()
            };
            for _ in 0..r.number {
                all.push(None, view.clone());
            }
        }
    }

    /// Seconds that so many processors need for all that waits.
    fn drain_s(&self, cpus_up: f64) -> f64 {
        let work = |j: &Job| {
            j.startable_tasks() as f64 * j.spec.cpus * self.jobs.class_times.expect(&j.spec.class, j.spec.estimate_s)
        };
        let backlog: f64 = self.jobs.live.values().map(work).sum();
        if cpus_up > 0.0 { backlog / cpus_up } else { f64::INFINITY }
    }

    /// The jobs that wait. Tasks whose spot machines were taken are a row of their own, as they may not
    /// cause spot rentals.
    fn job_views(&mut self, context: &JobContext) -> (Vec<JobView>, Vec<PlannedJob>) {
        let mut views: Vec<JobView> = Vec::new();
        let mut planned = Vec::new();
        let mut push = |id: JobId, view: JobView, reclaimed: bool| {
            views.push(JobView { key: planned.len() as u32, ..view });
            planned.push(PlannedJob { id, reclaimed });
        };
        for id in context.waiting {
            let Some(job) = self.jobs.live.get(id) else { continue };
            let Some(ready) = self.ready_tasks(id, job) else { continue };
            let next = self.catalog.images.len() as u32;
            let image = *self.catalog.images.entry(job.spec.image.clone()).or_insert(next);
            let base = JobView { image, ..self.job_view(context, id, job) };
            if base.gang || ready.reclaimed == 0 || ready.reclaimed == ready.all {
                let new_spot = base.new_spot && ready.reclaimed == 0;
                push(*id, JobView { ready: ready.all, new_spot, ..base }, ready.reclaimed > 0);
            } else {
                push(*id, JobView { ready: ready.all - ready.reclaimed, ..base.clone() }, false);
                push(*id, JobView { ready: ready.reclaimed, new_spot: false, ..base }, true);
            }
        }
        (views, planned)
    }

    /// The tasks of a job that may be placed now; none: none may.
    fn ready_tasks(&self, id: &JobId, job: &Job) -> Option<ReadyTasks> {
        let gang = job.spec.kind == Kind::Gang;
        if gang && (job.gang.is_some() || !job.placed.is_empty()) {
            return None;
        }
        let reserved = self.reservations.count_of(id) as u32;
        let all = (job.ready.len() as u32).saturating_sub(reserved);
        if all == 0 || gang && reserved > 0 {
            return None;
        }
        let reclaimed = job.reclaimed.iter().filter(|i| job.ready.contains(i)).count() as u32;
        Some(ReadyTasks { all, reclaimed: reclaimed.min(all) })
    }

    fn job_view(&self, context: &JobContext, id: &JobId, job: &Job) -> JobView {
        let spec = &job.spec;
        let service = spec.kind == Kind::Service;
        let guaranteed = self.quota.is_within_guarantee(id);
        let ages = job.ages(context.wall);
        let age_s = ages.startable_s;
        let run_s = match service {
            true => self.tuning.service_horizon_s,
            false => self.jobs.class_times.expect(&spec.class, spec.estimate_s).max(0.1),
        };
        // An aim on starting that can still be met is a deadline too.
        let aim = self.settings.start_slo_s(&spec.class, guaranteed);
        let aim = aim.filter(|aim| *aim > age_s).map(|aim| aim - age_s + run_s);
        let mut slo_deadlines = self.settings.slo_deadlines(&spec.class, spec.deadline_s, ages, run_s);
        slo_deadlines.extend(job.inherited.iter().flat_map(|inherited| &inherited.slo_deadlines));
        let next_slo = next_slo_deadline(slo_deadlines, run_s);
        let due_s = spec.deadline_s.map(|due_s| due_s - ages.submitted_s);
        let inherited_due_s = job.inherited.as_ref().and_then(|inherited| inherited.due_s);
        let at_fault = job.at_fault(context.now);
        JobView {
            team: job.team,
            priority: priority_number(job.priority()),
            gang: spec.kind == Kind::Gang,
            tasks: spec.tasks,
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            image_gb: spec.image_gb,
            types: self.allowed_types(spec),
            zone: spec.zone.as_ref().map(|zone| self.zone_number(zone)),
            one_zone: spec.one_zone,
            spread: spec.spread,
            spot: spec.spot,
            new_spot: spec.spot && !job.no_new_spot,
            run_s,
            due_s: due_s.into_iter().chain(aim).chain(inherited_due_s).reduce(f64::min),
            slo_deadline_s: next_slo.deadline_s,
            dependents_s: job.inherited.as_ref().map_or(0.0, |inherited| inherited.rank_s),
            missed_slos: if service { 0 } else { next_slo.missed },
            service,
            age_s,
            overspent: job.overspent,
            placed: zone_counts(job, &self.machines.known),
            avoid: if at_fault { Vec::new() } else { avoided(job, context) },
            guaranteed,
            may_scale_out: !at_fault && (job.priority() <= Priority::High || context.drain_s > SCALE_OUT_BACKLOG_S),
            ..Default::default()
        }
    }

    /// The numbers of the types that a job names; one that no type has stands for none that is known.
    fn allowed_types(&self, spec: &JobSpec) -> Vec<u32> {
        let Some(names) = &spec.types else { return Vec::new() };
        let number = |name: &String| self.catalog.types.iter().position(|t| t.name == *name).map(|i| i as u32);
        let known: Vec<u32> = names.iter().filter_map(number).collect();
        if known.is_empty() { vec![u32::MAX] } else { known }
    }

    /// A zone's number; one that no zone has if it isn't known.
    fn zone_number(&self, zone: &String) -> u32 {
        self.catalog.zones.iter().position(|known| known == zone).map_or(u32::MAX, |i| i as u32)
    }

    fn offers(&self, now: MonotonicTime) -> Vec<ProvisionOffer> {
        let mut offers = Vec::new();
        for (kind, t) in self.catalog.types.iter().enumerate() {
            for zone in t.zones.iter().filter_map(|z| self.catalog.zones.iter().position(|o| o == z)) {
                for spot in [false, true] {
                    let pool = InstancePool { kind, zone: zone as u32, spot };
                    let asked = self.provisioner.requests.values().any(|r| r.pool == pool);
                    if self.provisioner.open(pool, now) && !asked && self.provisioner.has_capacity() {
                        offers.push(ProvisionOffer {
                            kind: kind as u32,
                            zone: zone as u32,
                            spot,
                            most: MAX_INSTANCES_PER_OFFER,
                        });
                    }
                }
            }
        }
        offers
    }
}

/// The keys of the machines on which a job's tasks have failed lately.
fn avoided(job: &Job, context: &JobContext) -> Vec<u32> {
    if job.error_machines.is_empty() {
        return Vec::new();
    }
    let failed = job.error_machines.keys().filter(|id| job.avoids(id, context.now));
    let mut keys: Vec<u32> = failed.filter_map(|id| context.keys.get(id).copied()).collect();
    keys.sort_unstable();
    keys
}

/// The parts of a round's view that concern some of its jobs each. All parts see the machines that
/// are up, each in an order of its own, so that where several are as good the parts choose different
/// ones. Machines that aren't up are dealt out by what the parts want: counted on by all of them, a
/// few booting machines looked like enough for everyone, and too few were rented.
pub(super) fn partition_view(input: &PlanInput, parts: &[&[u32]]) -> Vec<PlanInput> {
    let jobs_of =
        |keys: &[u32]| -> Vec<JobView> { keys.iter().filter_map(|k| input.jobs.get(*k as usize)).cloned().collect() };
    let mut partitions: Vec<PlanInput> =
        parts.iter().map(|keys| PlanInput { jobs: jobs_of(keys), ..Default::default() }).collect();
    // What each part wants of machines without GPUs and of those with.
    let wants = |gpus: bool| -> Vec<f64> {
        let want = |j: &JobView| f64::from(j.ready) * if gpus { j.gpus } else { j.cpus };
        partitions.iter().map(|p| p.jobs.iter().filter(|j| gpus == (j.gpus > 0.0)).map(want).sum()).collect()
    };
    let wants = [wants(false), wants(true)];
    let mut given = [vec![1.0; parts.len()], vec![1.0; parts.len()]];
    let (up, coming): (Vec<&MachineView>, Vec<&MachineView>) = input.machines.iter().partition(|m| m.up);
    for (n, p) in partitions.iter_mut().enumerate() {
        let first = up.len() * n / parts.len().max(1);
        p.machines.extend(up[first..].iter().chain(&up[..first]).map(|m| (*m).clone()));
        p.teams = input.teams.iter().filter(|t| p.jobs.iter().any(|j| j.team == t.team)).cloned().collect();
    }
    for m in coming {
        let gpus = input.types.get(m.kind as usize).is_some_and(|t| t.gpus > 0.0);
        let kind = usize::from(gpus && wants[1].iter().any(|w| *w > 0.0));
        let ratio = |n: &usize| wants[kind][*n] / given[kind][*n];
        if let Some(n) = (0..parts.len()).max_by(|a, b| ratio(a).total_cmp(&ratio(b))) {
            given[kind][n] += 1.0;
            partitions[n].machines.push(m.clone());
        }
    }
    for p in &mut partitions {
        (p.version, p.term, p.round, p.batch) = (input.version, input.term, input.round, input.batch);
        (p.budget_share, p.spot_mu, p.spot_sigma) = (input.budget_share, input.spot_mu, input.spot_sigma);
        p.types.clone_from(&input.types);
        p.offers.clone_from(&input.offers);
    }
    partitions
}

fn type_view(t: &MachineType) -> TypeView {
    TypeView {
        cpus: t.cpus,
        gpus: t.gpus,
        memory_gb: t.memory_gb,
        fetch_gb_per_s: t.fetch_gb_per_s,
        price: t.price,
        spot_price: t.spot_price,
        boot_s: t.boot_s,
    }
}

/// How many of a job's tasks are possibly in each zone.
pub(super) fn zone_counts(j: &Job, machines: &BTreeMap<MachineId, Machine>) -> Vec<ZoneCount> {
    if !j.spec.spread && !j.spec.one_zone {
        return Vec::new();
    }
    let mut zones: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, m, _) in j.places() {
        if let Some(m) = machines.get(m) {
            *zones.entry(m.zone).or_default() += 1;
        }
    }
    zones.into_iter().map(|(zone, count)| ZoneCount { zone, count }).collect()
}
