use super::*;

fn redirect(workers: &mut RedirectedWorkers, at: u64, leader: &str) -> Option<String> {
    workers.record("m-000010", MonotonicTime(at), Some(leader.into()))
}

#[test]
fn worker_that_timed_out_at_the_leader_is_not_redirected_there_again() {
    let mut workers = RedirectedWorkers::default();
    assert!(redirect(&mut workers, 20_000, "plinth-1").is_some());
    assert!(redirect(&mut workers, 21_000, "plinth-1").is_some(), "refused there at once");
    assert!(redirect(&mut workers, 26_000, "plinth-1").is_none(), "timed out there");
    assert!(redirect(&mut workers, 31_000, "plinth-2").is_some(), "another leader");
    assert!(redirect(&mut workers, 40_000, "plinth-2").is_some(), "the last redirect has expired");
    assert!(workers.record("m-000010", MonotonicTime(41_000), None).is_none(), "no leader is known");
}

#[test]
fn recently_redirected_machines_are_returned_in_the_order_asked() {
    let mut workers = RedirectedWorkers::default();
    for (machine, at) in [("m-1", 1_000), ("m-2", 9_000), ("m-3", 9_500)] {
        workers.record(machine, MonotonicTime(at), None);
    }
    let asked = ["m-3", "m-4", "m-2", "m-1"].map(String::from);
    assert_eq!(workers.filter_recent(&asked, MonotonicTime(9_600)), ["m-3", "m-2"]);
}
