//! How long each input holds the core, and what it looked at. A controller has one thread: while the core works,
//! renewals, heartbeats and users wait.

use super::rate_limited_log::RateLimitedLog;
use crate::core::cost::OperationCounts;
use crate::time::{Millis, MonotonicTime};
use hdrhistogram::Histogram;
use log::warn;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::Duration;

/// An input that takes this long gets a line of its own.
const SLOW_INPUT_THRESHOLD: Duration = Duration::from_millis(250);
/// At most one such line in this time.
const SLOW_INPUT_LOG_INTERVAL: Millis = Millis(1_000);
/// Longest time that the histograms tell apart, in microseconds.
const MAX_RECORDED_MICROS: u64 = 600_000_000;

/// What the core was given to work on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputKind {
    /// The scheduler's regular tick.
    Tick,
    /// Heartbeats of workers that came together.
    Heartbeats,
    /// A peer's plan for a round of this leader.
    Plan,
    /// Planning for another leader.
    PlanForPeer,
    /// Results of orders, writes and look-ups, and what the watches say.
    Result,
    /// Reading the stored state on becoming leader.
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

/// The longest input since the last line.
struct LongestInput {
    input_kind: InputKind,
    took: Duration,
    cost: OperationCounts,
}

/// Times of inputs since the last line.
pub struct InputLatency {
    histograms: BTreeMap<InputKind, Histogram<u64>>,
    longest: Option<LongestInput>,
    slow_inputs: RateLimitedLog,
}

impl Default for InputLatency {
    fn default() -> InputLatency {
        InputLatency {
            histograms: BTreeMap::new(),
            longest: None,
            slow_inputs: RateLimitedLog::new(SLOW_INPUT_LOG_INTERVAL),
        }
    }
}

impl InputLatency {
    /// Takes in an input that began at `now` and has just been handled.
    pub fn record(&mut self, now: MonotonicTime, input_kind: InputKind, took: Duration, cost: OperationCounts) {
        let micros = (took.as_micros() as u64).clamp(1, MAX_RECORDED_MICROS);
        let histogram = self.histograms.entry(input_kind).or_insert_with(new_histogram);
        histogram.saturating_record(micros);
        if took >= SLOW_INPUT_THRESHOLD
            && let Some(count) = self.slow_inputs.record(now)
        {
            let unlogged = count - 1;
            warn!("slow input: kind={input_kind} took_ms={} {cost} unlogged={unlogged}", took.as_millis());
        }
        if self.longest.as_ref().is_none_or(|longest| took > longest.took) {
            self.longest = Some(LongestInput { input_kind, took, cost });
        }
    }

    /// The figures since the last call; none: there was no input.
    pub(super) fn take_line(&mut self) -> Option<String> {
        let longest = self.longest.take()?;
        let mut line = String::new();
        for (input_kind, histogram) in std::mem::take(&mut self.histograms) {
            let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
            let count = histogram.len();
            // Writing to a string can't fail.
            let _ = write!(
                line,
                "{input_kind} n={count} p50={:.2} p99={:.2} max={:.2} ms; ",
                millis(0.5),
                millis(0.99),
                millis(1.0)
            );
        }
        let _ = write!(line, "longest: {} {}", longest.input_kind, longest.cost);
        Some(line)
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 2).expect("the bounds are constants that fit")
}

#[cfg(test)]
mod tests;
