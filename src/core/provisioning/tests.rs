use super::*;

#[test]
fn refusals_pause_an_instance_pool_for_longer_each_time_and_no_other() {
    let m = InstancePool { kind: 0, zone: 0, spot: true };
    let other = InstancePool { spot: false, ..m };
    let mut r = Provisioner::default();
    r.on_refused(m, MonotonicTime(0));
    assert!(!r.open(m, MonotonicTime(4_999)) && r.open(m, MonotonicTime(5_000)) && r.open(other, MonotonicTime(0)));
    r.on_refused(m, MonotonicTime(5_000));
    assert!(!r.open(m, MonotonicTime(14_999)) && r.open(m, MonotonicTime(15_000)));
    r.on_capacity_freed(m, MonotonicTime(5_500));
    assert!(!r.open(m, MonotonicTime(6_400)) && r.open(m, MonotonicTime(6_500)), "a machine has gone since");
    r.on_granted(m);
    r.on_refused(m, MonotonicTime(20_000));
    assert!(r.open(m, MonotonicTime(25_000)));
}
