//! Golden tests of the JSON exchanged with users, workers, the cloud and the key-value store.

use crate::samples::Samples;
use crate::values::{full_job, job_id, machine_type, parse_job_id, sparse_job, task};
use serde_json::json;
use wallstile::core::submissions::{ParsedSubmission, Submission, parse_submission};
use wallstile::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber};
use wallstile::net::user_api::Reply;
use wallstile::wire::{
    DirectOrders, ExitCause, Heartbeat, HeartbeatResponse, JobKind, JobPhase, JobStatus, KeyValue, ListedMachine,
    MachineList, MachineNames, MachinePhase, MachineType, MachineTypes, Mutation, Order, Precondition, Priority,
    ProvisionRequest, RangeResponse, TaskPhase, TaskStatus, Transaction, WatchEvent, WatchResponse,
};

#[test]
fn enum_names_match_samples() {
    let samples = Samples::wire();
    samples.assert_round_trip("kinds", &[JobKind::Array, JobKind::Gang, JobKind::Service]);
    samples.assert_round_trip("priorities", &[Priority::Prod, Priority::High, Priority::Normal, Priority::Low]);
    let phases = [JobPhase::Queued, JobPhase::Running, JobPhase::Done, JobPhase::Cancelled];
    samples.assert_round_trip("job_phases", &phases);
    let phases =
        [TaskPhase::Pulling, TaskPhase::Waiting, TaskPhase::Running, TaskPhase::SavingCheckpoint, TaskPhase::Exited];
    samples.assert_round_trip("task_phases", &phases);
    samples.assert_round_trip("list_phases", &[MachinePhase::Starting, MachinePhase::Running, MachinePhase::Failed]);
    let causes = [
        ExitCause::Done,
        ExitCause::Halted,
        ExitCause::MatesGone,
        ExitCause::Alone,
        ExitCause::Error,
        ExitCause::NoRoom,
        ExitCause::InUse,
        ExitCause::Unknown,
        ExitCause::Other,
    ];
    samples.assert_round_trip("causes", &causes);
}

#[test]
fn unknown_cause_of_a_later_version_is_read_as_other() {
    let causes: Vec<ExitCause> = Samples::wire().read("causes_of_a_later_version");
    assert_eq!(causes, [ExitCause::Other]);
}

// Messages exchanged with users

#[test]
fn jobs_match_samples() {
    Samples::wire().assert_round_trip("job", &full_job());
    Samples::wire().assert_round_trip("job_sparse", &sparse_job());
}

#[test]
fn submissions_are_read() {
    let first = parse_job_id("req-000007");
    let second = parse_job_id("req-000008");
    for (name, spec, depends_on) in
        [("submission", full_job(), vec![first, second]), ("submission_sparse", sparse_job(), vec![])]
    {
        let parsed = parse_submission(Samples::wire().text(name).as_bytes());
        assert_eq!(
            parsed,
            Ok(ParsedSubmission { id: job_id(), submission: Ok(Submission { spec, depends_on }) }),
            "{name}"
        );
    }
}

#[test]
fn responses_to_users_match_samples() {
    let status = |done, running| json!(JobStatus { id: "req-000412", phase: JobPhase::Running, done, running });
    let samples = Samples::wire();
    samples.assert_text("job_answer", &status(Some(5), Some(9)).to_string());
    samples.assert_text("job_answer_sparse", &status(None, None).to_string());
    let not_found = Reply::error(404, "no such job");
    assert_eq!((not_found.status, not_found.retry_after), (404, None));
    samples.assert_text("error_answer", &not_found.body);
    let unavailable = Reply::unavailable("come back");
    assert_eq!((unavailable.status, unavailable.retry_after), (503, Some(1)));
    samples.assert_text("later_answer", &unavailable.body);
}

// Messages exchanged with workers

fn full_task() -> TaskStatus {
    TaskStatus {
        task: Some(task(3)),
        attempt: Attempt(70_000_000_001),
        phase: TaskPhase::Exited,
        cause: Some(ExitCause::MatesGone),
        progress_saved: Some(true),
    }
}

fn sparse_task() -> TaskStatus {
    TaskStatus { phase: TaskPhase::Pulling, cause: None, progress_saved: None, ..full_task() }
}

fn full_heartbeat() -> Heartbeat {
    Heartbeat {
        machine: "m-000231".into(),
        endpoint: "10.1.0.7:9000".into(),
        machine_type: "g8".into(),
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
fn heartbeats_match_samples() {
    let samples = Samples::wire();
    samples.assert_round_trip("task_report", &full_task());
    samples.assert_round_trip("task_report_sparse", &sparse_task());
    samples.assert_round_trip("report", &full_heartbeat());
    let without_tasks = Heartbeat { notice_s: None, tasks: Vec::new(), ..full_heartbeat() };
    samples.assert_round_trip("report_quiet", &without_tasks);
    let minimal: Heartbeat = samples.read("report_of_the_least_members");
    assert_eq!(format!("{minimal:?}"), format!("{without_tasks:?}"));
}

#[test]
fn task_status_with_an_unparsable_task_is_read() {
    let status: TaskStatus = Samples::wire().read("task_report_of_an_odd_name");
    assert_eq!((status.task, status.attempt, status.phase), (None, Attempt(4), TaskPhase::Running));
}

fn orders() -> Vec<Order> {
    vec![
        Order::Run { task: task(1), attempt: Attempt(11) },
        Order::Stop { task: task(2), attempt: Attempt(12), leeway_s: 7.5 },
        Order::Clear { task: task(3), attempt: Attempt(13) },
    ]
}

#[test]
fn orders_match_samples() {
    let samples = Samples::wire();
    samples.assert_round_trip("report_answer", &HeartbeatResponse { token: FencingToken(33), orders: orders() });
    let without_orders = HeartbeatResponse { token: FencingToken(33), orders: Vec::new() };
    samples.assert_round_trip("report_answer_without_orders", &without_orders);
    let direct_orders = DirectOrders { token: FencingToken(33), agent_epoch: AgentEpoch(31), orders: orders() };
    samples.assert_round_trip("direct_orders", &direct_orders);
}

// Messages exchanged with the cloud

#[test]
fn machine_types_match_samples() {
    let samples = Samples::wire();
    samples.assert_round_trip("machine_types", &MachineTypes { types: vec![machine_type()] });
    let minimal: MachineType = samples.read("machine_type_of_the_least_members");
    let expected =
        MachineType { gpus: 0.0, cache_gb: 0.0, fetch_gb_per_s: 1.0, boot_s: 0.0, zones: Vec::new(), ..machine_type() };
    assert_eq!(minimal, expected);
}

#[test]
fn provision_requests_match_samples() {
    let request =
        ProvisionRequest { name: "w31-2".into(), machine_type: "g8".into(), zone: "a".into(), spot: true, count: 6 };
    Samples::wire().assert_round_trip("rent_request", &request);
    let names = MachineNames { names: vec!["m-000231".into(), "m-000232".into()] };
    Samples::wire().assert_round_trip("machine_names", &names);
}

#[test]
fn listed_machines_match_samples() {
    let machine = ListedMachine {
        id: "m-000231".into(),
        endpoint: Some("10.1.0.7:9000".into()),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        phase: MachinePhase::Running,
        age_s: 62.5,
    };
    let samples = Samples::wire();
    samples.assert_round_trip("listed_machine", &machine);
    let id = "m-000232".into();
    let starting = ListedMachine { id, endpoint: None, phase: MachinePhase::Starting, age_s: 0.0, ..machine.clone() };
    samples.assert_round_trip("listed_machine_starting", &starting);
    let page: MachineList = samples.read("machine_list");
    assert!(page.has_next);
    assert_eq!(format!("{:?}", page.machines), format!("{:?}", [machine, starting]));
    assert!(!samples.read::<MachineList>("machine_list_of_the_least_members").has_next);
}

// Messages exchanged with the key-value store

#[test]
fn transactions_match_samples() {
    let leased_put = Mutation::Put { key: "ctl/leader".into(), value: json!({"node": "plinth-0"}), lease: Some(12) };
    let transaction = Transaction {
        preconditions: vec![Precondition { key: "ctl/leader".into(), revision: 9001 }],
        mutations: vec![leased_put, Mutation::put("ctl/founded", json!(true)), Mutation::delete("live/req-000412")],
    };
    Samples::wire().assert_round_trip("transaction", &transaction);
    Samples::wire().assert_round_trip("transaction_of_nothing", &Transaction::default());
}

#[test]
fn range_responses_are_read() {
    let samples = Samples::wire();
    let page: RangeResponse = samples.read("rows");
    assert_eq!((page.has_next, page.revision), (true, 9002));
    let fields = |entry: &KeyValue| (entry.key.clone(), entry.value.clone(), entry.revision);
    let expected = [("ctl/heir".to_string(), json!("plinth-1"), 9001)];
    assert_eq!(page.entries.iter().map(fields).collect::<Vec<_>>(), expected);
    let last_page: RangeResponse = samples.read("rows_of_the_least_members");
    assert_eq!((last_page.entries.len(), last_page.has_next, last_page.revision), (0, false, 9002));
}

#[test]
fn watch_responses_are_read() {
    let samples = Samples::wire();
    let changes: WatchResponse = samples.read("log");
    assert_eq!(changes.revision, 9003);
    let [WatchEvent::Put { key: put_key, value, revision }, WatchEvent::Delete { key: deleted_key }] =
        changes.events.as_slice()
    else {
        panic!("expected a put and a delete, got {changes:?}");
    };
    assert_eq!((put_key.as_str(), value, *revision), ("ctl/heir", &json!("plinth-1"), 9001));
    assert_eq!(deleted_key, "live/req-000412");
    let empty: WatchResponse = samples.read("log_of_the_least_members");
    assert_eq!((empty.revision, empty.events.len()), (9003, 0));
}
