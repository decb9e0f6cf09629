//! Digest of the outputs of a leader whose initial machines and sequence of submitted jobs never vary, and the leader's
//! operation counts. A change that is meant to preserve the behavior must change neither the digest nor the counts.

mod worker;

use self::worker::SimulatedWorker;
use super::*;
use crate::core::placement;
use crate::core::simulation::digest::Digest;
use crate::peer::PlanInput;

/// Number of machines that exist at the start of the run.
const MACHINE_COUNT: usize = 300;
/// Number of initial machines that an earlier leader has registered. The others are unknown to the leader.
const REGISTERED_COUNT: usize = 290;
const SIMULATED_MS: u64 = 100_000;
const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
const BOOT_TIME_MS: u64 = 10_000;
/// Interval at which the leader gets the cloud's list of machines.
const LIST_INTERVAL_MS: u64 = 10_000;
/// Interval at which jobs are submitted, until [`LAST_JOB_MS`].
const JOB_INTERVAL_MS: u64 = 250;
const LAST_JOB_MS: u64 = 75_000;
/// Simulated time at which the first spot machine is reclaimed.
const FIRST_RECLAMATION_MS: u64 = 30_000;

/// Numbers of effects of each kind carried out so far. They decide which effects get an unusual result, such as a lost
/// response.
#[derive(Default)]
struct EffectCounts {
    orders: u64,
    commits: u64,
    provisions: u64,
    plans: u64,
}

/// A leader and the simulated workers, store, cloud, peers and users that it interacts with. Nothing in the simulation
/// is random.
struct FixedFleet {
    leader: Scheduler,
    now: u64,
    revision: u64,
    /// The workers, indexed by the number of their machine. An entry is `None` if the machine has been terminated or
    /// reclaimed.
    workers: Vec<Option<SimulatedWorker>>,
    services: BTreeSet<JobId>,
    outcomes: BTreeMap<JobId, JobOutcome>,
    effect_counts: EffectCounts,
    digest: Digest,
}

impl FixedFleet {
    fn new() -> FixedFleet {
        let tuning = Tuning { gang_reservation_wait_s: 4.0, idle_timeout_s: 30.0, ..Tuning::default() };
        let mut types = machine_types();
        types.push(MachineType { name: "large".into(), cpus: 64.0, price: 7.0, spot_price: 2.5, ..types[0].clone() });
        let mut leader = Scheduler::new(sample_settings(), tuning, types, TERM, leader_record(), MonotonicTime(0));
        let workers: Vec<SimulatedWorker> = (0..MACHINE_COUNT).map(SimulatedWorker::initial).collect();
        let machines = workers.iter().take(REGISTERED_COUNT).map(SimulatedWorker::machine_row).collect();
        leader.load(MonotonicTime(0), StoredState { machines, ..StoredState::default() });
        FixedFleet {
            leader,
            now: 0,
            revision: TERM.0,
            workers: workers.into_iter().map(Some).collect(),
            services: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            effect_counts: EffectCounts::default(),
            digest: Digest::new(),
        }
    }

    /// Returns the spec of the job with the given number. The specs repeat after ten jobs, except for the id and the
    /// image.
    fn job(number: u64) -> JobSpec {
        let id = format!("req-{number:06}");
        let basic = |kind: JobKind, tasks: u32, cpus: f64| JobSpec {
            priority: Priority::Normal,
            image: format!("img-{}", number % 7),
            allows_spot: kind != JobKind::Service,
            ..spec(&id, kind, tasks, cpus)
        };
        let of_team_a = |spec: JobSpec| JobSpec { team: "team-a".into(), ..spec };
        match number % 10 {
            0 => JobSpec {
                class: "feed".into(),
                priority: Priority::Prod,
                spread: true,
                ..basic(JobKind::Service, 4, 2.0)
            },
            1 => basic(JobKind::Array, 60, 1.0),
            2 => JobSpec { checkpoint_interval_s: 2.0, checkpoint_save_s: 0.5, ..basic(JobKind::Gang, 6, 8.0) },
            3 => JobSpec { gpus: 1.0, deadline_s: Some(60.0), ..basic(JobKind::Array, 12, 2.0) },
            4 => JobSpec { priority: Priority::Low, ..basic(JobKind::Array, 150, 2.0) },
            5 => of_team_a(basic(JobKind::Array, 10, 1.0)),
            6 => JobSpec { gpus: 2.0, priority: Priority::High, ..basic(JobKind::Gang, 5, 4.0) },
            7 => JobSpec { allowed_types: Some(vec!["large".into()]), ..basic(JobKind::Array, 8, 16.0) },
            8 => JobSpec { zone: Some("b".into()), ..basic(JobKind::Array, 30, 4.0) },
            _ => JobSpec { priority: Priority::High, allows_spot: false, ..basic(JobKind::Gang, 3, 32.0) },
        }
    }

    /// Returns the dependencies of the job with the given number: up to two earlier jobs of the same group of ten, but
    /// no services, as services never end.
    fn dependencies(number: u64) -> Vec<JobId> {
        let before = |distance: u64| JobId::parse(&format!("req-{:06}", number - distance)).unwrap();
        match number % 10 {
            4 => vec![before(3)],
            5 => vec![before(1), before(2)],
            8 => vec![before(3)],
            _ => Vec::new(),
        }
    }

    fn submit(&mut self, number: u64) {
        let spec = FixedFleet::job(number);
        let id = JobId::parse(&spec.id).unwrap();
        if spec.kind == JobKind::Service {
            self.services.insert(id);
        }
        self.revision += 1;
        let depends_on =
            FixedFleet::dependencies(number).into_iter().filter(|id| !self.outcomes.contains_key(id)).collect();
        let record = json!(LiveRecord { submitted_at: WallTime(self.now), spec, depends_on });
        self.leader.on_job_accepted(&id, &record, Revision(self.revision));
    }

    /// Cancels a job and reports its end to the leader. For jobs with odd numbers the report leaves the outcome
    /// unknown.
    fn cancel(&mut self, number: u64) {
        let id = JobId::parse(&format!("req-{number:06}")).unwrap();
        if self.outcomes.contains_key(&id) {
            return;
        }
        self.outcomes.insert(id, JobOutcome::Cancelled);
        let known = number.is_multiple_of(2);
        self.leader.on_job_terminated(&id, if known { JobOutcome::Cancelled } else { JobOutcome::Unknown });
    }

    fn step_users(&mut self) {
        if self.now > LAST_JOB_MS || !self.now.is_multiple_of(JOB_INTERVAL_MS) {
            return;
        }
        let number = self.now / JOB_INTERVAL_MS;
        self.submit(number);
        if number > 12 && number.is_multiple_of(6) {
            self.cancel(number - 5);
        }
        if number > 30 && number.is_multiple_of(11) {
            self.cancel(number - 30);
        }
    }

    /// Reclaims some spot machines, at staggered times. Each machine's heartbeats announce the reclamation from 6 s
    /// before it.
    fn reclaim_spot_machines(&mut self) {
        for index in (0..MACHINE_COUNT).step_by(35) {
            let reclaimed_at = FIRST_RECLAMATION_MS + index as u64 * 100;
            match &mut self.workers[index] {
                Some(_) if self.now >= reclaimed_at => self.workers[index] = None,
                Some(worker) if self.now + 6_000 >= reclaimed_at => {
                    worker.heartbeat.notice_s = Some((reclaimed_at - self.now) as f64 / 1_000.0);
                }
                _ => {}
            }
        }
    }

    /// Sends the heartbeats of all workers for which one is due. A third of the workers send theirs through a peer.
    fn send_heartbeats(&mut self) {
        let now = self.now;
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let Some(worker) = worker.as_mut().filter(|worker| worker.next_heartbeat_at <= now) else { continue };
            worker.step(now, &self.services);
            worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
            let heartbeat = worker.next_heartbeat();
            let response = match index % 3 {
                0 => self.leader.on_heartbeat_via(MonotonicTime(now), &heartbeat, HeartbeatRoute::via_peer(0)),
                _ => self.leader.on_heartbeat(MonotonicTime(now), &heartbeat),
            };
            let response = response.ok();
            self.digest.add_heartbeat_response(response.as_ref());
            if let Some(response) = response {
                worker.execute_orders(now, response.token, &response.orders);
            }
        }
    }

    /// Passes the cloud's list of machines to the leader. The list also contains a machine that never sends a
    /// heartbeat.
    fn send_machine_list(&mut self) {
        if !self.now.is_multiple_of(LIST_INTERVAL_MS) {
            return;
        }
        let listed = |heartbeat: &Heartbeat| ListedMachine {
            id: heartbeat.machine.clone(),
            endpoint: Some(heartbeat.endpoint.clone()),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            phase: MachinePhase::Running,
            age_s: 60.0,
        };
        let silent = SimulatedWorker::new(900_000, "plain", "a", false, 0);
        let workers = self.workers.iter().flatten().chain([&silent]);
        let machines: Vec<ListedMachine> = workers.map(|worker| listed(&worker.heartbeat)).collect();
        self.leader.on_machine_list(MonotonicTime(self.now), &machines);
    }

    fn mark_peers_responsive(&mut self) {
        if self.now.is_multiple_of(1_000) {
            ["plinth-1", "plinth-2"]
                .into_iter()
                .for_each(|peer| self.leader.mark_peer_responsive(MonotonicTime(self.now), peer));
        }
    }

    fn run(&mut self) {
        while self.now < SIMULATED_MS {
            self.now += TICK_INTERVAL.0;
            self.step_users();
            self.reclaim_spot_machines();
            self.mark_peers_responsive();
            self.send_machine_list();
            self.leader.tick(MonotonicTime(self.now), WallTime(self.now));
            self.send_heartbeats();
            let mut effects = self.leader.take_effects();
            while !effects.is_empty() {
                effects.into_iter().for_each(|effect| self.perform_effect(effect));
                effects = self.leader.take_effects();
            }
        }
    }

    fn perform_effect(&mut self, effect: Effect) {
        self.digest.add_effect(&effect);
        let now = MonotonicTime(self.now);
        match effect {
            Effect::Orders { request, endpoint, body } => {
                let result = self.execute_orders(&endpoint, &body);
                self.leader.on_orders_result(now, request, result);
            }
            Effect::Commit { request, transaction } => {
                let result = self.commit(&transaction);
                self.leader.on_committed(now, request, result);
            }
            Effect::RefreshFence(_) => {
                self.revision += 1;
                self.leader.on_fence_refreshed(now, Some(Revision(self.revision)));
            }
            Effect::Provision(request) => {
                let result = self.provision(&request);
                self.leader.on_provisioned(now, &request.name, result);
            }
            Effect::Terminate(ids) => {
                let number = |id: &MachineId| id.0[2..].parse::<usize>().expect("machine number");
                for id in &ids {
                    if let Some(worker) = self.workers.get_mut(number(id)) {
                        *worker = None;
                    }
                }
                self.leader.on_terminated(now, &ids, true);
            }
            Effect::LookUpOutcomes(ids) => {
                let outcomes: Vec<_> = ids.iter().filter_map(|id| Some((*id, *self.outcomes.get(id)?))).collect();
                self.leader.on_outcomes_looked_up(now, &outcomes);
            }
            Effect::Plan { node, input } => self.plan_as_peer(&node, &input),
        }
    }

    /// Lets a worker execute the leader's orders. Some orders get no response and some are rejected; a worker executes
    /// neither.
    fn execute_orders(&mut self, endpoint: &str, body: &DirectOrders) -> OrdersResult {
        self.effect_counts.orders += 1;
        let index: usize = endpoint.parse().expect("worker number");
        let Some(worker) = &mut self.workers[index] else { return OrdersResult::Unknown };
        match self.effect_counts.orders % 100 {
            50 => OrdersResult::Unknown,
            90 => OrdersResult::Rejected(worker.next_heartbeat()),
            _ => {
                worker.execute_orders(self.now, body.token, &body.orders);
                OrdersResult::Executed(worker.next_heartbeat())
            }
        }
    }

    /// Applies a transaction. Some transactions are rejected instead, and some are applied but get no response.
    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        self.effect_counts.commits += 1;
        self.revision += 1;
        let outcome = match self.effect_counts.commits % 40 {
            10 => CommitOutcome::Unknown,
            30 => return CommitOutcome::Rejected,
            _ => CommitOutcome::Committed(Revision(self.revision)),
        };
        for mutation in &transaction.mutations {
            if let Mutation::Put { key: written_key, value, .. } = mutation
                && let Some(id) = written_key.strip_prefix(TERMINAL_PREFIX).and_then(JobId::parse)
            {
                let record: TerminalRecord = serde_json::from_value(value.clone()).expect("terminal record");
                self.outcomes.entry(id).or_insert(record.outcome());
            }
        }
        outcome
    }

    /// Provisions machines. Of every four requests, one finds no capacity and one gets no response.
    fn provision(&mut self, request: &ProvisionRequest) -> ProvisionOutcome {
        self.effect_counts.provisions += 1;
        match self.effect_counts.provisions % 4 {
            1 => ProvisionOutcome::NoCapacity,
            3 => ProvisionOutcome::Unknown,
            _ => ProvisionOutcome::Provisioned((0..request.count.min(3)).map(|_| self.add_worker(request)).collect()),
        }
    }

    fn add_worker(&mut self, request: &ProvisionRequest) -> String {
        let (index, boots_at) = (self.workers.len(), self.now + BOOT_TIME_MS);
        let worker = SimulatedWorker::new(index, &request.machine_type, &request.zone, request.spot, boots_at);
        let name = worker.heartbeat.machine.clone();
        self.workers.push(Some(worker));
        name
    }

    /// Computes the plan that the leader has requested from a peer. The leader gets the plan without delay; some
    /// requests fail.
    fn plan_as_peer(&mut self, node: &str, input: &PlanInput) {
        self.effect_counts.plans += 1;
        let plan = (!self.effect_counts.plans.is_multiple_of(13)).then(|| placement::plan(input));
        plan.iter().for_each(|plan| self.digest.add_peer_plan(plan));
        self.leader.on_plan(MonotonicTime(self.now), node, plan);
    }
}

#[test]
fn digest_and_operation_counts_of_a_fixed_fleet_are_unchanged() {
    let mut fleet = FixedFleet::new();
    fleet.run();
    let (operations, counts) = (fleet.leader.operation_counts(), fleet.digest.counts());
    println!("digest={:#018x} counts={counts:?} {operations}", fleet.digest.value());
    println!("ended_jobs={} workers={}", fleet.outcomes.len(), fleet.workers.iter().flatten().count());
    let expected_operations =
        OperationCounts { jobs: 46_206, machines: 718_615, tasks: 353_068, reservations: 1_426, comparisons: 103_684 };
    // Expected numbers of outputs of each kind, in the order of `Digest::counts`.
    assert_eq!(counts, [3197, 295, 9, 72, 30, 32, 542, 501, 13277, 0]);
    assert_eq!(operations, expected_operations);
    assert_eq!(fleet.digest.value(), 0xd279_9d0a_2574_cd41);
}
