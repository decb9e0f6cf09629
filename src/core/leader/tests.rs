//! Single situations, played against a leader with workers that answer at once.

mod pipelines;

use super::planner_view::deal;
use super::*;
use crate::config::sample_settings;
use crate::core::records::BITS;
use crate::ids::{LeaseId, Sequence, Session};
use crate::wire::JobSpec;
use serde_json::json;

struct Rig {
    leader: Leader,
    now: u64,
    workers: BTreeMap<String, Report>,
    /// Where answers and orders don't arrive.
    deaf: BTreeSet<String>,
    returned: BTreeSet<String>,
    /// Whose reports don't arrive anywhere.
    mute: BTreeSet<String>,
    /// The cloud carries out no returns.
    cloud_down: bool,
    /// Writes get no answer; they are kept here.
    unanswered: Option<Vec<Txn>>,
    committed: Vec<Txn>,
    /// What the state service holds.
    store: BTreeMap<String, (Value, u64)>,
    term: Term,
}

const TERM: Term = Term(100);

fn holder() -> LeaderRecord {
    LeaderRecord { node: "plinth-0".into(), incarnation: 1, lease: LeaseId(7) }
}

fn kinds() -> Vec<MachineType> {
    let t = |name: &str, gpus: f64| MachineType {
        name: name.into(),
        cpus: 8.0,
        gpus,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![t("plain", 0.0), t("gpu", 2.0)]
}

fn spec(id: &str, kind: Kind, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "any".into(),
        team: "team-b".into(),
        kind,
        priority: Priority::High,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: kind == Kind::Gang,
        spread: false,
        spot: false,
        estimate_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn record(i: usize) -> Row {
    let r = FleetRecord { endpoint: format!("w{i}"), kind: "plain".into(), zone: "a".into(), spot: false };
    Row { path: format!("fleet/m-{i:06}"), value: json!(r), revision: 1 }
}

impl Rig {
    /// A leader that has just taken office over machines that an earlier one has commissioned.
    fn new(machines: usize) -> Rig {
        let tuning = Tuning { gather_s: 30.0, idle_s: 600.0, ..Tuning::default() };
        let mut leader = Leader::new(sample_settings(), tuning, kinds(), TERM, holder(), Mono(0));
        leader.load(Mono(0), Stored { fleet: (0..machines).map(record).collect(), ..Stored::default() });
        let store = (0..machines).map(record).map(|r| (r.path, (r.value, r.revision))).collect();
        let workers = (0..machines).map(|i| (format!("w{i}"), Rig::fresh(i))).collect();
        Rig {
            leader,
            now: 0,
            workers,
            deaf: BTreeSet::new(),
            returned: BTreeSet::new(),
            mute: BTreeSet::new(),
            cloud_down: false,
            unanswered: None,
            store,
            term: TERM,
            committed: Vec::new(),
        }
    }

    fn fresh(i: usize) -> Report {
        Report {
            machine: format!("m-{i:06}"),
            endpoint: format!("w{i}"),
            kind: "plain".into(),
            zone: "a".into(),
            spot: false,
            session: Session(1),
            sequence: Sequence(0),
            token: FencingToken(0),
            notice_s: None,
            tasks: Vec::new(),
        }
    }

    fn submit(&mut self, revision: u64, s: JobSpec) -> JobId {
        self.submit_after(revision, s, &[])
    }

    /// A job that awaits others.
    fn submit_after(&mut self, revision: u64, s: JobSpec, awaits: &[JobId]) -> JobId {
        let awaits = awaits.to_vec();
        let id = JobId::parse(&s.id).unwrap();
        let record = json!(LiveRecord { at: Wall(self.now), spec: s, awaits });
        self.leader.on_live(&id, &record, Revision(revision));
        self.store.insert(live_key(&id), (record, revision));
        id
    }

    /// A user is told that the job is cancelled; the leader isn't, yet.
    fn cancel(&mut self, id: &JobId) {
        self.store.remove(&live_key(id));
    }

    /// How the state service says that a job has ended.
    fn ending(&self, id: &JobId) -> Option<Ending> {
        let (record, _) = self.store.get(&over_key(id))?;
        Some(serde_json::from_value::<OverRecord>(record.clone()).unwrap().ending())
    }

    fn commit(&mut self, txn: Txn) {
        for c in &txn.apply {
            match c {
                Change::Write { write, value, .. } => {
                    self.store.insert(write.clone(), (value.clone(), self.term.0 + 1));
                }
                Change::Drop { drop } => {
                    self.store.remove(drop);
                }
            }
        }
        self.committed.push(txn);
    }

    /// The leader ends, and another takes office.
    fn succeed(&mut self) {
        self.term.0 += 1_000_000;
        let rows = |prefix: &str| -> Vec<Row> {
            let of = self.store.iter().filter(|(k, _)| k.starts_with(prefix));
            of.map(|(k, v)| Row { path: k.clone(), value: v.0.clone(), revision: v.1 }).collect()
        };
        let stored = Stored { live: rows(LIVE), bits: rows(BITS), fleet: rows(FLEET), shares: None };
        self.leader = Leader::new(sample_settings(), Tuning::default(), kinds(), self.term, holder(), Mono(self.now));
        self.leader.load(Mono(self.now), stored);
    }

    fn execute(r: &mut Report, orders: &[Order]) {
        for o in orders {
            match o {
                Order::Run { task, attempt } => r.tasks.push(TaskReport {
                    task: Some(*task),
                    attempt: *attempt,
                    phase: TaskPhase::Running,
                    cause: None,
                    kept: None,
                }),
                Order::Stop { task, attempt, .. } => Rig::end(r, Some(*task), *attempt, Cause::Halted),
                Order::Clear { task, attempt } => r.tasks.retain(|l| l.task != Some(*task) || l.attempt != *attempt),
            }
        }
    }

    fn end(r: &mut Report, task: Option<TaskId>, attempt: Attempt, cause: Cause) {
        for l in r.tasks.iter_mut().filter(|l| l.task == task && l.attempt == attempt) {
            (l.phase, l.cause) = (TaskPhase::Exited, Some(cause));
        }
    }

    fn report(&mut self, name: &str) -> bool {
        let Some(r) = self.workers.get_mut(name) else { return false };
        r.sequence.0 += 1;
        let answer = self.leader.on_report(Mono(self.now), r);
        if let Some(a) = answer.as_ref().filter(|a| a.token >= r.token && !self.deaf.contains(name)) {
            r.token = a.token;
            Rig::execute(r, &a.orders);
        }
        answer.is_some()
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK.0;
            self.leader.tick(Mono(self.now), Wall(self.now));
            if self.now.is_multiple_of(500) {
                for name in self.workers.keys().cloned().collect::<Vec<_>>() {
                    if !self.mute.contains(&name) {
                        self.report(&name);
                    }
                }
            }
            for a in self.leader.take_actions() {
                let now = Mono(self.now);
                match a {
                    Action::Orders { ticket, endpoint, body } => {
                        let result = match self.workers.get_mut(&endpoint) {
                            Some(r) if !self.deaf.contains(&endpoint) => {
                                r.sequence.0 += 1;
                                if body.token < r.token || body.session != r.session {
                                    OrdersResult::Rejected(r.clone())
                                } else {
                                    r.token = body.token;
                                    Rig::execute(r, &body.orders);
                                    OrdersResult::Executed(r.clone())
                                }
                            }
                            _ => OrdersResult::Unknown,
                        };
                        self.leader.on_orders_result(now, ticket, result);
                    }
                    Action::Commit { ticket, txn } => match &mut self.unanswered {
                        Some(l) => {
                            l.push(txn);
                            self.leader.on_committed(now, ticket, CommitResult::Unknown);
                        }
                        None => {
                            self.commit(txn);
                            self.leader.on_committed(now, ticket, CommitResult::Done);
                        }
                    },
                    Action::Reguard(_) => {
                        let next = self.unanswered.is_none().then(|| Revision(self.leader.guard().0 + 1_000));
                        self.leader.on_reguarded(now, next);
                    }
                    Action::Rent(r) => self.leader.on_rented(now, &r.name, RentResult::NoCapacity),
                    Action::Return(ids) => {
                        self.returned.extend(ids.iter().map(|i| i.to_string()));
                        self.leader.on_returned(now, &ids, !self.cloud_down);
                    }
                    Action::LookUp(ids) => {
                        let endings: Vec<_> = ids.iter().filter_map(|id| Some((*id, self.ending(id)?))).collect();
                        self.leader.on_looked_up(now, &endings);
                    }
                    Action::Plan { .. } => {}
                }
            }
        }
    }

    /// The first task that a worker lists completes.
    fn finish_first_task(&mut self, name: &str) {
        let report = self.workers.get_mut(name).expect("a worker of the rig");
        let first = report.tasks[0].clone();
        Rig::end(report, first.task, first.attempt, Cause::Done);
    }

    /// The first worker that holds something.
    fn busy_worker(&self) -> String {
        let busy = self.workers.iter().find(|(_, report)| !report.tasks.is_empty());
        busy.map(|(name, _)| name.clone()).expect("some worker is busy")
    }

    fn runs(&self, id: &JobId) -> usize {
        let of = |l: &&TaskReport| l.phase == TaskPhase::Running && l.task.is_some_and(|t| t.job == *id);
        self.workers.values().flat_map(|r| &r.tasks).filter(of).count()
    }
}

#[test]
fn a_machine_that_answers_do_not_reach_holds_nothing_up_for_ever() {
    let mut rig = Rig::new(4);
    rig.cloud_down = true;
    rig.deaf.insert("w0".into());
    let old = rig.submit(50, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(9_000);
    assert_eq!(rig.runs(&old), 0, "w0 may still hold its tasks");
    assert!(rig.report("w0"), "it may be slow to confirm");
    rig.run(2_000);
    assert!(!rig.report("w0"), "unanswered, it ends its session");
    rig.run(12_000);
    assert_eq!(rig.runs(&old), 2, "its lease has proven it empty");
    assert!(rig.returned.contains("m-000000"), "and it goes back");
    assert!(rig.workers["w0"].tasks.is_empty(), "it got nothing more");
}

#[test]
fn a_new_session_of_a_deaf_machine_proves_its_tasks_gone() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2);
    rig.deaf.insert("w0".into());
    // Its lease has run out, as the answers didn't reach it.
    let w = rig.workers.get_mut("w0").unwrap();
    (w.session, w.sequence) = (Session(2), Sequence(0));
    w.tasks.clear();
    rig.report("w0");
    assert_eq!(rig.leader.jobs[&id].ready.len(), 1, "to be started anew");
}

#[test]
fn a_leader_whose_ticks_come_late_does_not_take_unread_reports_for_silence() {
    // A controller at a third of its speed returned 50 machines, whose reports waited for it.
    let mut rig = Rig::new(6);
    rig.run(2_000);
    for _ in 0..8 {
        rig.now += 950;
        rig.mute = rig.workers.keys().cloned().collect();
        rig.run(TICK.0);
    }
    assert!(rig.leader.lag() >= Span(250) && rig.returned.is_empty());
    // Reports arrive again but for one machine's; ticks come in time.
    rig.mute = BTreeSet::from(["w0".into()]);
    rig.run(2_500);
    assert!(rig.leader.lag() < Span(50));
    assert_eq!(rig.returned, BTreeSet::from(["m-000000".into()]));
}

#[test]
fn machines_of_a_peer_that_has_ended_get_time_to_find_another_controller() {
    // Two zones parted, and 82 machines whose reports had come by peers beyond the cut were returned.
    let mut rig = Rig::new(16);
    rig.run(2_000);
    let by_peer: BTreeSet<String> = ["w0", "w1", "w2", "w3"].map(String::from).into();
    for name in &by_peer {
        let report = rig.workers.get_mut(name).unwrap();
        report.sequence.0 += 1;
        assert!(rig.leader.on_report_by(Mono(rig.now), report, Route::by_peer(0)).is_some());
    }
    rig.mute = by_peer.clone();
    rig.run(9_000);
    assert!(rig.returned.is_empty(), "they look for another controller");
    rig.mute.clear();
    rig.run(1_000);
    // As many, each by a way that others report by as well, are rather dead.
    rig.mute = by_peer.clone();
    rig.run(9_000);
    assert_eq!(rig.returned.len(), 4);

    // Those that a new leader has never heard from tell nothing about a way: a lease is enough.
    let mut rig = Rig::new(16);
    rig.mute = by_peer;
    rig.run(13_000);
    assert_eq!(rig.returned.len(), 4);
}

#[test]
fn the_lease_of_a_session_counts_from_when_it_was_first_heard_of() {
    // A machine was back at once, its new session became known by the answer to an order, and no report
    // of that session arrived: its lease was counted from the last report of the session before, and its
    // task started a second time while the first still ran.
    let mut rig = Rig::new(2);
    rig.cloud_down = true;
    rig.run(2_000);
    rig.mute.insert("w0".into());
    rig.mute.insert("w1".into());
    rig.run(2_500);
    for name in ["w0", "w1"] {
        let worker = rig.workers.get_mut(name).unwrap();
        (worker.session, worker.sequence, worker.token) = (Session(2), Sequence(0), FencingToken::NONE);
    }
    let id = rig.submit(200, spec("req-000001", Kind::Array, 1, 8.0));
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 1, "ordered in the session that the first answer has told of");
    let holds = rig.busy_worker();
    rig.mute.retain(|name| *name == holds);
    rig.run(8_500);
    assert_eq!(rig.runs(&id), 1, "the session may go on");
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2, "it has ended by now, whatever the model still lists");
}

#[test]
fn a_copy_of_a_report_is_no_sign_of_life() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    let copy = rig.workers.remove("w0").unwrap();
    rig.cloud_down = true;
    let job = |rig: &Rig| rig.leader.jobs[&id].placed.len();
    for _ in 0..10 {
        rig.run(1_000);
        assert_eq!(rig.leader.on_report(Mono(rig.now), &copy), None);
    }
    assert_eq!(job(&rig), 2, "the lease may still run");
    rig.run(1_500);
    assert_eq!(job(&rig), 1, "silent past its lease, whatever copies came");
    // After the ledger has ended the session, a copy with a later sequence revives nothing either.
    let mut later = copy;
    later.sequence.0 += 100;
    assert_eq!(rig.leader.on_report(Mono(rig.now), &later), None);
    assert_eq!(job(&rig), 1);
}

#[test]
fn a_copy_does_not_bring_back_a_returned_machine_or_account_for_one() {
    let mut rig = Rig::new(2);
    let old = rig.submit(50, spec("req-000001", Kind::Array, 2, 1.0));
    // Of a machine that an earlier leader has returned: it has no record any more.
    let mut ghost = Rig::fresh(7);
    ghost.sequence = Sequence(9);
    let attempt = Attempt::new(Term(40), 1);
    let listed =
        TaskReport { task: TaskId::parse("req-000001/0"), attempt, phase: TaskPhase::Running, cause: None, kept: None };
    ghost.tasks.push(listed);
    assert_eq!(rig.leader.on_report(Mono(10), &ghost), None);
    assert!(rig.leader.jobs[&old].placed.is_empty());
    // A copy that reaches a new leader before the machine itself tells nothing of now.
    let mut copy = Rig::fresh(0);
    (copy.sequence, copy.token) = (Sequence(3), FencingToken::new(Term(40), 0));
    rig.workers.remove("w0");
    rig.leader.on_report(Mono(20), &copy);
    rig.run(5_000);
    assert_eq!(rig.runs(&old), 0, "a copy accounts for nothing");
    // An empty report of a ghost: nothing is ordered there until it has confirmed the token.
    rig.leader.on_report(Mono(rig.now), &Rig::fresh(8));
    ghost = Rig::fresh(8);
    ghost.sequence = Sequence(1);
    rig.leader.on_report(Mono(rig.now), &ghost);
    let id = MachineId::parse("m-000008").unwrap();
    rig.run(1_000);
    assert!(!rig.leader.machines[&id].usable(Mono(rig.now), Span(5_000)));
}

#[test]
fn the_largest_gang_begins_although_smaller_work_keeps_coming() {
    let mut rig = Rig::new(6);
    rig.run(2_000);
    let whole = |n: u32, tasks: u32| spec(&format!("req-{n:06}"), Kind::Gang, tasks, 8.0);
    for n in 1..=8 {
        rig.submit(200, whole(n, 1));
    }
    rig.run(1_000);
    let large = rig.submit(200, whole(100, 6));
    let mut began = None;
    for n in 0..60 {
        // Every 2 s another small gang comes, and the one that has run longest ends.
        rig.submit(200, whole(200 + n, 1));
        let oldest = rig.workers.values().flat_map(|r| &r.tasks).filter(|l| l.phase == TaskPhase::Running);
        if let Some((listed, attempt)) = oldest.min_by_key(|l| l.attempt).map(|l| (l.task, l.attempt)) {
            rig.workers.values_mut().for_each(|r| Rig::end(r, listed, attempt, Cause::Done));
        }
        rig.run(2_000);
        if rig.runs(&large) == 6 {
            began.get_or_insert(rig.now);
            break;
        }
    }
    assert!(began.is_some_and(|t| t < 60_000), "{began:?}");
}

#[test]
fn a_guarantee_goes_before_what_other_teams_run_beyond_theirs() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let beyond = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&beyond), 2);
    // team-a is guaranteed 8 CPUs: one whole machine, and no more.
    let within = rig.submit(200, JobSpec { team: "team-a".into(), ..spec("req-000002", Kind::Array, 1, 8.0) });
    let more = rig.submit(200, JobSpec { team: "team-a".into(), ..spec("req-000003", Kind::Array, 1, 8.0) });
    rig.run(2_000);
    assert_eq!((rig.runs(&within), rig.runs(&more), rig.runs(&beyond)), (1, 0, 1));
}

#[test]
fn a_replica_lost_late_is_as_urgent_as_a_first_one() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    let feed = |id: &str, kind: Kind| JobSpec {
        class: "feed".into(),
        priority: Priority::Prod,
        image_gb: 20.0,
        ..spec(id, kind, 1, 9.0)
    };
    let service = rig.submit(200, feed("req-000001", Kind::Service));
    let array = rig.submit(200, feed("req-000002", Kind::Array));
    let m = MachineId::parse("m-000000").unwrap();
    // The image takes 20 s to fetch, the aim of the class is 3 s, and both jobs are old.
    let old = JobView { age_s: 100.0, ..JobView::default() };
    assert!(rig.leader.starts_late(Mono(rig.now), &service, &m, Some(&old)), "better where its image is");
    assert!(!rig.leader.starts_late(Mono(rig.now), &array, &m, Some(&old)), "its aim is missed anyway");
}

#[test]
fn machines_that_are_coming_up_are_counted_on_once() {
    // Each of five planners took the same few booting machines for its own jobs, and too few were
    // rented: a fleet of 1,300 took 100 s to come up instead of 30.
    let kinds = [(8.0, 0.0), (16.0, 2.0)].map(|(cpus, gpus)| TypeView { cpus, gpus, ..Default::default() });
    let machine = |key: u32| MachineView { key, kind: key % 2, up: key < 10, ..Default::default() };
    let job = |key: u32, gpus: f64| JobView { key, ready: 10, tasks: 10, cpus: 1.0, gpus, ..Default::default() };
    let input = PlanInput {
        version: VERSION,
        types: kinds.to_vec(),
        machines: (0..40).map(machine).collect(),
        jobs: vec![job(0, 0.0), job(1, 2.0), job(2, 2.0), job(3, 0.0)],
        ..Default::default()
    };
    let parts = deal(&input, &[&[0, 1], &[2], &[3]]);
    let coming: Vec<u32> = parts.iter().flat_map(|p| &p.machines).filter(|m| !m.up).map(|m| m.key).collect();
    assert_eq!(coming.iter().collect::<BTreeSet<_>>().len(), 30, "each to one part");
    assert_eq!(coming.len(), 30);
    let of = |part: usize, kind: u32| parts[part].machines.iter().filter(|m| !m.up && m.kind == kind).count();
    assert!(of(0, 0).abs_diff(of(2, 0)) <= 1 && of(1, 0) == 0, "plain ones by what is wanted of them");
    assert!(of(0, 1).abs_diff(of(1, 1)) <= 1 && of(2, 1) == 0, "GPU machines to parts with GPU jobs");
    for p in &parts {
        assert_eq!(p.machines.iter().filter(|m| m.up).count(), 10, "all see what is up");
    }
    assert_ne!(parts[0].machines[0].key, parts[1].machines[0].key, "each in an order of its own");
}

#[test]
fn gpu_machines_are_lent_only_as_far_as_gpu_jobs_have_not_wanted_them() {
    // Plain work filled every GPU machine that came free and was cleared off it again: nearly half
    // of all starts were of tasks that had been stopped so.
    let mut l = Leader::new(sample_settings(), Tuning::default(), kinds(), Term(1), holder(), Mono(0));
    let gpu = l.types.iter().position(|t| t.gpus > 0.0).expect("there is a GPU kind");
    for i in 0..4 {
        let mut m = Machine::new(String::new(), gpu, 0, false, Mono(0));
        m.up = true;
        l.machines.insert(MachineId::parse(&format!("m-{i}")).unwrap(), m);
    }
    let lent = |l: &mut Leader, at: Mono, waiting: &BTreeSet<JobId>| {
        l.lend(at, waiting);
        l.lent.len()
    };
    assert_eq!(lent(&mut l, Mono(0), &BTreeSet::new()), 4, "nobody wants GPUs");
    let mut s = spec("req-000001", Kind::Gang, 3, 1.0);
    s.gpus = l.types[gpu].gpus;
    let id = JobId::parse(&s.id).unwrap();
    l.on_live(&id, &json!(LiveRecord { at: Wall(0), spec: s, awaits: Vec::new() }), Revision(1));
    let waiting = BTreeSet::from([id]);
    assert_eq!(lent(&mut l, Mono(100), &waiting), 1);
    assert_eq!(lent(&mut l, Mono(1_000), &BTreeSet::new()), 1, "not forgotten at once");
    assert_eq!(lent(&mut l, Mono(200_000), &BTreeSet::new()), 4);
}

#[test]
fn machines_on_their_way_to_a_new_leader_are_not_called_silent() {
    // Peers let a machine that the leader calls silent go on to the next controller. Called so 3 s
    // after a restart, most workers were sent past it and lost all they had.
    let mut rig = Rig::new(3);
    let names = |rig: &Rig| rig.leader.silent_machines(Mono(rig.now)).0;
    rig.workers.retain(|name, _| name == "w0");
    rig.run(5_000);
    assert_eq!(names(&rig), Vec::<String>::new());
    rig.workers.clear();
    rig.run(4_000);
    assert_eq!(names(&rig), ["m-000000"], "it was heard, and is no more");
}

#[test]
fn a_machine_that_is_to_go_back_is_still_told_to_stop() {
    // While the cloud carried out no returns, a machine that had been silent lived on by answers that
    // carried no orders, and with it a task that its user had cancelled.
    let mut rig = Rig::new(2);
    rig.cloud_down = true;
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 2);
    rig.mute.insert("w0".into());
    rig.run(6_500);
    rig.mute.clear();
    rig.run(1_000);
    assert!(rig.returned.contains("m-000000"), "given up, but the cloud doesn't say that it is gone");
    rig.leader.on_over(&id, Ending::Cancelled);
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 0);
}

#[test]
fn an_answer_carries_every_stop_whatever_else_is_under_way() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 2);
    // An order to the machine has left and isn't answered yet.
    rig.submit(201, spec("req-000002", Kind::Array, 1, 1.0));
    let mut ordered = false;
    for _ in 0..40 {
        rig.now += TICK.0;
        rig.leader.tick(Mono(rig.now), Wall(rig.now));
        ordered |= rig.leader.take_actions().iter().any(|a| matches!(a, Action::Orders { .. }));
    }
    assert!(ordered);
    rig.leader.on_over(&id, Ending::Cancelled);
    rig.report("w0");
    assert_eq!(rig.runs(&id), 0);
    // Lost with its answer, the stop is said again in the next.
    let stops = |a: &ReportAnswer| a.orders.iter().filter(|o| matches!(o, Order::Stop { .. })).count();
    let r = rig.workers.get_mut("w0").unwrap();
    for l in &mut r.tasks {
        (l.phase, l.cause) = (TaskPhase::Running, None);
    }
    r.sequence.0 += 1;
    assert_eq!(rig.leader.on_report(Mono(rig.now), r).as_ref().map(stops), Some(2));
    // Also in the answer to a report that other news has overtaken.
    r.sequence.0 += 5;
    rig.leader.machines.values_mut().for_each(|m| m.sequence = Sequence(r.sequence.0 + 1));
    assert_eq!(rig.leader.on_report(Mono(rig.now), r).as_ref().map(stops), Some(2));
}

#[test]
fn after_an_unanswered_write_the_key_is_written_anew_before_anything_else() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    rig.unanswered = Some(Vec::new());
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(1_000);
    rig.finish_first_task("w0");
    rig.run(4_000);
    let lost = rig.unanswered.take().unwrap();
    assert_eq!(lost.len(), 1, "nothing more is written while an older write may come late");
    let is_bits = |t: &Txn| matches!(&t.apply[0], Change::Write { write, .. } if write.starts_with(BITS));
    assert!(is_bits(&lost[0]));
    assert!(rig.workers["w0"].tasks.iter().any(TaskReport::is_done), "kept until it is durable");
    rig.committed.clear();
    rig.run(3_000);
    assert!(rig.committed.iter().any(is_bits));
    assert!(rig.committed.iter().all(|t| t.guards[0].revision > lost[0].guards[0].revision), "the older one is dead");
    assert!(!rig.workers["w0"].tasks.iter().any(TaskReport::is_done));
    assert_eq!(rig.runs(&id), 1);
}

#[test]
fn nothing_starts_while_users_may_have_been_told_otherwise() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    rig.leader.set_in_doubt(true);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 0);
    rig.leader.set_in_doubt(false);
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 2);
}

#[test]
fn a_team_at_its_limit_gets_nothing_more_while_a_machine_cannot_be_asked() {
    // team-a may use 40 CPUs; 32 are in use when the leader changes and one machine falls silent.
    let mut rig = Rig::new(6);
    rig.run(2_000);
    let team_a = |s: JobSpec| JobSpec { team: "team-a".into(), ..s };
    let full = rig.submit(200, team_a(spec("req-000001", Kind::Array, 4, 8.0)));
    rig.run(3_000);
    assert_eq!(rig.runs(&full), 4);
    let held = rig.busy_worker();
    rig.mute.insert(held.clone());
    rig.succeed();
    // Cancelled in that spell: what it held on the silent machine counts on.
    rig.cancel(&full);
    rig.leader.on_over(&full, Ending::Cancelled);
    let term = rig.term.0;
    let next = rig.submit(term + 1, team_a(spec("req-000002", Kind::Array, 5, 8.0)));
    rig.run(8_000);
    assert_eq!(rig.runs(&full), 1, "those that can be asked have stopped");
    assert!(rig.runs(&next) <= 4, "{} run beside one that may", rig.runs(&next));
    // Past its lease the silent machine is proven empty.
    rig.workers.get_mut(&held).unwrap().tasks.clear();
    rig.run(12_000);
    assert_eq!(rig.runs(&next), 5);
}

#[test]
fn a_report_held_back_until_a_new_leader_has_acted_proves_nothing() {
    let mut rig = Rig::new(3);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    // Sent before the machine got its task.
    let sent: BTreeMap<String, Report> = rig.workers.clone();
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2);
    let name = rig.busy_worker();
    let held = sent[&name].clone();
    rig.mute.insert(name.clone());
    rig.succeed();
    rig.run(1_000);
    // It arrives at the new leader before any other of its machine: an empty list, which isn't true.
    let mut late = held.clone();
    late.sequence.0 += 1;
    rig.leader.on_report(Mono(rig.now), &late);
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2, "nothing is started twice");
    let machine = MachineId::parse(&held.machine).unwrap();
    assert!(!rig.leader.machines[&machine].accounted);
    // And after newer ones.
    rig.mute.clear();
    rig.run(2_000);
    assert!(rig.leader.on_report(Mono(rig.now), &late).is_none());
    let old = Report { session: Session(0), sequence: Sequence(900), ..held };
    assert!(rig.leader.on_report(Mono(rig.now), &old).is_none(), "of an earlier session");
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 2);
}

#[test]
fn a_job_bound_to_one_zone_does_not_follow_its_tasks_to_another() {
    // Four machines in zone a, one in zone b with all the room.
    let mut rig = Rig::new(5);
    let far = FleetRecord { endpoint: "w4".into(), kind: "plain".into(), zone: "b".into(), spot: false };
    rig.store.insert("fleet/m-000004".into(), (json!(far), 1));
    rig.workers.get_mut("w4").unwrap().zone = "b".into();
    rig.succeed();
    rig.run(2_000);
    let term = rig.term.0;
    let array = JobSpec { one_zone: true, ..spec("req-000001", Kind::Array, 8, 4.0) };
    let id = rig.submit(term + 1, array);
    rig.run(4_000);
    let zones = |rig: &Rig| -> BTreeSet<String> {
        let runs = |r: &&Report| r.tasks.iter().any(|l| l.phase == TaskPhase::Running);
        rig.workers.values().filter(runs).map(|r| r.zone.clone()).collect()
    };
    assert_eq!(zones(&rig).len(), 1);
    // Its machines fall silent, all but one: what may still run there binds the rest.
    let lost: Vec<String> = rig.workers.iter().filter(|(_, r)| !r.tasks.is_empty()).map(|(n, _)| n.clone()).collect();
    rig.mute.extend(lost.iter().skip(1).cloned());
    rig.run(4_000);
    assert_eq!(zones(&rig).len(), 1);
    // The leader changes before anything is proven, and can ask none of them.
    rig.mute.extend(lost);
    rig.succeed();
    rig.run(4_000);
    assert_eq!(zones(&rig).len(), 1, "{} run", rig.runs(&id));
}

#[test]
fn what_is_done_stays_done_over_a_change_of_leader() {
    // Two tasks that end far apart, with a change of leader between.
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    rig.finish_first_task("w0");
    rig.run(4_000);
    assert!(rig.workers["w0"].tasks.is_empty(), "cleared, as it is durably done");
    rig.succeed();
    rig.run(4_000);
    let over = format!("over/{id}");
    assert!(rig.runs(&id) == 1 && rig.workers["w0"].tasks.is_empty(), "not started again");
    assert!(!rig.store.contains_key(&over));
    rig.finish_first_task("w1");
    rig.run(1_000);
    assert_eq!(rig.store[&over].0["phase"], "done");
    // An old list, from when the first task ran: a copy of a job that is over.
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 0);
}

#[test]
fn a_machine_that_reaches_no_controller_keeps_its_tasks_until_its_lease_is_over() {
    let mut rig = Rig::new(3);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    rig.cloud_down = true;
    let mute = rig.busy_worker();
    rig.mute.insert(mute.clone());
    rig.run(9_000);
    assert_eq!(rig.runs(&id), 2, "it may run on, so nothing is started anew");
    // Its session ends; direct orders still arrive, but they are of a session that is over.
    let r = rig.workers.get_mut(&mute).unwrap();
    (r.session, r.sequence) = (Session(2), Sequence(0));
    r.tasks.clear();
    rig.run(4_000);
    assert_eq!(rig.runs(&id), 2, "started on the machine that is left");
    assert!(rig.workers[&mute].tasks.is_empty());
}

#[test]
fn a_user_cancels_while_the_end_is_being_written() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 1, 1.0));
    rig.run(2_000);
    rig.unanswered = Some(Vec::new());
    rig.finish_first_task("w0");
    rig.run(1_000);
    // The job's own key guards the end, so that it can't be declared over a cancellation, however late.
    let end = &rig.unanswered.as_ref().unwrap()[0];
    let guard = end.guards.iter().find(|g| g.path == live_key(&id)).unwrap();
    assert_eq!(guard.revision, 200);
    rig.cancel(&id);
    rig.leader.on_over(&id, Ending::Cancelled);
    rig.unanswered = None;
    rig.run(3_000);
    assert!(rig.workers["w0"].tasks.is_empty(), "nothing is kept of it");
    assert!(!rig.store.contains_key(&format!("over/{id}")));
}

#[test]
fn machines_that_have_failed_are_not_avoided_for_good() {
    // A gang that had met two sick machines was held to be at fault for ever, and one array kept off the
    // only machines that fit it.
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 4, 4.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 4);
    for r in rig.workers.values_mut() {
        let first = r.tasks[0].clone();
        Rig::end(r, first.task, first.attempt, Cause::Done);
        for l in r.tasks.iter_mut().skip(1) {
            (l.phase, l.cause) = (TaskPhase::Exited, Some(Cause::Error));
        }
    }
    rig.run(5_000);
    assert_eq!(rig.runs(&id), 0, "avoided for a while");
    rig.run(70_000);
    assert_eq!(rig.runs(&id), 4 - rig.leader.jobs[&id].done_count as usize);
    let job = &rig.leader.jobs[&id];
    assert!(!job.at_fault(Mono(rig.now + 200_000)));
}
