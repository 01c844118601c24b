//! How an attempt ends.

use std::time::Duration;

use crate::outcome::Outcome;
use crate::ticket::Refusal;

/// Result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The complete answer was relayed.
    Completed(Outcome),
    /// The upstream certainly did not run the request.
    NotRun(Refusal),
    /// The request was not sent, since the upstream wants none now; holds the time until
    /// it takes one.
    HeldOff(Duration),
    /// The exchange failed or the answer is incomplete; the request may have
    /// run.
    Interrupted,
    /// The answer has ended with its connection where it can go on, and whether it is
    /// complete shows only when its rest is asked for.
    Unconfirmed,
    /// The caller has disconnected and the work is cancelled.
    CallerDisconnected,
    /// The caller had disconnected before the request was sent.
    NotSent,
    /// The upstream is silent. Another one can be sought meanwhile; the attempt goes on
    /// with [`Attempt::run`].
    Silent,
    /// The timeout of the request has elapsed.
    TimedOut,
    /// The request was not sent, since it or a part of its prompt crashes upstreams; holds
    /// the time to the next attempt.
    Quarantined(Duration),
}

impl AttemptResult {
    /// Returns whether the upstream certainly did not run the request.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotRun(_) | Self::HeldOff(_) | Self::NotSent | Self::Quarantined(_)
        )
    }
}
