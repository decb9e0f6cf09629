//! How long each input holds the core, and what it looked at. A controller has one thread: while the core works,
//! renewals, heartbeats and users wait.

use super::node::Node;
use super::rate_limited_log::RateLimitedLog;
use crate::core::cost::CostCounters;
use crate::time::{Millis, MonotonicTime};
use hdrhistogram::Histogram;
use log::{info, warn};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// How often the figures are logged.
const LOG_INTERVAL: Millis = Millis(10_000);
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

impl InputKind {
    fn name(self) -> &'static str {
        match self {
            InputKind::Tick => "tick",
            InputKind::Heartbeats => "heartbeats",
            InputKind::Plan => "plan",
            InputKind::PlanForPeer => "plan_for_peer",
            InputKind::Result => "result",
            InputKind::Load => "load",
        }
    }
}

/// The longest input since the last line.
struct LongestInput {
    input_kind: InputKind,
    took: Duration,
    cost: CostCounters,
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
    pub fn record(&mut self, now: MonotonicTime, input_kind: InputKind, took: Duration, cost: CostCounters) {
        let micros = (took.as_micros() as u64).clamp(1, MAX_RECORDED_MICROS);
        let histogram = self.histograms.entry(input_kind).or_insert_with(new_histogram);
        histogram.saturating_record(micros);
        if took >= SLOW_INPUT_THRESHOLD
            && let Some(count) = self.slow_inputs.record(now)
        {
            let (name, unlogged) = (input_kind.name(), count - 1);
            warn!("slow input: kind={name} took_ms={} {cost} unlogged={unlogged}", took.as_millis());
        }
        if self.longest.as_ref().is_none_or(|longest| took > longest.took) {
            self.longest = Some(LongestInput { input_kind, took, cost });
        }
    }

    /// The figures since the last call; none: there was no input.
    fn take_line(&mut self) -> Option<String> {
        let longest = self.longest.take()?;
        let mut line = String::new();
        for (input_kind, histogram) in std::mem::take(&mut self.histograms) {
            let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
            let (name, count) = (input_kind.name(), histogram.len());
            // Writing to a string can't fail.
            let _ = write!(
                line,
                "{name} n={count} p50={:.2} p99={:.2} max={:.2} ms; ",
                millis(0.5),
                millis(0.99),
                millis(1.0)
            );
        }
        let _ = write!(line, "longest: {} {}", longest.input_kind.name(), longest.cost);
        Some(line)
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 2).expect("the bounds are constants that fit")
}

/// Logs the figures of this controller for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL.to_std()).await;
        let now = node.now();
        let mut state = node.lock();
        let Some(line) = state.input_latency.take_line() else { continue };
        info!("inputs: {line}");
        let term = state.election.active_term(now);
        let (heartbeats, requests) = (state.heartbeat_relay.waiting(), state.user_requests);
        match (&state.scheduler, term) {
            (Some(scheduler), Some(term)) => {
                let load = scheduler.load_summary();
                info!("load: active term={term} {load} heartbeats={heartbeats} requests={requests}");
            }
            _ => info!("load: not active leader={:?} heartbeats={heartbeats} requests={requests}", state.leader_name),
        }
    }
}

#[cfg(test)]
mod tests;
