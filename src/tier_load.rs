//! What each tier takes of an upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;

#[cfg(test)]
mod tests;

/// The time after which granted work counts for a third: some times the
/// longest wait, and less than a burst lasts.
const MEMORY: Duration = Duration::from_secs(2);

/// The time in slots that was granted to each tier, fading.
#[derive(Debug, Default)]
pub struct TierLoad {
    tiers: BTreeMap<u8, Fading>,
}

#[derive(Debug, Default)]
struct Fading {
    at: Timestamp,
    seconds: f64,
}

impl TierLoad {
    /// Nothing was granted yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes work that was granted to the tier of rank `order`, and its time
    /// in a slot in microseconds.
    pub fn record(&mut self, now: Timestamp, order: u8, cost: u64) {
        let tier = self.tiers.entry(order).or_default();
        tier.seconds = tier.seconds(now) + cost as f64 / 1e6;
        tier.at = now;
    }

    /// The slots that tiers higher than that of rank `order` fill.
    pub fn slots_above(&self, now: Timestamp, order: u8) -> f64 {
        let tiers = self.tiers.range(..order);
        let seconds: f64 = tiers.map(|(_, tier)| tier.seconds(now)).sum();
        seconds / MEMORY.as_secs_f64()
    }
}

impl Fading {
    fn seconds(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.seconds * (-age).exp()
    }
}
