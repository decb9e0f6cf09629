//! The log: lines on standard error at the level that operators set, with a bound on the rate of `debug`
//! lines. A leader under overload would otherwise spend its processor time on logging.

use env_logger::Logger;
use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The most `debug` lines written each second, on average.
const MAX_DEBUG_LINES_PER_SECOND: f64 = 500.0;
/// The most `debug` lines written at once.
const MAX_DEBUG_BURST: f64 = 2_000.0;

/// A token bucket for lines.
struct LineBudget {
    tokens: f64,
    /// Lines left out since the last that was written.
    left_out: u64,
}

impl LineBudget {
    /// Whether a line may be written `elapsed_s` seconds after the last call, and how many were left out
    /// before it.
    fn admit(&mut self, elapsed_s: f64) -> Option<u64> {
        self.tokens = (self.tokens + elapsed_s * MAX_DEBUG_LINES_PER_SECOND).min(MAX_DEBUG_BURST);
        if self.tokens < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// A logger that leaves out `debug` lines beyond a rate, and says how many.
struct BoundedLog {
    inner: Logger,
    /// With the time of its last use.
    debug_lines: Mutex<(LineBudget, Instant)>,
}

impl BoundedLog {
    fn admit(&self) -> Option<u64> {
        let mut guard = self.debug_lines.lock().unwrap_or_else(PoisonError::into_inner);
        let (budget, last_used) = &mut *guard;
        let now = Instant::now();
        let elapsed_s = (now - *last_used).as_secs_f64();
        *last_used = now;
        budget.admit(elapsed_s)
    }
}

impl Log for BoundedLog {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if !self.inner.matches(record) {
            return;
        }
        if record.level() >= Level::Debug {
            let Some(left_out) = self.admit() else { return };
            if left_out > 0 {
                let args = format_args!("debug lines left out: {left_out}");
                self.inner.log(&Record::builder().level(Level::Debug).target(record.target()).args(args).build());
            }
        }
        self.inner.log(record);
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Starts logging at a level such as `info`; `info` if the level isn't known. Later calls change nothing.
pub fn start(level: &str) {
    let inner = env_logger::Builder::new()
        .filter_level(LevelFilter::Error)
        .filter_module("wallstile", level.parse().unwrap_or(LevelFilter::Info))
        .format(|buffer, record| {
            let target = record.target().rsplit("::").next().unwrap_or_default();
            writeln!(buffer, "{} {target}: {}", record.level().as_str().to_lowercase(), record.args())
        })
        .build();
    let max_level = inner.filter();
    let budget = LineBudget { tokens: MAX_DEBUG_BURST, left_out: 0 };
    let log = BoundedLog { inner, debug_lines: Mutex::new((budget, Instant::now())) };
    if log::set_boxed_logger(Box::new(log)).is_ok() {
        log::set_max_level(max_level);
    }
}

#[cfg(test)]
mod tests;
