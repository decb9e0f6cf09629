use super::*;

#[test]
fn contradictory_settings_are_refused() {
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
fn sockets_suffice_for_a_worker_each() {
    let mut s = sample_settings();
    // The least that platforms have pledged for a fleet, with headroom for users.
    for (limit, workers) in [(1_721, 740), (3_482, 1_982)] {
        s.cluster.limits.sockets = limit;
        let x = s.sockets();
        assert!(x.public > workers * 11 / 10);
        assert!(x.public + x.peers + x.own + x.orders <= limit * 98 / 100);
    }
}

#[test]
fn slo_deadline_is_the_next_that_can_still_be_met() {
    let mut s = sample_settings();
    let aim =
        |kind: &str, within_s: f64, times: f64| Objective { kind: kind.into(), class: "x".into(), within_s, times };
    s.cluster.objectives = vec![aim("deadline", 0.0, 1.5), aim("wait", 30.0, 1.0), aim("finished", 200.0, 1.0)];
    // A run of 20 s: the objective on starting ends at 50, the deadline at 60 and at 90, then 200.
    let ages = |submitted_s, startable_s| JobAges { submitted_s, startable_s };
    let next = |slo_deadlines| next_slo_deadline(slo_deadlines, 20.0);
    let goal = |age| next(s.slo_deadlines("x", Some(60.0), ages(age, age), 20.0));
    assert_eq!(goal(0.0), (Some(50.0 - 0.0), 0));
    assert_eq!(goal(35.0), (Some(60.0 - 35.0), 1));
    assert_eq!(goal(65.0), (Some(90.0 - 65.0), 2));
    assert_eq!(goal(190.0), (None, 4));
    // One that has waited for its dependencies for 30 s: only its deadlines are nearer.
    assert_eq!(next(s.slo_deadlines("x", Some(60.0), ages(35.0, 5.0), 20.0)), (Some(25.0), 0));
    assert_eq!(next(s.slo_deadlines("x", Some(60.0), ages(45.0, 15.0), 20.0)), (Some(35.0), 1));
    assert_eq!(next(s.slo_deadlines("other", None, ages(5.0, 5.0), 20.0)), (None, 0));
}

#[test]
fn later_limits_hold_from_the_beginning() {
    let good = include_str!("../../tests/settings.json");
    let with =
        |next: &str| Settings::parse(&good.replace("\"txn_ops\": 12", &format!("\"txn_ops\": 12, \"next\": {next}")));
    let limits = with(r#"{"write_rps": 15.0, "value_kb": 2.0, "txn_ops": 4}"#).unwrap().cluster.state;
    let lowest = limits.lowest();
    assert_eq!((lowest.rps, lowest.write_rps, lowest.value_kb, lowest.txn_ops), (100.0, 15.0, 2.0, 4));
    // What is stored was laid out by the limits of today.
    assert_eq!((limits.value_kb, limits.value_bytes()), (8.0, 2_048));
    assert_eq!(with(r#"{"value_kb": 64.0}"#).unwrap().cluster.state.lowest().value_kb, 8.0);
    assert!(with("null").is_ok() && with("{}").is_ok());
    assert!(with(r#"{"txn_ops": 3}"#).is_err() && with(r#"{"write_rps": 0.0}"#).is_err());
}

#[test]
fn operators_settings_errors_name_the_line() {
    let t = Tuning::parse("<wallstile>\n <idle-s>60</idle-s>\n</wallstile>").unwrap();
    assert_eq!(t.idle_s, 60.0);
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
        let (l, m) = Tuning::parse(text).unwrap_err();
        assert!(l == line && m.contains(what), "{text:?}: line {l}: {m}");
    }
}
