//! Exponential backoff with jitter for queries to a platform.

use std::time::Duration;

use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::time::Instant;

use crate::object_store::StoreError;
use crate::units::millis;

#[cfg(test)]
mod tests;

/// The time from the start of the first failed call to the next one, and the
/// shortest pause between two calls, before jitter.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The longest time from the start of a failed call to the next one, before jitter.
/// The time doubles with each failure. It bounds how late the end of an outage is
/// noticed.
const RETRY_MAX: Duration = Duration::from_millis(600);

/// The backoff of one task. Logs when the platform stops answering and when it
/// answers again.
pub struct Backoff {
    /// What the task queries, for the log.
    subject: &'static str,
    interval: Duration,
    /// The number of failed calls since the last success.
    failures: u32,
    call_started: Instant,
    /// When the first of the failed calls was started.
    failing_since: Instant,
    log: Logger,
}

impl Backoff {
    /// Creates the backoff of a task that queries `subject`.
    pub fn new(subject: &'static str, log: Logger) -> Self {
        let now = Instant::now();
        Self {
            subject,
            interval: RETRY_MIN,
            failures: 0,
            call_started: now,
            failing_since: now,
            log,
        }
    }

    /// Records that a call starts.
    pub fn begin_call(&mut self) {
        self.call_started = Instant::now();
    }

    /// Returns whether the last call has failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records that the call has succeeded.
    pub fn record_success(&mut self) {
        if self.failures > 0 {
            info!(self.log, "platform answers again";
                "about" => self.subject,
                "failures" => self.failures,
                "after_ms" => millis(self.failing_since.elapsed()));
        }
        self.failures = 0;
        self.interval = RETRY_MIN;
    }

    /// Records that the call has failed, and waits before the next one.
    pub async fn wait_after_failure(&mut self, e: &StoreError) {
        if self.failures == 0 {
            self.failing_since = self.call_started;
            // The duration tells a call that failed at once from one that was not
            // answered.
            warn!(self.log, "platform does not answer";
                "about" => self.subject,
                "error" => %e,
                "call_ms" => millis(self.call_started.elapsed()));
        }
        self.failures = self.failures.saturating_add(1);
        let jitter = rand::rng().random_range(0.5..1.0);
        let rest = self.interval.saturating_sub(self.call_started.elapsed());
        let pause = rest.max(RETRY_MIN).mul_f64(jitter);
        actix_rt::time::sleep(pause).await;
        self.interval = RETRY_MAX.min(self.interval * 2);
    }
}
