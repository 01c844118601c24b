//! Turns of connections that transfer settings.
//!
//! All agents of an entry learn of new settings within moments. Without turns, an entry that
//! is behind fetches the same settings over each connection at once, and its host's link
//! carries nothing else for that time.

use std::pin::pin;
use std::time::Duration;

use tokio::sync::Mutex;

#[cfg(test)]
mod tests;

/// The longest time for which a connection waits for its turn. Heartbeats go on after it.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The time after which a transfer that has not ended no longer keeps others back. Its
/// connection may have gone silent.
const TURN_TIME: Duration = Duration::from_secs(2);

/// Lets the connections of an entry transfer settings one after the other.
#[derive(Debug, Default)]
pub struct TransferTurns {
    turn: Mutex<()>,
}

impl TransferTurns {
    /// Creates turns of which none is taken.
    pub fn new() -> Self {
        Self::default()
    }

    /// Runs `transfer` when it is its turn, and returns its output. Returns `None` if the
    /// transfer isn't needed any more by then, or if the wait is too long.
    pub async fn run<N, F>(&self, is_needed: N, transfer: F) -> Option<F::Output>
    where
        N: Fn() -> bool,
        F: Future,
    {
        let turn = actix_rt::time::timeout(MAX_WAIT, self.turn.lock()).await;
        let turn = turn.ok()?;
        if !is_needed() {
            return None;
        }
        let mut transfer = pin!(transfer);
        tokio::select! {
            biased;
            output = &mut transfer => return Some(output),
            () = actix_rt::time::sleep(TURN_TIME) => drop(turn),
        }
        Some(transfer.await)
    }
}
