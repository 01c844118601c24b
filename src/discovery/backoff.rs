//! Exponential backoff with jitter for queries to a platform.

use std::time::Duration;

use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::time::Instant;

use crate::object_store::StoreError;
use crate::units::millis;

/// The pause after the first failed query, before jitter.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The longest pause between retries, before jitter. The pause doubles with
/// each failure.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// The backoff of one task. Logs when the platform stops answering and when it
/// answers again.
pub struct Backoff {
    /// What the task queries, for the log.
    subject: &'static str,
    pause: Duration,
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
            pause: RETRY_MIN,
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
        self.pause = RETRY_MIN;
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
        actix_rt::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = RETRY_MAX.min(self.pause * 2);
    }
}
