//! A digest of what a leader of a fixed fleet puts out while a fixed mix of jobs comes, and its operation
//! counts: a change that is to keep the behaviour must keep both.

mod worker;

use self::worker::SimulatedWorker;
use super::*;
use crate::core::placement;
use crate::core::simulation::digest::Digest;
use crate::peer::PlanInput;

const MACHINES: usize = 300;
/// Those that an earlier leader has recorded; the others are new.
const RECORDED: usize = 290;
const SIMULATED_MS: u64 = 100_000;
const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
const BOOT_TIME_MS: u64 = 10_000;
/// The cloud's list of machines is read this often.
const LIST_INTERVAL_MS: u64 = 10_000;
/// A job comes this often, until [`LAST_JOB_MS`].
const JOB_INTERVAL_MS: u64 = 250;
const LAST_JOB_MS: u64 = 75_000;
/// From then on a few workers announce that their spot machines are reclaimed.
const FIRST_NOTICE_MS: u64 = 30_000;

/// How many effects of each kind were performed; some get unusual answers.
#[derive(Default)]
struct Given {
    orders: u64,
    commits: u64,
    provisions: u64,
    plans: u64,
}

struct FixedFleet {
    leader: Scheduler,
    now: u64,
    revision: u64,
    /// None: terminated, or gone after a notice.
    workers: Vec<Option<SimulatedWorker>>,
    services: BTreeSet<JobId>,
    outcomes: BTreeMap<JobId, JobOutcome>,
    given: Given,
    digest: Digest,
}

impl FixedFleet {
    fn new() -> FixedFleet {
        let tuning = Tuning { gang_reservation_wait_s: 4.0, idle_s: 30.0, ..Tuning::default() };
        let mut types = machine_types();
        types.push(MachineType { name: "large".into(), cpus: 64.0, price: 7.0, spot_price: 2.5, ..types[0].clone() });
        let mut leader = Scheduler::new(sample_settings(), tuning, types, TERM, leader_record(), MonotonicTime(0));
        let workers: Vec<SimulatedWorker> = (0..MACHINES).map(SimulatedWorker::of_first_fleet).collect();
        let machines = workers.iter().take(RECORDED).map(SimulatedWorker::record).collect();
        leader.load(MonotonicTime(0), StoredState { machines, ..StoredState::default() });
        FixedFleet {
            leader,
            now: 0,
            revision: TERM.0,
            workers: workers.into_iter().map(Some).collect(),
            services: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            given: Given::default(),
            digest: Digest::new(),
        }
    }

    /// The jobs come in turns of ten.
    fn job(number: u64) -> JobSpec {
        let id = format!("req-{number:06}");
        let usual = |kind: Kind, tasks: u32, cpus: f64| JobSpec {
            priority: Priority::Normal,
            image: format!("img-{}", number % 7),
            spot: kind != Kind::Service,
            ..spec(&id, kind, tasks, cpus)
        };
        let of_team_a = |spec: JobSpec| JobSpec { team: "team-a".into(), ..spec };
        match number % 10 {
            0 => {
                JobSpec { class: "feed".into(), priority: Priority::Prod, spread: true, ..usual(Kind::Service, 4, 2.0) }
            }
            1 => usual(Kind::Array, 60, 1.0),
            2 => JobSpec { checkpoint_s: 2.0, save_s: 0.5, ..usual(Kind::Gang, 6, 8.0) },
            3 => JobSpec { gpus: 1.0, deadline_s: Some(60.0), ..usual(Kind::Array, 12, 2.0) },
            4 => JobSpec { priority: Priority::Low, ..usual(Kind::Array, 150, 2.0) },
            5 => of_team_a(usual(Kind::Array, 10, 1.0)),
            6 => JobSpec { gpus: 2.0, priority: Priority::High, ..usual(Kind::Gang, 5, 4.0) },
            7 => JobSpec { types: Some(vec!["large".into()]), ..usual(Kind::Array, 8, 16.0) },
            8 => JobSpec { zone: Some("b".into()), ..usual(Kind::Array, 30, 4.0) },
            _ => JobSpec { priority: Priority::High, spot: false, ..usual(Kind::Gang, 3, 32.0) },
        }
    }

    /// Jobs depend on one or two of their turn, which end by themselves.
    fn dependency(number: u64) -> Vec<JobId> {
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
        if spec.kind == Kind::Service {
            self.services.insert(id);
        }
        self.revision += 1;
        let depends_on =
            FixedFleet::dependency(number).into_iter().filter(|id| !self.outcomes.contains_key(id)).collect();
        let record = json!(LiveRecord { submitted_at: WallTime(self.now), spec, depends_on });
        self.leader.on_job_accepted(&id, &record, Revision(self.revision));
    }

    /// The watch brings a cancellation; of each second one it doesn't say how the job has ended.
    fn cancel(&mut self, number: u64) {
        let id = JobId::parse(&format!("req-{number:06}")).unwrap();
        if self.outcomes.contains_key(&id) {
            return;
        }
        self.outcomes.insert(id, JobOutcome::Cancelled);
        let known = number.is_multiple_of(2);
        self.leader.on_job_terminated(&id, if known { JobOutcome::Cancelled } else { JobOutcome::Unknown });
    }

    fn users(&mut self) {
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

    /// Some spot machines get a notice, and are gone when it has run out.
    fn notices(&mut self) {
        for index in (0..MACHINES).step_by(35) {
            let gone_at = FIRST_NOTICE_MS + index as u64 * 100;
            match &mut self.workers[index] {
                Some(_) if self.now >= gone_at => self.workers[index] = None,
                Some(worker) if self.now + 6_000 >= gone_at => {
                    worker.heartbeat.notice_s = Some((gone_at - self.now) as f64 / 1_000.0);
                }
                _ => {}
            }
        }
    }

    fn heartbeats(&mut self) {
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
            let answer = response.ok();
            self.digest.answer(answer.as_ref());
            if let Some(answer) = answer {
                worker.execute_orders(now, answer.token, &answer.orders);
            }
        }
    }

    /// The cloud lists all machines, and one that no worker runs on.
    fn list(&mut self) {
        if !self.now.is_multiple_of(LIST_INTERVAL_MS) {
            return;
        }
        let listed = |heartbeat: &Heartbeat| ListedMachine {
            id: heartbeat.machine.clone(),
            endpoint: Some(heartbeat.endpoint.clone()),
            kind: heartbeat.kind.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            phase: ListPhase::Running,
            age_s: 60.0,
        };
        let never_heard = SimulatedWorker::new(900_000, "plain", "a", false, 0);
        let workers = self.workers.iter().flatten().chain([&never_heard]);
        let machines: Vec<ListedMachine> = workers.map(|worker| listed(&worker.heartbeat)).collect();
        self.leader.on_machine_list(MonotonicTime(self.now), &machines);
    }

    fn peers(&mut self) {
        if self.now.is_multiple_of(1_000) {
            ["plinth-1", "plinth-2"]
                .into_iter()
                .for_each(|peer| self.leader.mark_peer_responsive(MonotonicTime(self.now), peer));
        }
    }

    fn run(&mut self) {
        while self.now < SIMULATED_MS {
            self.now += TICK_INTERVAL.0;
            self.users();
            self.notices();
            self.peers();
            self.list();
            self.leader.tick(MonotonicTime(self.now), WallTime(self.now));
            self.heartbeats();
            let mut effects = self.leader.take_effects();
            while !effects.is_empty() {
                effects.into_iter().for_each(|effect| self.perform(effect));
                effects = self.leader.take_effects();
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        self.digest.effect(&effect);
        let now = MonotonicTime(self.now);
        match effect {
            Effect::Orders { request, endpoint, body } => {
                let result = self.execute(&endpoint, &body);
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
                let number = |id: &MachineId| id.0[2..].parse::<usize>().expect("a machine's number");
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
            Effect::Plan { node, input } => self.plan(&node, &input),
        }
    }

    /// Some orders get no answer, or are rejected.
    fn execute(&mut self, endpoint: &str, body: &DirectOrders) -> OrdersResult {
        self.given.orders += 1;
        let index: usize = endpoint.parse().expect("a worker's number");
        let Some(worker) = &mut self.workers[index] else { return OrdersResult::Unknown };
        match self.given.orders % 100 {
            50 => OrdersResult::Unknown,
            90 => OrdersResult::Rejected(worker.next_heartbeat()),
            _ => {
                worker.execute_orders(self.now, body.token, &body.orders);
                OrdersResult::Executed(worker.next_heartbeat())
            }
        }
    }

    /// Some transactions are refused; of others it isn't known whether they were carried out.
    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        self.given.commits += 1;
        self.revision += 1;
        let answer = match self.given.commits % 40 {
            10 => CommitOutcome::Unknown,
            30 => return CommitOutcome::Rejected,
            _ => CommitOutcome::Committed,
        };
        for change in &transaction.mutations {
            if let Mutation::Put { key: write, value, .. } = change
                && let Some(id) = write.strip_prefix(TERMINAL_PREFIX).and_then(JobId::parse)
            {
                let record: TerminalRecord = serde_json::from_value(value.clone()).expect("a terminal record");
                self.outcomes.entry(id).or_insert(record.outcome());
            }
        }
        answer
    }

    /// The cloud has no capacity left at first, and provisions at times.
    fn provision(&mut self, request: &ProvisionRequest) -> ProvisionOutcome {
        self.given.provisions += 1;
        match self.given.provisions % 4 {
            1 => ProvisionOutcome::NoCapacity,
            3 => ProvisionOutcome::Unknown,
            _ => ProvisionOutcome::Provisioned((0..request.number.min(3)).map(|_| self.add_worker(request)).collect()),
        }
    }

    fn add_worker(&mut self, request: &ProvisionRequest) -> String {
        let (index, up_at) = (self.workers.len(), self.now + BOOT_TIME_MS);
        let worker = SimulatedWorker::new(index, &request.kind, &request.zone, request.spot, up_at);
        let name = worker.heartbeat.machine.clone();
        self.workers.push(Some(worker));
        name
    }

    /// Peers plan at once, and at times not at all.
    fn plan(&mut self, node: &str, input: &PlanInput) {
        self.given.plans += 1;
        let plan = (!self.given.plans.is_multiple_of(13)).then(|| placement::plan(input));
        plan.iter().for_each(|plan| self.digest.peer_plan(plan));
        self.leader.on_plan(MonotonicTime(self.now), node, plan);
    }
}

#[test]
fn digest_and_operation_counts_of_a_fixed_fleet_are_unchanged() {
    let mut machines = FixedFleet::new();
    machines.run();
    let (work, counts) = (machines.leader.operation_counts(), machines.digest.counts());
    println!("digest={:#018x} counts={counts:?} {work}", machines.digest.value());
    println!("endings={} workers={}", machines.outcomes.len(), machines.workers.iter().flatten().count());
    let expected =
        OperationCounts { jobs: 44_083, machines: 718_359, tasks: 281_168, reservations: 642, comparisons: 83_142 };
    // In the order of `Digest::counts`.
    assert_eq!(counts, [3421, 281, 7, 89, 33, 32, 554, 512, 13242, 0]);
    assert_eq!(work, expected);
    assert_eq!(machines.digest.value(), 0x2274_5ee1_d7e3_b1b3);
}
