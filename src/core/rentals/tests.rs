use super::*;

#[test]
fn refusals_pause_a_market_for_longer_each_time_and_no_other() {
    let m = Market { kind: 0, zone: 0, spot: true };
    let other = Market { spot: false, ..m };
    let mut r = Rentals::default();
    r.refused(m, Mono(0));
    assert!(!r.open(m, Mono(4_999)) && r.open(m, Mono(5_000)) && r.open(other, Mono(0)));
    r.refused(m, Mono(5_000));
    assert!(!r.open(m, Mono(14_999)) && r.open(m, Mono(15_000)));
    r.freed(m, Mono(5_500));
    assert!(!r.open(m, Mono(6_400)) && r.open(m, Mono(6_500)), "a machine has gone since");
    r.granted(m);
    r.refused(m, Mono(20_000));
    assert!(r.open(m, Mono(25_000)));
}
