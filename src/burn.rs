//! Service-level burn: how fast the error budget of an objective is used up.
//!
//! The burn rate is the fraction of bad requests divided by the fraction that
//! the objective allows. As in the published multi-window method, an alert needs
//! a high burn rate over a long window and over a short window, both ending now.
//! The alert then starts early and stops soon after the failures stop.

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

/// The time covered by one bucket.
const BUCKET_LENGTH: Duration = Duration::from_secs(300);

/// The maximum number of buckets: those of the longest window and the current
/// one.
const MAX_BUCKETS: u64 = 73;

/// The burn rate over one hour and five minutes that raises a fast alert: 2 % of
/// a month's budget in one hour.
const FAST_BURN: f64 = 14.4;

/// The burn rate over six hours and half an hour that raises a slow alert: 5 %
/// of a month's budget in six hours.
const SLOW_BURN: f64 = 6.0;

/// A time window that ends now.
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
    /// All windows, in ascending order of length.
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

/// The number of requests that count for an objective.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCount {
    /// All requests that count.
    pub total: u64,
    /// The requests without a complete, useful answer within the deadline.
    pub bad: u64,
}

impl RequestCount {
    /// Adds `other` to this count.
    pub fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }

    /// Returns the burn rate for `objective`, the fraction of requests that should
    /// be good. At a rate of 1 the error budget is used up exactly at the end of
    /// its period.
    pub fn burn(&self, objective: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = self.bad as f64 / self.total as f64;
        bad / (1.0 - objective)
    }
}

/// The tier and organisation by which requests are counted.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BurnKey {
    /// The tier of the requests.
    pub tier: Name,
    /// The organisation that sent the requests.
    pub organisation: Name,
}

/// The counts of one tier and organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnRow {
    /// The tier and organisation.
    #[serde(flatten)]
    pub key: BurnKey,
    /// The counts by window.
    pub windows: BTreeMap<Window, RequestCount>,
    /// The number of requests by outcome over the longest window.
    pub outcomes: BTreeMap<Outcome, u64>,
}

/// The urgency of an alert.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// No alert.
    None,
    /// Needs attention within the day.
    Slow,
    /// Needs immediate attention.
    Fast,
}

/// Returns the alert for the counts of `windows` and the fraction `objective` of
/// requests that should be good.
pub fn alert(windows: &BTreeMap<Window, RequestCount>, objective: f64) -> Alert {
    let burn = |window| {
        let count = windows.get(&window).copied().unwrap_or_default();
        count.burn(objective)
    };
    let exceeds = |limit, long, short| burn(long) >= limit && burn(short) >= limit;
    if exceeds(FAST_BURN, Window::Hour, Window::FiveMinutes) {
        return Alert::Fast;
    }
    if exceeds(SLOW_BURN, Window::SixHours, Window::HalfHour) {
        return Alert::Slow;
    }
    Alert::None
}

/// Counts outcomes by tier, organisation and time bucket.
#[derive(Default)]
pub struct BurnLog {
    rows: BTreeMap<BurnKey, OutcomeHistory>,
}

/// The outcomes of one tier and organisation, by bucket number.
///
/// Invariant: the numbers in `buckets` ascend and span at most `MAX_BUCKETS`.
#[derive(Default)]
struct OutcomeHistory {
    buckets: VecDeque<(u64, BTreeMap<Outcome, u64>)>,
}

impl BurnLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that ended at `now`.
    pub fn record(&mut self, now: Timestamp, key: BurnKey, outcome: Outcome) {
        let number = bucket_number(now);
        let row = self.rows.entry(key).or_default();
        row.drop_expired(number);
        if row.buckets.back().is_none_or(|(last, _)| *last != number) {
            row.buckets.push_back((number, BTreeMap::new()));
        }
        if let Some((_, counts)) = row.buckets.back_mut() {
            *counts.entry(outcome).or_default() += 1;
        }
    }

    /// Returns the counts of all windows that end at `now`.
    pub fn rows(&self, now: Timestamp) -> Vec<BurnRow> {
        let number = bucket_number(now);
        let rows = self.rows.iter();
        rows.map(|(key, row)| row.summary(key, number)).collect()
    }
}

impl OutcomeHistory {
    fn drop_expired(&mut self, number: u64) {
        while let Some((first, _)) = self.buckets.front()
            && first + MAX_BUCKETS <= number
        {
            self.buckets.pop_front();
        }
    }

    fn summary(&self, key: &BurnKey, number: u64) -> BurnRow {
        let mut outcomes: BTreeMap<Outcome, u64> = BTreeMap::new();
        let windows = Window::ALL
            .into_iter()
            .map(|w| (w, RequestCount::default()));
        let mut windows: BTreeMap<Window, RequestCount> = windows.collect();
        for (at, counts) in &self.buckets {
            let count = request_count(counts);
            for (window, sum) in &mut windows {
                // A window holds the current, incomplete bucket in addition to
                // its complete ones.
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

fn bucket_number(now: Timestamp) -> u64 {
    now.since(Timestamp::default()).as_secs() / BUCKET_LENGTH.as_secs()
}

fn request_count(outcomes: &BTreeMap<Outcome, u64>) -> RequestCount {
    let mut count = RequestCount::default();
    for (outcome, n) in outcomes {
        if outcome.counts_for_objective() {
            count.total += n;
            count.bad += if *outcome == Outcome::good { 0 } else { *n };
        }
    }
    count
}
