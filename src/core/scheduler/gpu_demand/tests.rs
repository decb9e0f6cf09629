use super::*;

#[test]
fn gpu_demand_is_remembered_for_a_while() {
    let mut demand = GpuDemand::new(2, MonotonicTime(0));
    let mut unwanted = demand.update(MonotonicTime(0), vec![8.0, 8.0], &[8.0, 0.0], 4.0);
    assert!(!unwanted.take(0, 2.0), "all in use");
    assert!(unwanted.take(1, 4.0) && !unwanted.take(1, 2.0), "the rest is waited for, in whatever zone");

    let soon = MonotonicTime((MEMORY_S * 100.0) as u64);
    let mut unwanted = demand.update(soon, vec![8.0, 8.0], &[0.0, 0.0], 0.0);
    assert!(!unwanted.take(0, 2.0), "in use until a moment ago");
    let later = soon + crate::time::Millis::from_secs_f64(MEMORY_S);
    let mut unwanted = demand.update(later, vec![8.0, 8.0], &[0.0, 0.0], 0.0);
    assert!(unwanted.take(0, 8.0) && unwanted.take(1, 8.0));
}
