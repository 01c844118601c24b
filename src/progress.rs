//! Generation rate of an upstream from its reports on running requests.
//!
//! Without the reports, the pace of long answers would be known only after they
//! end. Until then a slow engine would look like one of unknown pace, and would
//! be given more work than a fast one.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// A running request as reported by an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningRequest {
    /// The id of the request at the upstream.
    pub id: Name,
    /// The number of tokens processed and generated so far.
    pub tokens: u64,
    /// Whether the answer has started.
    pub is_answering: bool,
}

/// The tokens generated between two reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Generated {
    /// The total over the requests that were answering at both reports.
    pub tokens: u64,
    /// The time between the reports, summed over these requests.
    pub request_time: Duration,
}

/// The requests that were answering at the last report.
#[derive(Debug, Default)]
pub struct Progress {
    last: Option<(Timestamp, HashMap<Name, u64>)>,
}

impl Progress {
    /// Creates a state without a report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report. Returns what was generated since the last one by the
    /// requests that were answering at both, or `None` if there are none.
    pub fn record(&mut self, now: Timestamp, running: &[RunningRequest]) -> Option<Generated> {
        let answering = running.iter().filter(|r| r.is_answering);
        let answering: HashMap<Name, u64> = answering.map(|r| (r.id.clone(), r.tokens)).collect();
        let (last_time, last_tokens) = self.last.replace((now, answering.clone()))?;
        let increments = answering.iter().filter_map(|(id, tokens)| {
            // A preempted request that is processed again has fewer tokens.
            tokens.checked_sub(*last_tokens.get(id)?)
        });
        let (count, tokens) =
            increments.fold((0, 0), |(n, sum), increment| (n + 1, sum + increment));
        (count > 0).then_some(Generated {
            tokens,
            request_time: now.since(last_time) * count,
        })
    }
}
