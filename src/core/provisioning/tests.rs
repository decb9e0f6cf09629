use super::*;

#[test]
fn provisioner_backs_off_exponentially_and_only_from_the_refused_pool() {
    let pool = InstancePool { kind: 0, zone: 0, spot: true };
    let other = InstancePool { spot: false, ..pool };
    let mut provisioner = Provisioner::default();
    let may_request = |provisioner: &Provisioner, at| provisioner.may_request(pool, MonotonicTime(at));
    provisioner.on_refused(pool, MonotonicTime(0));
    assert!(
        !may_request(&provisioner, 4_999)
            && may_request(&provisioner, 5_000)
            && provisioner.may_request(other, MonotonicTime(0))
    );
    provisioner.on_refused(pool, MonotonicTime(5_000));
    assert!(!may_request(&provisioner, 14_999) && may_request(&provisioner, 15_000));
    provisioner.on_capacity_freed(pool, MonotonicTime(5_500));
    assert!(!may_request(&provisioner, 6_400) && may_request(&provisioner, 6_500), "a machine of the pool is gone");
    provisioner.on_granted(pool);
    provisioner.on_refused(pool, MonotonicTime(20_000));
    assert!(may_request(&provisioner, 25_000));
}
