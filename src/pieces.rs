//! Work that is done in pieces, so that the other tasks of the thread go on meanwhile.

use std::time::Duration;
use std::time::Instant;

use actix_rt::task::yield_now;

#[cfg(test)]
mod tests;

/// Number of pieces in one turn of the event loop. It is a compromise between the pause
/// of the other tasks and the share of the thread that the work gets beside them.
const PIECES_PER_TURN: u32 = 16;

/// What it took to do work in pieces.
#[derive(Clone, Copy, Debug)]
pub struct PiecesDone {
    /// Number of pieces.
    pub count: u32,
    /// Time from the first piece to the end of the last.
    pub elapsed: Duration,
    /// Time that the pieces took.
    pub work: Duration,
}

/// Calls `step` until it returns a result, and lets every other task of the thread that
/// is ready run after some pieces.
///
/// Other tasks can't starve the work: it is always ready, so it gets a turn in each
/// round of the event loop, and a round polls each of the other tasks a bounded number
/// of times.
pub async fn run_in_pieces<F, T>(mut step: F) -> (T, PiecesDone)
where
    F: FnMut() -> Option<T>,
{
    let started = Instant::now();
    let mut count = 0;
    let mut work = Duration::ZERO;
    loop {
        let turn_started = Instant::now();
        for _ in 0..PIECES_PER_TURN {
            count += 1;
            if let Some(result) = step() {
                let done = PiecesDone {
                    count,
                    elapsed: started.elapsed(),
                    work: work + turn_started.elapsed(),
                };
                return (result, done);
            }
        }
        work += turn_started.elapsed();
        yield_now().await;
    }
}
