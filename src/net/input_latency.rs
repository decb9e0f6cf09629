//! Measures how long each input occupies the core, and how many objects the core examines for it. A controller has a
//! single thread, so lease renewals, heartbeats and users' requests wait while the core handles an input.

use super::rate_limited_log::RateLimitedLog;
use crate::core::cost::OperationCounts;
use crate::time::{Millis, MonotonicTime};
use hdrhistogram::Histogram;
use log::warn;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::Duration;

/// An input that the core takes at least this long to handle is logged in a line of its own.
const SLOW_INPUT_THRESHOLD: Duration = Duration::from_millis(250);
/// Minimum time between two log lines about slow inputs.
const SLOW_INPUT_LOG_INTERVAL: Millis = Millis(1_000);
/// Longest duration that the histograms record, in microseconds. Longer durations are recorded as this one.
const MAX_RECORDED_MICROS: u64 = 600_000_000;

/// The kind of an input that the core handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputKind {
    /// The scheduler's regular tick.
    Tick,
    /// A batch of workers' heartbeats.
    Heartbeats,
    /// A plan that a peer has returned for a round of this leader.
    Plan,
    /// Planning a shard for a leader that is another controller.
    PlanForPeer,
    /// Results of orders, store writes and look-ups, and changes reported by watches or peers.
    Result,
    /// Loading the cluster state from the key-value store after this controller has become leader.
    Load,
}

impl fmt::Display for InputKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            InputKind::Tick => "tick",
            InputKind::Heartbeats => "heartbeats",
            InputKind::Plan => "plan",
            InputKind::PlanForPeer => "plan_for_peer",
            InputKind::Result => "result",
            InputKind::Load => "load",
        })
    }
}

/// The input that took longest to handle since the last summary.
struct LongestInput {
    input_kind: InputKind,
    duration: Duration,
    operation_counts: OperationCounts,
}

/// How long the core took to handle each kind of input since the last summary.
pub struct InputLatency {
    histograms: BTreeMap<InputKind, Histogram<u64>>,
    longest: Option<LongestInput>,
    slow_input_log: RateLimitedLog,
}

impl Default for InputLatency {
    fn default() -> InputLatency {
        InputLatency {
            histograms: BTreeMap::new(),
            longest: None,
            slow_input_log: RateLimitedLog::new(SLOW_INPUT_LOG_INTERVAL),
        }
    }
}

impl InputLatency {
    /// Records an input that was received at `now` and has just been handled, which took `duration`. Logs slow inputs,
    /// at most one line per interval.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        input_kind: InputKind,
        duration: Duration,
        operation_counts: OperationCounts,
    ) {
        let micros = (duration.as_micros() as u64).clamp(1, MAX_RECORDED_MICROS);
        let histogram = self.histograms.entry(input_kind).or_insert_with(new_histogram);
        histogram.saturating_record(micros);
        if duration >= SLOW_INPUT_THRESHOLD
            && let Some(count) = self.slow_input_log.record(now)
        {
            let unlogged = count - 1;
            warn!(
                "slow input: kind={input_kind} took_ms={} {operation_counts} unlogged={unlogged}",
                duration.as_millis()
            );
        }
        if self.longest.as_ref().is_none_or(|longest| duration > longest.duration) {
            self.longest = Some(LongestInput { input_kind, duration, operation_counts });
        }
    }

    /// Returns a summary of the inputs since the last call, as the text of a log line, and resets it. Returns `None` if
    /// there was no input.
    pub(super) fn take_summary(&mut self) -> Option<String> {
        let longest = self.longest.take()?;
        let mut line = String::new();
        for (input_kind, histogram) in std::mem::take(&mut self.histograms) {
            let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
            let count = histogram.len();
            // Writing to a `String` can't fail.
            let _ = write!(
                line,
                "{input_kind} n={count} p50={:.2} p99={:.2} max={:.2} ms; ",
                millis(0.5),
                millis(0.99),
                millis(1.0)
            );
        }
        let _ = write!(line, "longest: {} {}", longest.input_kind, longest.operation_counts);
        Some(line)
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 2).expect("constant histogram bounds are valid")
}

#[cfg(test)]
mod tests;
