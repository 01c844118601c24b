//! How fast an upstream generates, from what it says of its running requests.
//!
//! The pace of long answers would else be known only once they have ended:
//! until then a slow engine looks like one of which nothing is known, and is
//! given more work than a fast one.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// What an upstream says of a running request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningRequest {
    /// Its id, as the upstream knows it.
    pub id: Name,
    /// Tokens processed and generated so far.
    pub tokens: u64,
    /// Whether its answer has begun.
    pub is_answering: bool,
}

/// Tokens that were generated between two reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Generated {
    /// Tokens of all requests that were answering at both.
    pub tokens: u64,
    /// The time for which these requests generated, summed.
    pub took: Duration,
}

/// The requests that were answering at the last report.
#[derive(Debug, Default)]
pub struct Progress {
    last: Option<(Timestamp, HashMap<Name, u64>)>,
}

impl Progress {
    /// Nothing was reported yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report. Says what was generated since the last one by the
    /// requests that were answering then and still are.
    pub fn record(&mut self, now: Timestamp, running: &[RunningRequest]) -> Option<Generated> {
        let answering = running.iter().filter(|r| r.is_answering);
        let answering: HashMap<Name, u64> = answering.map(|r| (r.id.clone(), r.tokens)).collect();
        let (before, known) = self.last.replace((now, answering.clone()))?;
        let gains = answering.iter().filter_map(|(id, tokens)| {
            // One that was put back and is processed again has fewer.
            tokens.checked_sub(*known.get(id)?)
        });
        let (count, tokens) = gains.fold((0, 0), |(n, sum), gain| (n + 1, sum + gain));
        (count > 0).then_some(Generated {
            tokens,
            took: now.since(before) * count,
        })
    }
}
