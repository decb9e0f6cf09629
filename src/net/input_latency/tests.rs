use super::*;

#[test]
fn summary_has_durations_of_inputs_and_operation_counts_of_the_longest() {
    let mut latency = InputLatency::default();
    assert_eq!(latency.take_summary(), None);
    let operation_counts = OperationCounts { machines: 4_000, tasks: 7, ..OperationCounts::default() };
    latency.record(MonotonicTime(0), InputKind::Tick, Duration::from_millis(3), operation_counts);
    latency.record(MonotonicTime(0), InputKind::Heartbeats, Duration::from_millis(1), OperationCounts::default());
    let summary = latency.take_summary().expect("there were inputs");
    assert!(summary.contains("tick n=1") && summary.contains("heartbeats n=1"), "{summary}");
    assert!(summary.contains("longest: tick jobs=0 machines=4000 tasks=7"), "{summary}");
    assert_eq!(latency.take_summary(), None, "each input appears in only one summary");
}

#[test]
fn slow_inputs_are_logged_at_a_bounded_rate() {
    let mut latency = InputLatency::default();
    for _ in 0..100 {
        latency.record(MonotonicTime(0), InputKind::Tick, Duration::from_millis(300), OperationCounts::default());
    }
    assert_eq!(latency.slow_input_log.unlogged(), 99);
}
