use super::*;

#[test]
fn latency_line_says_how_long_steps_took_and_what_the_longest_cost() {
    let mut times = InputLatency::default();
    assert_eq!(times.take_line(), None);
    let cost = CostCounters { machines: 4_000, tasks: 7, ..CostCounters::default() };
    times.record(MonotonicTime(0), InputKind::Tick, Duration::from_millis(3), cost);
    times.record(MonotonicTime(0), InputKind::Heartbeats, Duration::from_millis(1), CostCounters::default());
    let line = times.take_line().expect("there were steps");
    assert!(line.contains("tick n=1") && line.contains("reports n=1"), "{line}");
    assert!(line.contains("longest: tick jobs=0 machines=4000 tasks=7"), "{line}");
    assert_eq!(times.take_line(), None, "each step is in one line");
}

#[test]
fn long_steps_are_logged_at_a_bounded_rate() {
    let mut times = InputLatency::default();
    for _ in 0..100 {
        times.record(MonotonicTime(0), InputKind::Tick, Duration::from_millis(300), CostCounters::default());
    }
    assert_eq!(times.long_steps.unlogged(), 99);
}
