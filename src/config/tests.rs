use super::*;

#[test]
fn settings_check_refuses_contradictions() {
    let good = include_str!("../../tests/settings.json");
    assert!(Settings::parse(good).is_ok());
    for (from, to) in [
        ("\"lease_s\": 10.0", "\"lease_s\": 29.0"),
        ("\"rps\": 100.0", "\"rps\": 0.0"),
        ("\"10.0.0.1:8080\"", "\"nowhere\""),
        ("\"fd_limit\": 1000", "\"fd_limit\": 31"),
        ("\"team-b\"", "\"team-a\""),
        ("\"plinth-1\"", "\"plinth-0\""),
    ] {
        assert!(good.contains(from), "{from}");
        assert!(Settings::parse(&good.replace(from, to)).is_err(), "{to}");
    }
}

#[test]
fn socket_shares_suffice_for_a_connection_of_each_worker() {
    let mut settings = sample_settings();
    // The lowest limits on sockets seen on platforms with these numbers of workers.
    for (limit, workers) in [(1_721, 740), (3_482, 1_982)] {
        settings.cluster.limits.max_sockets = limit;
        let SocketBudget { public_listener, peer_listener, service_client, worker_client } = settings.socket_budget();
        assert!(public_listener > workers * 11 / 10);
        assert!(public_listener + peer_listener + service_client + worker_client <= limit * 98 / 100);
    }
}

#[test]
fn next_slo_deadline_is_the_first_that_can_still_be_met() {
    let mut settings = sample_settings();
    let objective = |kind: &str, within_s: f64, deadline_factor: f64| Objective {
        kind: kind.to_string().into(),
        class: "x".into(),
        within_s,
        deadline_factor,
    };
    settings.cluster.objectives =
        vec![objective("deadline", 0.0, 1.5), objective("wait", 30.0, 1.0), objective("finished", 200.0, 1.0)];
    // With a run time of 20 s, the SLO deadlines are 50 s (start within 30 s), 60 s (the job's own deadline), 90 s (1.5
    // times the job's own deadline) and 200 s.
    let ages = |since_submission_s, since_startable_s| JobAges { since_submission_s, since_startable_s };
    let next = |slo_deadlines| {
        let NextSlo { deadline_s, missed } = next_slo_deadline(slo_deadlines, 20.0);
        (deadline_s, missed)
    };
    let at_age = |age| next(settings.slo_deadlines("x", Some(60.0), ages(age, age), 20.0));
    assert_eq!(at_age(0.0), (Some(50.0 - 0.0), 0));
    assert_eq!(at_age(35.0), (Some(60.0 - 35.0), 1));
    assert_eq!(at_age(65.0), (Some(90.0 - 65.0), 2));
    assert_eq!(at_age(190.0), (None, 4));
    // A job whose dependencies took 30 s: only the deadlines that count from its submission are closer.
    assert_eq!(next(settings.slo_deadlines("x", Some(60.0), ages(35.0, 5.0), 20.0)), (Some(25.0), 0));
    assert_eq!(next(settings.slo_deadlines("x", Some(60.0), ages(45.0, 15.0), 20.0)), (Some(35.0), 1));
    assert_eq!(next(settings.slo_deadlines("other", None, ages(5.0, 5.0), 20.0)), (None, 0));
}

#[test]
fn upcoming_store_limits_hold_from_the_beginning() {
    let good = include_str!("../../tests/settings.json");
    let with =
        |next: &str| Settings::parse(&good.replace("\"txn_ops\": 12", &format!("\"txn_ops\": 12, \"next\": {next}")));
    let limits = with(r#"{"write_rps": 15.0, "value_kb": 2.0, "txn_ops": 4}"#).unwrap().cluster.store;
    let lowest = limits.strictest();
    assert_eq!((lowest.rps, lowest.write_rps, lowest.max_value_kb, lowest.max_transaction_ops), (100.0, 15.0, 2.0, 4));
    // The current limit stays available, as it determines the layout of values that are already in the store.
    assert_eq!((limits.max_value_kb, limits.max_value_bytes()), (8.0, 2_048));
    assert_eq!(with(r#"{"value_kb": 64.0}"#).unwrap().cluster.store.strictest().max_value_kb, 8.0);
    assert!(with("null").is_ok() && with("{}").is_ok());
    assert!(with(r#"{"txn_ops": 3}"#).is_err() && with(r#"{"write_rps": 0.0}"#).is_err());
}

#[test]
fn tuning_errors_name_their_line() {
    let tuning = Tuning::parse("<wallstile>\n <idle-s>60</idle-s>\n</wallstile>").unwrap();
    assert_eq!(tuning.idle_timeout_s, 60.0);
    assert_eq!(Tuning::parse("<wallstile/>").unwrap(), Tuning::default());
    for (text, line, what) in [
        ("<wallstile>\n<idel-s>1</idel-s></wallstile>", 2, "unknown"),
        ("<wallstile>\n\n<idle-s>x</idle-s></wallstile>", 3, "number"),
        ("<wallstile>\n<budget-share>1.5</budget-share></wallstile>", 2, "must be"),
        ("<wallstile>\n<idle-s>1</idle-s>\n<idle-s>2</idle-s></wallstile>", 3, "twice"),
        ("<wallstile>\n<idle-s>1</idle-s>\n", 3, "ends"),
        ("<wallstile><idle-s>1</wallstile>", 1, ""),
        ("", 1, "ends"),
    ] {
        let error = Tuning::parse(text).unwrap_err();
        assert!(error.line == line && error.kind.to_string().contains(what), "{text:?}: {error}");
    }
}

#[test]
fn objective_kinds_that_are_unknown_are_accepted_and_ignored() {
    let good = include_str!("../../tests/settings.json");
    let mut value: serde_json::Value = serde_json::from_str(good).unwrap();
    value["cluster"]["objectives"] =
        serde_json::json!([{"kind": "from a later version", "class": "x", "within_s": 1.0}]);
    let settings = Settings::parse(&value.to_string()).unwrap();
    assert_eq!(settings.cluster.objectives[0].kind, ObjectiveKind::Unknown);
    assert_eq!(settings.start_slo_s("x", true), None);
    let ages = JobAges { since_submission_s: 0.0, since_startable_s: 0.0 };
    assert!(settings.slo_deadlines("x", None, ages, 1.0).is_empty());
    value["cluster"]["objectives"] = serde_json::json!([{"kind": 1}]);
    assert!(Settings::parse(&value.to_string()).is_err(), "a kind must be a string");
}

#[test]
fn settings_errors_keep_the_wording_that_operators_know() {
    let good = include_str!("../../tests/settings.json");
    for (from, to, message) in [
        ("\"rps\": 100.0", "\"rps\": 0.0", "cluster.state.rps must be above 0, not 0"),
        ("\"fd_limit\": 1000", "\"fd_limit\": 31", "cluster.limits.fd_limit must be at least 32, not 31"),
        ("\"txn_ops\": 12", "\"txn_ops\": 3", "cluster.state.txn_ops must be at least 4, now and in next"),
        (
            "\"lease_s\": 10.0",
            "\"lease_s\": 29.0",
            "cluster.workers.cancel_s leaves no room for lease_s and a change of leader",
        ),
        ("\"team-b\"", "\"team-a\"", "cluster.teams names team-a twice"),
        ("\"plinth-1\"", "\"plinth-0\"", "host_name must be set and differ from the names in known"),
    ] {
        assert_eq!(Settings::parse(&good.replace(from, to)).unwrap_err().to_string(), message);
    }
    let missing = Settings::parse(&good.replace("\"report_s\"", "\"other\"")).unwrap_err().to_string();
    assert!(missing.starts_with("missing field `report_s` at line "), "{missing}");
}

#[test]
fn tuning_errors_keep_the_wording_that_operators_know() {
    for (text, message) in [
        ("<wallstile>\n<idle-s>1</idle-s><idle-s>1</idle-s></wallstile>", "line 2: <idle-s> stands twice"),
        ("<wallstile><idle>1</idle></wallstile>", "line 1: unknown element <idle>"),
        ("<wallstile><idle-s a='1'>1</idle-s></wallstile>", "line 1: <idle-s> takes no attributes"),
        ("<wallstile><idle-s/></wallstile>", "line 1: <idle-s> is empty"),
        ("<wallstile><idle-s> x </idle-s></wallstile>", "line 1: <idle-s> holds no number: \"x\""),
        ("<wallstile><budget-share>2</budget-share></wallstile>", "line 1: <budget-share> must be 0 to 1, not 2"),
        ("<wallstile>x</wallstile>", "line 1: stray text in <wallstile>"),
        ("\n", "line 2: the document ends before </wallstile>"),
        ("<wallstile>\n<batch-min>2000</batch-min></wallstile>", "line 1: batch-min is above batch-max"),
    ] {
        assert_eq!(Tuning::parse(text).unwrap_err().to_string(), message);
    }
}
