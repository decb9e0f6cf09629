//! Logging to standard error, at the level that operators set. The rate of `debug` lines is limited, as an overloaded
//! leader would otherwise spend its CPU time on logging.

use env_logger::Logger;
use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Maximum average rate of `debug` lines.
const MAX_DEBUG_LINES_PER_SECOND: f64 = 500.0;
/// Maximum number of `debug` lines written in a burst.
const MAX_DEBUG_BURST: f64 = 2_000.0;

/// A token bucket that limits the rate of `debug` lines.
struct LineRateLimiter {
    tokens: f64,
    /// Number of lines suppressed since the last one that was written.
    suppressed: u64,
}

impl LineRateLimiter {
    /// Decides whether to write a line that comes `elapsed_s` seconds after the previous call. Returns the number of
    /// lines suppressed since the last one that was written, or `None` if this line is suppressed as well.
    fn admit(&mut self, elapsed_s: f64) -> Option<u64> {
        self.tokens = (self.tokens + elapsed_s * MAX_DEBUG_LINES_PER_SECOND).min(MAX_DEBUG_BURST);
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// A logger that suppresses `debug` lines beyond a rate, and logs how many it has suppressed.
struct RateLimitedLogger {
    inner: Logger,
    /// The limiter for `debug` lines and the time of its last use.
    debug_limiter: Mutex<(LineRateLimiter, Instant)>,
}

impl RateLimitedLogger {
    /// Asks the limiter about a `debug` line; see [`LineRateLimiter::admit`].
    fn admit(&self) -> Option<u64> {
        let mut guard = self.debug_limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let (limiter, last_used) = &mut *guard;
        let now = Instant::now();
        let elapsed_s = (now - *last_used).as_secs_f64();
        *last_used = now;
        limiter.admit(elapsed_s)
    }
}

impl Log for RateLimitedLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if !self.inner.matches(record) {
            return;
        }
        if record.level() >= Level::Debug {
            let Some(suppressed) = self.admit() else { return };
            if suppressed > 0 {
                let args = format_args!("debug lines suppressed by the rate limit: {suppressed}");
                self.inner.log(&Record::builder().level(Level::Debug).target(record.target()).args(args).build());
            }
        }
        self.inner.log(record);
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Installs the logger, at a level such as `info`. An unknown level is treated as `info`. Calls after the first have no
/// effect.
pub fn init(level: &str) {
    let inner = env_logger::Builder::new()
        .filter_level(LevelFilter::Error)
        .filter_module("wallstile", level.parse().unwrap_or(LevelFilter::Info))
        .format(|buffer, record| {
            let target = record.target().rsplit("::").next().unwrap_or_default();
            writeln!(buffer, "{} {target}: {}", record.level().as_str().to_lowercase(), record.args())
        })
        .build();
    let max_level = inner.filter();
    let limiter = LineRateLimiter { tokens: MAX_DEBUG_BURST, suppressed: 0 };
    let logger = RateLimitedLogger { inner, debug_limiter: Mutex::new((limiter, Instant::now())) };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(max_level);
    }
}

#[cfg(test)]
mod tests;
