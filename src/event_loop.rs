//! Watches for stalls of the event loop: times in which this process ran nothing of
//! what was due, because one task worked for long or the host gave it no processor time.
//!
//! Timers elapse during a stall, whatever a peer has sent meanwhile. [`timeout`] lets it be
//! read first, and a log line tells timeouts of other kinds apart from those that a peer
//! has caused.

use std::pin::pin;
use std::time::Duration;

use slog::Logger;
use slog::warn;
use thiserror::Error;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::units::millis;

#[cfg(test)]
mod tests;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest delay that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Time that an operation gets after a stall in which its limit has elapsed.
const AFTER_STALL: Duration = Duration::from_millis(250);

/// Time in which the event loop learns what has arrived before a timer that has elapsed.
pub const SETTLE_TIME: Duration = Duration::from_millis(5);

/// An operation has not ended before its timeout.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the operation timed out")]
pub struct Elapsed;

/// Runs `operation` for at most `limit`. If the limit elapses in a stall of the event
/// loop, the operation gets a short time to read what has arrived meanwhile.
///
/// # Errors
///
/// Fails if the operation does not end in time.
pub async fn timeout<F>(limit: Duration, operation: F) -> Result<F::Output, Elapsed>
where
    F: Future,
{
    let clock = Clock::new();
    let due = clock.now() + limit;
    let mut operation = pin!(operation);
    tokio::select! {
        biased;
        output = &mut operation => return Ok(output),
        () = actix_rt::time::sleep_until(clock.instant(due).into()) => {}
    }
    tokio::select! {
        biased;
        output = &mut operation => Ok(output),
        () = actix_rt::time::sleep(grace(due, clock.now())) => Err(Elapsed),
    }
}

/// Returns how long an operation whose limit elapsed at `due` may read what has arrived.
pub(crate) fn grace(due: Timestamp, now: Timestamp) -> Duration {
    match stall_at(due, now) {
        Some(_) => AFTER_STALL,
        None => SETTLE_TIME,
    }
}

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
