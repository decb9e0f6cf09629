use super::*;

fn machine_type() -> MachineType {
    serde_json::from_value(serde_json::json!({
        "sku": "small", "cores": 8.0, "ram_gb": 32.0, "price": 1.0, "market_price": 1.0, "startup_s": 30.0,
    }))
    .unwrap()
}

/// A healthy machine whose last heartbeat came at 100 s.
fn registered() -> Machine {
    let mut machine = Machine::new(String::new(), 0, 0, false, MonotonicTime(0));
    machine.up = true;
    machine.registration = Registration::Registered;
    machine.token_acknowledged = true;
    machine.last_heartbeat_at = MonotonicTime(100_000);
    machine
}

fn review(now: u64) -> Review {
    Review {
        now: MonotonicTime(now),
        loaded_at: MonotonicTime(0),
        lease: Millis(10_000),
        list_lag: Millis(1_000),
        is_overloaded: false,
        mass_suspicion: MassSuspicion { everywhere: false, routes: BTreeSet::new() },
        many_unacknowledged: false,
    }
}

fn reason(review: &Review, machine: &Machine) -> Option<String> {
    review.retirement_reason(machine, &machine_type()).map(|reason| reason.to_string())
}

#[test]
fn retirement_reason_suspects_a_machine_whose_heartbeats_are_late() {
    let machine = registered();
    assert_eq!(reason(&review(105_500), &machine), None);
    assert_eq!(reason(&review(105_501), &machine).as_deref(), Some("suspected, no heartbeat for_s=5.5"));
}

#[test]
fn retirement_reason_waits_longer_where_the_machine_is_unlikely_to_be_the_cause() {
    let machine = registered();
    let overloaded = Review { is_overloaded: true, ..review(130_000) };
    let everywhere = MassSuspicion { everywhere: true, routes: BTreeSet::new() };
    let everywhere = Review { mass_suspicion: everywhere, ..review(130_000) };
    let route = MassSuspicion { everywhere: false, routes: BTreeSet::from([None]) };
    let route = Review { mass_suspicion: route, ..review(130_000) };
    for (case, mut review) in [("overloaded", overloaded), ("everywhere", everywhere), ("route", route)] {
        assert_eq!(reason(&review, &machine), None, "{case}");
        review.now = MonotonicTime(130_001);
        assert!(reason(&review, &machine).is_some(), "{case}");
    }
}

#[test]
fn retirement_reason_gives_a_worker_a_lease_to_find_a_new_leader() {
    let mut machine = registered();
    machine.token_acknowledged = false;
    assert_eq!(reason(&review(110_000), &machine), None);
    assert!(reason(&review(110_001), &machine).is_some());
}

#[test]
fn retirement_reason_waits_for_a_machine_to_boot() {
    let machine = Machine::new(String::new(), 0, 0, false, MonotonicTime(0));
    assert_eq!(reason(&review(106_000), &machine), None);
    assert_eq!(reason(&review(106_001), &machine).as_deref(), Some("no heartbeat within its boot timeout"));
}

#[test]
fn retirement_reason_ignores_unacknowledged_tokens_while_many_machines_have_them() {
    let mut machine = registered();
    machine.unacknowledged_since = Some(MonotonicTime(90_000));
    assert_eq!(reason(&review(100_000), &machine), None);
    assert_eq!(
        reason(&review(100_001), &machine).as_deref(),
        Some("its fencing token was not acknowledged within a lease")
    );
    assert_eq!(reason(&Review { many_unacknowledged: true, ..review(100_001) }, &machine), None);
}

#[test]
fn retirement_reason_spares_reclaimed_and_quarantined_machines_until_they_are_reconciled() {
    let mut reclaimed = registered();
    reclaimed.spot_notice = true;
    let mut quarantined = registered();
    (quarantined.consecutive_failures, quarantined.quarantined_until) =
        (QUARANTINE_FAILURE_THRESHOLD, MonotonicTime(101_000));
    for (mut machine, expected) in
        [(reclaimed, "reclaimed by the cloud and empty"), (quarantined, "quarantined and empty")]
    {
        assert_eq!(reason(&review(100_000), &machine).as_deref(), Some(expected));
        machine.reconciled = false;
        assert_eq!(reason(&review(100_000), &machine), None, "{expected}");
    }
}

#[test]
fn is_mass_failure_needs_three_machines_and_more_than_a_third_of_all() {
    let cases = [((2, 2), false), ((3, 8), true), ((3, 9), false), ((4, 11), true)];
    for ((count, up), expected) in cases {
        assert_eq!(is_mass_failure(count, up), expected, "{count} of {up}");
    }
}
