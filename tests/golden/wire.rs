//! The JSON of users, workers, cloud and key-value store.

use crate::samples::Samples;
use crate::values::{full_job, job_id, job_named, machine_type, sparse_job, task};
use serde_json::json;
use wallstile::core::submissions::{ParsedSubmission, Submission, parse_submission};
use wallstile::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber};
use wallstile::net::user_api::Reply;
use wallstile::wire::{
    Cause, DirectOrders, Heartbeat, HeartbeatResponse, JobPhase, JobStatus, KeyValue, Kind, ListPhase, ListedMachine,
    MachineList, MachineNames, MachineType, MachineTypes, Mutation, Order, Precondition, Priority, ProvisionRequest,
    RangeResponse, TaskPhase, TaskStatus, Transaction, WatchEvent, WatchResponse,
};

#[test]
fn enum_names_are_the_samples() {
    let samples = Samples::wire();
    samples.assert_both_ways("kinds", &[Kind::Array, Kind::Gang, Kind::Service]);
    samples.assert_both_ways("priorities", &[Priority::Prod, Priority::High, Priority::Normal, Priority::Low]);
    let phases = [JobPhase::Queued, JobPhase::Running, JobPhase::Done, JobPhase::Aborted];
    samples.assert_both_ways("job_phases", &phases);
    let phases = [TaskPhase::Pulling, TaskPhase::Waiting, TaskPhase::Running, TaskPhase::Flushing, TaskPhase::Exited];
    samples.assert_both_ways("task_phases", &phases);
    samples.assert_both_ways("list_phases", &[ListPhase::Starting, ListPhase::Running, ListPhase::Failed]);
    let causes = [
        Cause::Done,
        Cause::Halted,
        Cause::MatesGone,
        Cause::Alone,
        Cause::Error,
        Cause::NoRoom,
        Cause::InUse,
        Cause::Unknown,
        Cause::Other,
    ];
    samples.assert_both_ways("causes", &causes);
}

#[test]
fn cause_of_a_later_version_is_read() {
    let causes: Vec<Cause> = Samples::wire().read("causes_of_a_later_version");
    assert_eq!(causes, [Cause::Other]);
}

// ---- users

#[test]
fn jobs_are_the_samples() {
    Samples::wire().assert_both_ways("job", &full_job());
    Samples::wire().assert_both_ways("job_sparse", &sparse_job());
}

#[test]
fn submissions_are_read() {
    let first = job_named("req-000007");
    let second = job_named("req-000008");
    for (name, spec, depends_on) in
        [("submission", full_job(), vec![first, second]), ("submission_sparse", sparse_job(), vec![])]
    {
        let read = parse_submission(Samples::wire().text(name).as_bytes());
        assert_eq!(
            read,
            Ok(ParsedSubmission { id: job_id(), submission: Ok(Submission { spec, depends_on }) }),
            "{name}"
        );
    }
}

#[test]
fn responses_to_users_are_the_samples() {
    let answer = |done, running| json!(JobStatus { id: "req-000412", phase: JobPhase::Running, done, running });
    let samples = Samples::wire();
    samples.assert_text("job_answer", &answer(Some(5), Some(9)).to_string());
    samples.assert_text("job_answer_sparse", &answer(None, None).to_string());
    let refusal = Reply::error(404, "no such job");
    assert_eq!((refusal.status, refusal.retry_after), (404, None));
    samples.assert_text("error_answer", &refusal.body);
    let later = Reply::unavailable("come back");
    assert_eq!((later.status, later.retry_after), (503, Some(1)));
    samples.assert_text("later_answer", &later.body);
}

// ---- workers

fn full_task() -> TaskStatus {
    TaskStatus {
        task: Some(task(3)),
        attempt: Attempt(70_000_000_001),
        phase: TaskPhase::Exited,
        cause: Some(Cause::MatesGone),
        kept: Some(true),
    }
}

fn sparse_task() -> TaskStatus {
    TaskStatus { phase: TaskPhase::Pulling, cause: None, kept: None, ..full_task() }
}

fn full_report() -> Heartbeat {
    Heartbeat {
        machine: "m-000231".into(),
        endpoint: "10.1.0.7:9000".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: AgentEpoch(31),
        sequence: SequenceNumber(32),
        token: FencingToken(33),
        notice_s: Some(12.5),
        tasks: vec![full_task(), sparse_task()],
    }
}

#[test]
fn heartbeats_are_the_samples() {
    let samples = Samples::wire();
    samples.assert_both_ways("task_report", &full_task());
    samples.assert_both_ways("task_report_sparse", &sparse_task());
    samples.assert_both_ways("report", &full_report());
    let quiet = Heartbeat { notice_s: None, tasks: Vec::new(), ..full_report() };
    samples.assert_both_ways("report_quiet", &quiet);
    let least: Heartbeat = samples.read("report_of_the_least_members");
    assert_eq!(format!("{least:?}"), format!("{quiet:?}"));
}

#[test]
fn status_of_an_unknown_task_is_read() {
    let odd: TaskStatus = Samples::wire().read("task_report_of_an_odd_name");
    assert_eq!((odd.task, odd.attempt, odd.phase), (None, Attempt(4), TaskPhase::Running));
}

fn orders() -> Vec<Order> {
    vec![
        Order::Run { task: task(1), attempt: Attempt(11) },
        Order::Stop { task: task(2), attempt: Attempt(12), leeway_s: 7.5 },
        Order::Clear { task: task(3), attempt: Attempt(13) },
    ]
}

#[test]
fn orders_are_the_samples() {
    let samples = Samples::wire();
    samples.assert_both_ways("report_answer", &HeartbeatResponse { token: FencingToken(33), orders: orders() });
    let nothing = HeartbeatResponse { token: FencingToken(33), orders: Vec::new() };
    samples.assert_both_ways("report_answer_without_orders", &nothing);
    let direct = DirectOrders { token: FencingToken(33), agent_epoch: AgentEpoch(31), orders: orders() };
    samples.assert_both_ways("direct_orders", &direct);
}

// ---- cloud

#[test]
fn machine_types_are_the_samples() {
    let samples = Samples::wire();
    samples.assert_both_ways("machine_types", &MachineTypes { builds: vec![machine_type()] });
    let least: MachineType = samples.read("machine_type_of_the_least_members");
    let expected =
        MachineType { gpus: 0.0, cache_gb: 0.0, fetch_gb_per_s: 1.0, boot_s: 0.0, zones: Vec::new(), ..machine_type() };
    assert_eq!(least, expected);
}

#[test]
fn provision_requests_are_the_samples() {
    let request = ProvisionRequest { name: "w31-2".into(), kind: "g8".into(), zone: "a".into(), spot: true, number: 6 };
    Samples::wire().assert_both_ways("rent_request", &request);
    let names = MachineNames { plinths: vec!["m-000231".into(), "m-000232".into()] };
    Samples::wire().assert_both_ways("machine_names", &names);
}

#[test]
fn listed_machines_are_the_samples() {
    let machine = ListedMachine {
        id: "m-000231".into(),
        endpoint: Some("10.1.0.7:9000".into()),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        phase: ListPhase::Running,
        age_s: 62.5,
    };
    let samples = Samples::wire();
    samples.assert_both_ways("listed_machine", &machine);
    let id = "m-000232".into();
    let starting = ListedMachine { id, endpoint: None, phase: ListPhase::Starting, age_s: 0.0, ..machine.clone() };
    samples.assert_both_ways("listed_machine_starting", &starting);
    let page: MachineList = samples.read("machine_list");
    assert!(page.has_next);
    assert_eq!(format!("{:?}", page.plinths), format!("{:?}", [machine, starting]));
    assert!(!samples.read::<MachineList>("machine_list_of_the_least_members").has_next);
}

// ---- key-value store

#[test]
fn transactions_are_the_samples() {
    let leased = Mutation::Put { key: "ctl/leader".into(), value: json!({"node": "plinth-0"}), lease: Some(12) };
    let transaction = Transaction {
        preconditions: vec![Precondition { key: "ctl/leader".into(), revision: 9001 }],
        mutations: vec![leased, Mutation::put("ctl/founded", json!(true)), Mutation::delete("live/req-000412")],
    };
    Samples::wire().assert_both_ways("transaction", &transaction);
    Samples::wire().assert_both_ways("transaction_of_nothing", &Transaction::default());
}

#[test]
fn rows_of_the_store_are_read() {
    let samples = Samples::wire();
    let page: RangeResponse = samples.read("rows");
    assert_eq!((page.has_next, page.revision), (true, 9002));
    let fields = |row: &KeyValue| (row.key.clone(), row.value.clone(), row.revision);
    let expected = [("ctl/heir".to_string(), json!("plinth-1"), 9001)];
    assert_eq!(page.entries.iter().map(fields).collect::<Vec<_>>(), expected);
    let last: RangeResponse = samples.read("rows_of_the_least_members");
    assert_eq!((last.entries.len(), last.has_next, last.revision), (0, false, 9002));
}

#[test]
fn watched_changes_are_read() {
    let samples = Samples::wire();
    let log: WatchResponse = samples.read("log");
    assert_eq!(log.revision, 9003);
    let [WatchEvent::Put { key: write, value, revision }, WatchEvent::Delete { key: drop }] = log.events.as_slice()
    else {
        panic!("not a write and a drop: {log:?}");
    };
    assert_eq!((write.as_str(), value, *revision), ("ctl/heir", &json!("plinth-1"), 9001));
    assert_eq!(drop, "live/req-000412");
    let quiet: WatchResponse = samples.read("log_of_the_least_members");
    assert_eq!((quiet.revision, quiet.events.len()), (9003, 0));
}
