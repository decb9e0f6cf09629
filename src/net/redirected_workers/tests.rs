use super::*;

fn send(workers: &mut RedirectedWorkers, at: u64, leader: &str) -> Option<String> {
    workers.record("m-000010", MonotonicTime(at), Some(leader.into()))
}

#[test]
fn a_worker_that_has_waited_in_vain_is_not_sent_back() {
    let mut workers = RedirectedWorkers::default();
    assert!(send(&mut workers, 20_000, "plinth-1").is_some());
    assert!(send(&mut workers, 21_000, "plinth-1").is_some(), "turned away at once");
    assert!(send(&mut workers, 26_000, "plinth-1").is_none(), "it has waited there");
    assert!(send(&mut workers, 31_000, "plinth-2").is_some(), "another leader");
    assert!(send(&mut workers, 40_000, "plinth-2").is_some(), "that is long ago");
    assert!(workers.record("m-000010", MonotonicTime(41_000), None).is_none(), "no leader is known");
}

#[test]
fn machines_that_have_tried_here_lately_are_named_in_the_order_asked() {
    let mut workers = RedirectedWorkers::default();
    for (machine, at) in [("m-1", 1_000), ("m-2", 9_000), ("m-3", 9_500)] {
        workers.record(machine, MonotonicTime(at), None);
    }
    let asked = ["m-3", "m-4", "m-2", "m-1"].map(String::from);
    assert_eq!(workers.among(&asked, MonotonicTime(9_600)), ["m-3", "m-2"]);
}
