use super::*;

#[test]
fn a_line_says_how_long_inputs_took_and_what_the_longest_looked_at() {
    let mut times = InputLatency::default();
    assert_eq!(times.take_line(), None);
    let cost = OperationCounts { machines: 4_000, tasks: 7, ..OperationCounts::default() };
    times.record(MonotonicTime(0), InputKind::Tick, Duration::from_millis(3), cost);
    times.record(MonotonicTime(0), InputKind::Heartbeats, Duration::from_millis(1), OperationCounts::default());
    let line = times.take_line().expect("there were inputs");
    assert!(line.contains("tick n=1") && line.contains("heartbeats n=1"), "{line}");
    assert!(line.contains("longest: tick jobs=0 machines=4000 tasks=7"), "{line}");
    assert_eq!(times.take_line(), None, "each input is in one line");
}

#[test]
fn slow_inputs_are_logged_at_a_bounded_rate() {
    let mut times = InputLatency::default();
    for _ in 0..100 {
        times.record(MonotonicTime(0), InputKind::Tick, Duration::from_millis(300), OperationCounts::default());
    }
    assert_eq!(times.slow_inputs.unlogged(), 99);
}
