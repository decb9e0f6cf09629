use super::*;

fn machine(n: u32) -> MachineId {
    MachineId::parse(&format!("m-{n}")).unwrap()
}

fn job(n: u32) -> JobId {
    JobId::parse(&format!("req-{n:06}")).unwrap()
}

const NEED: Resources = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 0.0, task_slots: 1.0 };

#[test]
fn reservation_is_used_once_or_released_with_its_job_or_expires() {
    let mut reservations = Reservations::default();
    for (m, j) in [(1, 1), (1, 1), (2, 1), (1, 2)] {
        reservations.add(MonotonicTime(0), machine(m), job(j), NEED);
    }
    assert_eq!((reservations.on_machine(&machine(1)).count(), reservations.for_job(&job(1)).count()), (3, 3));
    reservations.use_tasks(&job(1), &machine(1), 1);
    assert_eq!(reservations.for_job(&job(1)).count(), 2, "one task uses one reservation");
    assert_eq!(reservations.tasks_for_job(&job(1)), 2);
    reservations.release(&job(1));
    assert_eq!(reservations.jobs_after(None, 10), [job(2)]);
    reservations.expire(MonotonicTime(0) + RESERVATION_TTL);
    assert!(reservations.is_empty());
    assert!(
        reservations.by_machine.is_empty() && reservations.by_job.is_empty(),
        "expired reservations are removed from the indexes"
    );
}

#[test]
fn jobs_after_returns_jobs_round_robin() {
    let mut reservations = Reservations::default();
    for n in [1, 1, 1, 2, 3, 4] {
        reservations.add(MonotonicTime(0), machine(n), job(n), NEED);
    }
    assert_eq!(
        reservations.jobs_after(None, 2),
        [job(1)],
        "a job with more reservations than the limit is still returned"
    );
    assert_eq!(reservations.jobs_after(Some(job(1)), 2), [job(2), job(3)]);
    assert_eq!(reservations.jobs_after(Some(job(3)), 2), [job(4), job(1)], "wraps around after the last job");
    assert_eq!(reservations.jobs_after(Some(job(3)), 100).len(), 4, "each job once");
}

#[test]
fn reservation_of_many_tasks_shrinks_as_its_tasks_start() {
    let mut reservations = Reservations::default();
    reservations.add_tasks(MonotonicTime(0), machine(1), job(1), NEED, 100_000);
    reservations.add(MonotonicTime(0), machine(1), job(1), NEED);
    reservations.use_tasks(&job(1), &machine(1), 99_999);
    assert_eq!((reservations.len(), reservations.tasks_for_job(&job(1))), (2, 2));
    let reserved: Vec<f64> = reservations.on_machine(&machine(1)).map(|entry| entry.capacity().cpus).collect();
    assert_eq!(reserved, [1.0, 1.0]);
    reservations.use_tasks(&job(1), &machine(1), 2);
    assert!(reservations.is_empty());
}
