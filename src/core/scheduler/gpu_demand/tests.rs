use super::*;

#[test]
fn gpu_demand_decays_over_time() {
    let mut demand = GpuDemand::new(2, MonotonicTime(0));
    let mut spare_gpus = demand.update(MonotonicTime(0), vec![8.0, 8.0], &[8.0, 0.0], 4.0);
    assert!(!spare_gpus.take(0, 2.0), "all GPUs of the zone are in use");
    assert!(spare_gpus.take(1, 4.0) && !spare_gpus.take(1, 2.0), "waiting tasks need the other 4, in any zone");

    let soon = MonotonicTime((DEMAND_DECAY_S * 100.0) as u64);
    let mut spare_gpus = demand.update(soon, vec![8.0, 8.0], &[0.0, 0.0], 0.0);
    assert!(!spare_gpus.take(0, 2.0), "recent use still counts as demand");
    let later = soon + crate::time::Millis::from_secs_f64(DEMAND_DECAY_S);
    let mut spare_gpus = demand.update(later, vec![8.0, 8.0], &[0.0, 0.0], 0.0);
    assert!(spare_gpus.take(0, 8.0) && spare_gpus.take(1, 8.0));
}
