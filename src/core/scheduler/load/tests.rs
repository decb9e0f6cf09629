use super::*;

#[test]
fn load_meter_averages_the_lateness_of_ticks() {
    let mut load = LoadMeter::new(MonotonicTime(0));
    for tick in 1..=100 {
        load.record_tick(MonotonicTime(tick * TICK_INTERVAL.0));
    }
    assert_eq!(load.lag(), Millis(0));
    assert!(!load.is_overloaded());
    for tick in 1..=100 {
        load.record_tick(MonotonicTime(5_000 + tick * (TICK_INTERVAL.0 + 300)));
    }
    assert!((299..=300).contains(&load.lag().0));
    assert!(load.is_overloaded());
}
