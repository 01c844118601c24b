//! When a request that waits for room has something to do by the clock.

use crate::clock::Moment;

#[cfg(test)]
mod tests;

/// What is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Waiting has lasted too long.
    Patience,
    /// Upstreams are to be looked for again.
    Look,
    /// The answers to the first tickets were collected for long enough.
    Collected,
}

/// The moments for which a request waits. One that has passed while the entry
/// was busy is still due.
#[derive(Debug, Default)]
pub struct Wakes {
    collected: Option<Moment>,
    look: Option<Moment>,
}

impl Wakes {
    /// Nothing is waited for.
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers are collected until `at`.
    pub fn collect_until(&mut self, at: Moment) {
        self.collected = Some(at);
    }

    /// Upstreams are looked for at `at`.
    pub fn look_at(&mut self, at: Moment) {
        self.look = Some(at);
    }

    /// The next moment at which something is due, `patience` at the latest.
    pub fn next(&self, patience: Moment) -> Moment {
        let moments = [self.collected, self.look].into_iter().flatten();
        moments.fold(patience, Moment::min)
    }

    /// Takes what is due now, if anything is.
    pub fn due(&mut self, now: Moment, patience: Moment) -> Option<Due> {
        if now >= patience {
            return Some(Due::Patience);
        }
        if self.look.take_if(|at| *at <= now).is_some() {
            return Some(Due::Look);
        }
        let collected = self.collected.take_if(|at| *at <= now);
        collected.map(|_| Due::Collected)
    }
}
