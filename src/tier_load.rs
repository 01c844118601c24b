//! Recent load of an upstream by tier.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ticket::Rank;

#[cfg(test)]
mod tests;

/// The time constant of the exponential decay of sent work: several times the
/// longest wait, but shorter than common bursts, which last a few seconds.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// The slot time of the recently sent work of each tier.
#[derive(Debug, Default)]
pub struct TierLoad {
    tiers: BTreeMap<Rank, DecayingSum>,
}

/// A sum of seconds with exponential decay.
#[derive(Debug, Default)]
struct DecayingSum {
    updated: Timestamp,
    seconds: f64,
}

impl TierLoad {
    /// Creates a state without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records sent work of the tier of this rank. `cost` is its expected slot
    /// time in microseconds; a cost in tokens, while the pace of the upstream
    /// is unknown, counts as microseconds too.
    pub fn record(&mut self, now: Timestamp, rank: Rank, cost: u64) {
        let tier = self.tiers.entry(rank).or_default();
        tier.seconds = tier.seconds(now) + cost as f64 / 1e6;
        tier.updated = now;
    }

    /// Returns the mean number of slots recently used by the tiers above this
    /// rank.
    pub fn slots_above(&self, now: Timestamp, rank: Rank) -> f64 {
        let tiers = self.tiers.range(..rank);
        let seconds: f64 = tiers.map(|(_, tier)| tier.seconds(now)).sum();
        seconds / DECAY_TIME.as_secs_f64()
    }
}

impl DecayingSum {
    fn seconds(&self, now: Timestamp) -> f64 {
        let age_in_decay_times = now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.seconds * (-age_in_decay_times).exp()
    }
}
