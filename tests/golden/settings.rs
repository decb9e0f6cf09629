//! Checks that every field of the platform's settings file and of the operators' tuning file is read.

use wallstile::config::{Objective, ObjectiveKind, Peer, Settings, Team, Tuning};

fn settings() -> Settings {
    Settings::parse(include_str!("settings.json")).expect("the sample is valid")
}

#[test]
fn controller_settings_are_read() {
    let Settings { name, listen_addr, peer_listen_addr, peers, services, cluster: _ } = settings();
    assert_eq!(name, "plinth-0");
    let addresses = [listen_addr, peer_listen_addr, services.cloud, services.store].map(|address| address.to_string());
    assert_eq!(addresses, ["10.0.0.1:8080", "10.0.0.1:8081", "10.2.0.2:8443", "10.2.0.1:2379"]);
    let peer = |peer: &Peer| (peer.name.clone(), peer.zone.clone(), peer.addr.to_string());
    let expected = [
        ("plinth-1".to_string(), "b".to_string(), "10.0.0.2:8081".to_string()),
        ("plinth-2".to_string(), String::new(), "10.0.0.3:8081".to_string()),
    ];
    assert_eq!(peers.iter().map(peer).collect::<Vec<_>>(), expected);
}

#[test]
fn team_and_objective_settings_are_read() {
    let cluster = settings().cluster;
    assert_eq!(cluster.zones, ["a", "b"]);
    let team =
        |team: &Team| (team.name.clone(), [team.guaranteed_cpus, team.max_cpus, team.guaranteed_gpus, team.max_gpus]);
    let teams: Vec<_> = cluster.teams.iter().map(team).collect();
    assert_eq!(teams, [("team-a".to_string(), [8.0, 40.0, 2.0, 6.0]), ("team-b".to_string(), [0.0; 4])]);
    let fields = |objective: &Objective| {
        (objective.kind, objective.class.clone(), objective.within_s, objective.deadline_factor)
    };
    let objectives: Vec<_> = cluster.objectives.iter().map(fields).collect();
    let expected =
        [(ObjectiveKind::Deadline, "feed".to_string(), 3.5, 1.5), (ObjectiveKind::Guarantee, String::new(), 0.0, 1.0)];
    assert_eq!(objectives, expected);
}

#[test]
fn limit_settings_are_read() {
    let cluster = settings().cluster;
    let workers = cluster.workers;
    assert_eq!([workers.heartbeat_interval_s, workers.lease_s, workers.cancellation_limit_s], [1.5, 10.0, 30.0]);
    let store = cluster.store;
    assert_eq!([store.rps, store.write_rps, store.max_value_kb], [100.0, 20.0, 8.0]);
    assert_eq!(store.max_transaction_ops, 12);
    let upcoming = store.next;
    assert_eq!([upcoming.rps, upcoming.write_rps, upcoming.max_value_kb], [Some(90.0), Some(15.0), Some(4.0)]);
    assert_eq!(upcoming.max_transaction_ops, Some(6));
    assert_eq!([cluster.cloud.rps, cluster.cloud.list_lag_s], [4.0, 11.0]);
    assert_eq!(cluster.limits.max_sockets, 1000);
}

#[test]
fn tuning_settings_are_read() {
    let expected = Tuning {
        budget_share: 0.5,
        spot_median_s: 5401.0,
        spot_sigma: 1.5,
        spot_window_s: 11.0,
        idle_timeout_s: 21.0,
        gpu_idle_factor: 2.5,
        service_horizon_s: 601.0,
        batch_min: 65.0,
        batch_max: 1025.0,
        min_round_interval_ms: 151.0,
        max_user_requests: 66.0,
        gang_reservation_wait_s: 121.0,
    };
    assert_eq!(Tuning::parse(include_str!("operators.xml")).expect("the sample is valid"), expected);
}
