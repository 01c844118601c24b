//! Watches for stalls of the event loop: times in which this process ran nothing of
//! what was due, because one task worked for long or the host gave it no processor time.
//!
//! All timeouts of the process elapse during a stall, so a log line tells them apart
//! from timeouts that a peer has caused.

use std::time::Duration;

use slog::Logger;
use slog::warn;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::units::millis;

#[cfg(test)]
mod tests;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest stall that is logged.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Logs each stall after its end. Never returns.
pub async fn log_stalls(log: Logger) {
    let clock = Clock::new();
    loop {
        let due = clock.now() + CHECK_INTERVAL;
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if let Some(stall) = stall_at(due, clock.now()) {
            warn!(log, "event loop was stalled"; "milliseconds" => millis(stall));
        }
    }
}

/// Returns the length of the stall that has ended at `now`, if a check was due at `due`.
fn stall_at(due: Timestamp, now: Timestamp) -> Option<Duration> {
    let late = now.since(due);
    (late >= MIN_STALL).then_some(late)
}
