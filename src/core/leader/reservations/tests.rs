use super::*;

#[test]
fn a_reservation_is_used_once_released_with_its_job_or_expires() {
    let machine = |n: u32| MachineId::parse(&format!("m-{n}")).unwrap();
    let job = |n: u32| JobId::parse(&format!("req-{n:06}")).unwrap();
    let need = Amount { cpus: 1.0, ..Amount::default() };
    let mut reservations = Reservations::default();
    for (m, j) in [(1, 1), (1, 1), (2, 1), (1, 2)] {
        reservations.add(Mono(0), machine(m), job(j), need);
    }
    assert_eq!((reservations.on(&machine(1)).count(), reservations.of(&job(1)).count()), (3, 3));
    reservations.use_one(&job(1), &machine(1));
    assert_eq!(reservations.of(&job(1)).count(), 2, "one task, one reservation");
    reservations.release(&job(1));
    assert_eq!(reservations.jobs(), BTreeSet::from([job(2)]));
    reservations.expire(Mono(0) + RESERVED_FOR);
    assert!(reservations.is_empty());
}
