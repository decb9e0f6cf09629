//! Golden tests of the encoded bytes of messages between controllers.

use crate::samples::Samples;
use bytes::Bytes;
use prost::Message;
use std::fmt::Debug;
use wallstile::peer::{
    HeartbeatBatch, HeartbeatDecision, HeartbeatDecisions, ImageView, JobCount, JobView, MachineTypeView, MachineView,
    PeerHeartbeat, PeerHeartbeatResponse, Placement, PlanInput, PlanOutput, ProvisionOffer, ScaleOutRequest,
    TeamHeadroom, VERSION, WaitingTasks, ZoneCount,
};

/// Asserts that each message is encoded as the sample of the given name, and decoded from it.
fn assert_samples<M: Message + Default + PartialEq + Debug>(messages: &[(&str, M)]) {
    let samples = Samples::peer();
    for (name, message) in messages {
        samples.assert_message(name, message);
    }
}

#[test]
fn protocol_version_matches_sample() {
    Samples::peer().assert_text("version", &VERSION.to_string());
}

fn job_count() -> JobCount {
    JobCount { job: "req-000412".into(), done: 5, running: 9 }
}

#[test]
fn peer_heartbeats_match_samples() {
    let full = PeerHeartbeat {
        version: 3,
        from: "plinth-0".into(),
        requests_lease_extension: true,
        term: 9001,
        live_job_counts: vec![job_count()],
        leading: true,
        successor: "plinth-1".into(),
        suspected_machines: vec!["m-000231".into(), "m-000232".into()],
        read_through: 9002,
        cancelled_jobs: vec!["req-000007".into()],
    };
    assert_samples(&[
        ("hello", full),
        ("hello_hold_on", PeerHeartbeat { requests_lease_extension: true, ..PeerHeartbeat::default() }),
        ("hello_leading", PeerHeartbeat { leading: true, ..PeerHeartbeat::default() }),
    ]);
    assert_samples(&[("job_count", job_count())]);
}

#[test]
fn peer_heartbeat_responses_match_samples() {
    let full = PeerHeartbeatResponse {
        version: 3,
        store_available: true,
        pledge_ms: 3500,
        redirected_machines: vec!["m-000231".into()],
        leader: "plinth-2".into(),
        cancelled_jobs: vec!["req-000007".into(), "req-000008".into()],
        relays_heartbeats: true,
    };
    assert_samples(&[
        ("hello_answer", full),
        ("hello_answer_state_ok", PeerHeartbeatResponse { store_available: true, ..PeerHeartbeatResponse::default() }),
        (
            "hello_answer_forwards",
            PeerHeartbeatResponse { relays_heartbeats: true, ..PeerHeartbeatResponse::default() },
        ),
    ]);
}

#[test]
fn relayed_heartbeats_match_samples() {
    let decision = HeartbeatDecision { status: 421, body: Bytes::from_static(b"{}") };
    let heartbeats = vec![Bytes::from_static(b"{\"a\":1}"), Bytes::from_static(b"\x00\xff")];
    assert_samples(&[("report_batch", HeartbeatBatch { version: 3, heartbeats, from: "plinth-1".into() })]);
    let decisions = vec![decision.clone()];
    assert_samples(&[("report_decisions", HeartbeatDecisions { version: 3, leading: true, decisions })]);
    assert_samples(&[("report_decision", decision)]);
}

fn type_view() -> MachineTypeView {
    MachineTypeView {
        cpus: 16.0,
        gpus: 8.0,
        memory_gb: 64.5,
        fetch_gb_per_s: 1.25,
        price: 3.75,
        spot_price: 1.5,
        boot_s: 40.0,
    }
}

fn machine_view() -> MachineView {
    MachineView {
        key: 21,
        type_index: 22,
        zone: 23,
        spot: true,
        up: true,
        ready_in_s: 2.5,
        age_s: 3.5,
        free_cpus: 4.5,
        free_gpus: 5.5,
        free_memory_gb: 6.5,
        images: vec![ImageView { image: 24, ready_in_s: 7.5 }],
        slowness: 8.5,
        urgent_headroom_cpus: 9.5,
        urgent_headroom_memory_gb: 10.5,
        preemptible_headroom_cpus: 11.5,
        preemptible_headroom_memory_gb: 12.5,
        free_task_slots: None,
    }
}

#[test]
fn machine_views_match_samples() {
    assert_samples(&[("type_view", type_view())]);
    assert_samples(&[("image_view", ImageView { image: 24, ready_in_s: 7.5 })]);
    assert_samples(&[
        ("machine_view", machine_view()),
        ("machine_view_spot", MachineView { spot: true, ..MachineView::default() }),
        ("machine_view_free_task_slots", MachineView { free_task_slots: Some(504), ..MachineView::default() }),
        ("machine_view_no_task_slots", MachineView { free_task_slots: Some(0), ..MachineView::default() }),
        ("machine_view_up", MachineView { up: true, ..MachineView::default() }),
    ]);
}

fn job_view() -> JobView {
    JobView {
        key: 31,
        team: 32,
        priority: 33,
        gang: true,
        ready_tasks: 34,
        tasks: 35,
        cpus: 1.5,
        gpus: 2.5,
        memory_gb: 3.5,
        image: 36,
        image_gb: 4.5,
        allowed_types: vec![37, 38],
        zone: Some(39),
        one_zone: true,
        spread: true,
        allows_spot: true,
        may_provision_spot: true,
        run_s: 5.5,
        due_s: Some(6.5),
        age_s: 7.5,
        excess_cost: 8.5,
        placed: vec![ZoneCount { zone: 40, count: 41 }],
        avoided_machines: vec![42, 43],
        guaranteed: true,
        service: true,
        slo_deadline_s: Some(9.5),
        may_scale_out: true,
        missed_slos: 44,
        dependents_rank_s: 10.5,
    }
}

#[test]
fn job_views_match_samples() {
    assert_samples(&[
        ("job_view", job_view()),
        ("job_view_sparse", JobView { zone: None, due_s: None, slo_deadline_s: None, ..job_view() }),
        ("job_view_zone_0", JobView { zone: Some(0), ..JobView::default() }),
        ("job_view_due_0", JobView { due_s: Some(0.0), ..JobView::default() }),
        ("job_view_goal_0", JobView { slo_deadline_s: Some(0.0), ..JobView::default() }),
    ]);
    assert_samples(&[("zone_count", ZoneCount { zone: 40, count: 41 })]);
}

#[test]
fn job_view_flags_match_samples() {
    assert_samples(&[
        ("job_view_gang", JobView { gang: true, ..JobView::default() }),
        ("job_view_one_zone", JobView { one_zone: true, ..JobView::default() }),
        ("job_view_spread", JobView { spread: true, ..JobView::default() }),
        ("job_view_spot", JobView { allows_spot: true, ..JobView::default() }),
        ("job_view_new_spot", JobView { may_provision_spot: true, ..JobView::default() }),
        ("job_view_guaranteed", JobView { guaranteed: true, ..JobView::default() }),
        ("job_view_service", JobView { service: true, ..JobView::default() }),
        ("job_view_may_rent", JobView { may_scale_out: true, ..JobView::default() }),
    ]);
}

fn team_headroom() -> TeamHeadroom {
    TeamHeadroom { team: 51, cpus: 1.5, gpus: 2.5 }
}

fn provision_offer() -> ProvisionOffer {
    ProvisionOffer { type_index: 52, zone: 53, spot: true, max_count: 54 }
}

#[test]
fn plan_input_matches_sample() {
    let input = PlanInput {
        version: 3,
        term: 9001,
        round: 9002,
        types: vec![type_view()],
        machines: vec![machine_view()],
        jobs: vec![job_view()],
        teams: vec![team_headroom()],
        offers: vec![provision_offer()],
        batch_size: 55,
        budget_share: 0.25,
        spot_mu: 8.5,
        spot_sigma: 1.25,
    };
    assert_samples(&[("plan_input", input)]);
    assert_samples(&[("team_left", team_headroom())]);
    assert_samples(&[("offer", provision_offer())]);
}

#[test]
fn plan_output_matches_sample() {
    let placement = Placement { job: 61, machine: 62, count: 63, excess_cost: 1.5 };
    let scale_out_request = ScaleOutRequest { type_index: 64, zone: 65, spot: true, load: 0.75, priority: 66 };
    let waiting = WaitingTasks { job: 67, count: 68, waits_for_spot: true, finish_s: 2.5, start_s: 3.5 };
    let output = PlanOutput {
        version: 3,
        term: 9001,
        round: 9002,
        placements: vec![placement.clone()],
        scale_out: vec![scale_out_request.clone()],
        waiting: vec![waiting.clone()],
    };
    assert_samples(&[("plan_output", output)]);
    assert_samples(&[("placement", placement)]);
    assert_samples(&[("wish", scale_out_request)]);
    assert_samples(&[("waiting", waiting)]);
}
