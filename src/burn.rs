//! Service-level burn: how fast the error budget of an objective is used up.
//!
//! Burn is the part of bad requests divided by the part that the objective
//! allows. Following the published multi-window method, an alert needs a high
//! burn over a long window and over a short one that ends now, so that it is
//! neither late nor stays on after the trouble has ended.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Timestamp;
use crate::name::Name;
use crate::outcome::Outcome;

#[cfg(test)]
mod tests;

/// The length of one bucket.
const BUCKET: Duration = Duration::from_secs(300);

/// The buckets kept; they cover the longest window and the one under way.
const BUCKETS: u64 = 73;

/// Burn over one hour and five minutes that calls for someone at once: two
/// parts in a hundred of a month's budget in an hour.
const FAST_BURN: f64 = 14.4;

/// Burn over six hours and half an hour that calls for someone today: five
/// parts in a hundred of a month's budget in six hours.
const SLOW_BURN: f64 = 6.0;

/// A span of time that ends now.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Half an hour.
    #[serde(rename = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// All windows, the shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
    ];

    fn buckets(self) -> u64 {
        match self {
            Self::FiveMinutes => 1,
            Self::HalfHour => 6,
            Self::Hour => 12,
            Self::SixHours => 72,
        }
    }
}

/// Requests that count for an objective.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// All of them.
    pub total: u64,
    /// Those without a whole, useful answer in time.
    pub bad: u64,
}

impl Count {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }

    /// How fast the budget of `objective` is used up; 1 uses it up exactly.
    pub fn burn(&self, objective: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = self.bad as f64 / self.total as f64;
        bad / (1.0 - objective)
    }
}

/// Whose requests are counted.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BurnKey {
    /// The tier.
    pub tier: Name,
    /// The organisation.
    pub organisation: Name,
}

/// The counts of one tier and organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnRow {
    /// Whose requests are counted.
    #[serde(flatten)]
    pub key: BurnKey,
    /// The counts by window.
    pub windows: BTreeMap<Window, Count>,
    /// The outcomes over the longest window.
    pub outcomes: BTreeMap<Outcome, u64>,
}

/// What an alert asks for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// Nothing.
    None,
    /// Someone today.
    Slow,
    /// Someone at once.
    Fast,
}

/// The alert that the counts of the windows give rise to.
pub fn alert(windows: &BTreeMap<Window, Count>, objective: f64) -> Alert {
    let burn = |window| {
        let count = windows.get(&window).copied().unwrap_or_default();
        count.burn(objective)
    };
    let over = |limit, long, short| burn(long) >= limit && burn(short) >= limit;
    if over(FAST_BURN, Window::Hour, Window::FiveMinutes) {
        return Alert::Fast;
    }
    if over(SLOW_BURN, Window::SixHours, Window::HalfHour) {
        return Alert::Slow;
    }
    Alert::None
}

/// Counts outcomes by tier, organisation and time.
#[derive(Default)]
pub struct BurnLog {
    rows: BTreeMap<BurnKey, Row>,
}

/// Invariant: `buckets` is ordered by number and spans at most `BUCKETS`.
#[derive(Default)]
struct Row {
    buckets: VecDeque<(u64, BTreeMap<Outcome, u64>)>,
}

impl BurnLog {
    /// A log without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that ended.
    pub fn record(&mut self, now: Timestamp, key: BurnKey, outcome: Outcome) {
        let number = bucket(now);
        let row = self.rows.entry(key).or_default();
        row.forget(number);
        if row.buckets.back().is_none_or(|(last, _)| *last != number) {
            row.buckets.push_back((number, BTreeMap::new()));
        }
        if let Some((_, counts)) = row.buckets.back_mut() {
            *counts.entry(outcome).or_default() += 1;
        }
    }

    /// The counts of all windows that end now.
    pub fn rows(&self, now: Timestamp) -> Vec<BurnRow> {
        let number = bucket(now);
        let rows = self.rows.iter();
        rows.map(|(key, row)| row.summary(key, number)).collect()
    }
}

impl Row {
    fn forget(&mut self, number: u64) {
        while let Some((first, _)) = self.buckets.front()
            && first + BUCKETS <= number
        {
            self.buckets.pop_front();
        }
    }

    fn summary(&self, key: &BurnKey, number: u64) -> BurnRow {
        let mut outcomes: BTreeMap<Outcome, u64> = BTreeMap::new();
        let windows = Window::ALL.into_iter().map(|w| (w, Count::default()));
        let mut windows: BTreeMap<Window, Count> = windows.collect();
        for (at, counts) in &self.buckets {
            let count = count(counts);
            for (window, sum) in &mut windows {
                // The bucket under way comes on top of the full ones.
                if at + window.buckets() >= number {
                    sum.add(count);
                }
            }
            if at + Window::SixHours.buckets() >= number {
                for (outcome, n) in counts {
                    *outcomes.entry(*outcome).or_default() += n;
                }
            }
        }
        BurnRow {
            key: key.clone(),
            windows,
            outcomes,
        }
    }
}

fn bucket(now: Timestamp) -> u64 {
    now.since(Timestamp::default()).as_secs() / BUCKET.as_secs()
}

fn count(outcomes: &BTreeMap<Outcome, u64>) -> Count {
    let mut count = Count::default();
    for (outcome, n) in outcomes {
        if outcome.counts_for_objective() {
            count.total += n;
            count.bad += if *outcome == Outcome::good { 0 } else { *n };
        }
    }
    count
}
