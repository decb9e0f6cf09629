use super::*;

const HEARD: Mono = Mono(10_000);

fn open() -> Forwarding {
    let mut forwarding = Forwarding::default();
    forwarding.heard_leader("plinth-1", Term(5), HEARD);
    forwarding.sent(Term(5), true);
    forwarding
}

fn destination(forwarding: &Forwarding) -> Option<&str> {
    forwarding.destination(HEARD).map(|leader| leader.name.as_str())
}

#[test]
fn reports_go_to_the_latest_leader_and_only_while_it_is_heard() {
    let mut forwarding = Forwarding::default();
    assert_eq!(destination(&forwarding), None);
    forwarding.heard_leader("plinth-1", Term(5), HEARD);
    assert_eq!(destination(&forwarding), Some("plinth-1"));
    forwarding.heard_leader("plinth-2", Term(4), HEARD);
    assert_eq!(destination(&forwarding), Some("plinth-1"), "an earlier term is over");
    forwarding.heard_leader("plinth-2", Term(6), HEARD);
    assert_eq!(destination(&forwarding), Some("plinth-2"));
    assert!(forwarding.destination(HEARD + HEARTBEAT_LIMIT + Span(1)).is_none(), "silent for too long");
}

#[test]
fn workers_wait_only_for_a_leader_that_has_answered_the_last_batch() {
    let mut forwarding = Forwarding::default();
    forwarding.heard_leader("plinth-1", Term(5), HEARD);
    assert!(!forwarding.is_open(HEARD) && forwarding.admit(Bytes::new(), HEARD).is_none(), "not tried yet");
    forwarding.sent(Term(5), true);
    assert!(forwarding.admit(Bytes::from_static(b"{}"), HEARD).is_some());
    assert_eq!(forwarding.take_waiting().len(), 1);
    forwarding.heard_leader("plinth-1", Term(5), HEARD);
    assert!(forwarding.is_open(HEARD), "a heartbeat changes nothing");
    forwarding.sent(Term(5), false);
    assert!(!forwarding.is_open(HEARD));
    forwarding.sent(Term(5), true);
    forwarding.heard_leader("plinth-2", Term(6), HEARD);
    assert!(!forwarding.is_open(HEARD), "another leader has yet to answer");
    forwarding.sent(Term(5), true);
    assert!(!forwarding.is_open(HEARD), "the one before has, late");
}

#[test]
fn a_strained_controller_takes_no_more_workers_but_serves_those_it_has() {
    let mut forwarding = open();
    assert!(forwarding.has_capacity(HEARD));
    (0..20).for_each(|_| forwarding.note_lag(Span(400)));
    assert!(!forwarding.has_capacity(HEARD) && forwarding.is_open(HEARD));
    (0..20).for_each(|_| forwarding.note_lag(Span(5)));
    assert!(forwarding.has_capacity(HEARD));
}

#[test]
fn what_waits_is_bounded_in_number_and_in_bytes() {
    let mut forwarding = open();
    let receivers: Vec<_> = (0..MAX_WAITING).map(|_| forwarding.admit(Bytes::new(), HEARD)).collect();
    assert!(receivers.iter().all(Option::is_some));
    assert!(forwarding.admit(Bytes::new(), HEARD).is_none(), "too many wait");
    assert_eq!(forwarding.take_waiting().len(), MAX_WAITING);

    let large = Bytes::from(vec![b' '; MAX_WAITING_BYTES]);
    assert!(forwarding.admit(large, HEARD).is_some());
    assert!(forwarding.admit(Bytes::new(), HEARD).is_none(), "too many bytes wait");
}
