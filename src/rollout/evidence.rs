//! Totals of the requests sent to and answered by each version.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

#[cfg(test)]
mod tests;

/// Maximum number of routes that are told apart.
pub const MAX_ROUTES: usize = 16;

/// Route under which the rest is counted.
pub const OTHER_ROUTES: &str = "other";

/// Buckets of the histogram of times to the first byte.
pub const START_BUCKETS: usize = 10;

/// Largest encoded report of an entry, in bytes. Values of up to 1 KiB are sent.
const MAX_REPORT_BYTES: usize = 1000;

/// Upper bound of the first bucket of the histogram of times to the first byte.
const FIRST_BUCKET: Duration = Duration::from_millis(16);

/// Units of `log_starts` for a doubling of the time. Averages are thus exact to a thousandth.
pub(super) const LOG_UNITS: f64 = 64.0;

/// Totals of one entry since it learnt of an order, or their sum over entries. They only grow,
/// except for `running_old`. Entries that stop leave the sum.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutEvidence {
    /// The id of the order.
    #[serde(rename = "o")]
    pub order: Name,
    /// Totals by route, for at most [`MAX_ROUTES`] routes and [`OTHER_ROUTES`].
    #[serde(rename = "r")]
    pub routes: BTreeMap<Name, RouteEvidence>,
    /// Requests that run at upstreams of other versions than the target.
    #[serde(rename = "n")]
    pub running_old: u32,
}

/// Totals of a route by version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(VersionTotals, VersionTotals)")]
#[serde(into = "(VersionTotals, VersionTotals)")]
pub struct RouteEvidence {
    /// Totals of the target.
    pub target: VersionTotals,
    /// Totals of all other versions.
    pub others: VersionTotals,
}

/// Totals of a version. Encoded as a list without the zeros at its end.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<u64>")]
#[serde(into = "Vec<u64>")]
pub struct VersionTotals {
    /// Requests sent.
    pub sent: u64,
    /// Answers, bad ones included.
    pub answered: u64,
    /// Failed answers: status 500 and more, broken or missing ones.
    pub bad: u64,
    /// Sum of the binary logarithms of the times to the first byte, in 64ths, from 1 ms. The
    /// histogram alone does not tell a tripled time from a doubled one.
    pub log_starts: u64,
    /// Histogram of the times to the first byte: below 16 ms, below 32 ms and so on; the last
    /// bucket has no upper bound.
    pub starts: [u32; START_BUCKETS],
}

impl RolloutEvidence {
    /// Creates the evidence on an order without any request.
    pub fn new(order: &Name) -> Self {
        Self {
            order: order.clone(),
            routes: BTreeMap::new(),
            running_old: 0,
        }
    }

    /// Adds the evidence of another entry, unless it is on another order.
    pub fn add(&mut self, other: &Self) {
        if self.order != other.order {
            return;
        }
        for (route, totals) in &other.routes {
            self.route_mut(route).add(totals);
        }
        self.running_old = self.running_old.saturating_add(other.running_old);
    }

    /// Returns the totals of a route, or of the rest if there are too many routes.
    pub fn route_mut(&mut self, route: &Name) -> &mut RouteEvidence {
        let is_known = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let route = match is_known {
            true => route.clone(),
            false => Name::new(OTHER_ROUTES),
        };
        self.routes.entry(route).or_default()
    }

    /// Counts the routes with the fewest requests under [`OTHER_ROUTES`] until the encoded
    /// evidence fits in a report.
    pub(super) fn compact(mut self) -> Self {
        while self.max_encoded_length() > MAX_REPORT_BYTES {
            let named = self
                .routes
                .iter()
                .filter(|(r, _)| r.as_str() != OTHER_ROUTES);
            let smallest = named.min_by_key(|(_, e)| e.target.sent.saturating_add(e.others.sent));
            let Some(route) = smallest.map(|(route, _)| route.clone()) else {
                break;
            };
            let totals = self.routes.remove(&route).unwrap_or_default();
            let rest = self.routes.entry(Name::new(OTHER_ROUTES)).or_default();
            rest.add(&totals);
        }
        self
    }

    /// Returns an upper bound of the length of the encoded evidence, in bytes.
    fn max_encoded_length(&self) -> usize {
        const FRAME: usize = r#"{"o":"","r":{},"n":4294967295}"#.len();
        const ROUTE_FRAME: usize = r#""":[[],[]],"#.len();
        let routes = self.routes.iter().map(|(route, evidence)| {
            let versions =
                evidence.target.max_encoded_length() + evidence.others.max_encoded_length();
            ROUTE_FRAME + encoded_length(route) + versions
        });
        FRAME + encoded_length(&self.order) + routes.sum::<usize>()
    }
}

impl RouteEvidence {
    fn add(&mut self, other: &Self) {
        self.target.add(&other.target);
        self.others.add(&other.others);
    }

    /// Returns the totals of a version.
    pub(super) fn version_mut(&mut self, is_target: bool) -> &mut VersionTotals {
        match is_target {
            true => &mut self.target,
            false => &mut self.others,
        }
    }

    /// Returns what has been added since `earlier`.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            target: self.target.since(&earlier.target),
            others: self.others.since(&earlier.others),
        }
    }
}

impl VersionTotals {
    /// Adds a time to the first byte.
    pub(super) fn add_start(&mut self, start: Duration) {
        let doublings = start.as_millis() / FIRST_BUCKET.as_millis();
        let bucket = (u128::BITS - doublings.leading_zeros()) as usize;
        let bucket = bucket.min(START_BUCKETS - 1);
        self.starts[bucket] = self.starts[bucket].saturating_add(1);
        let millis = (start.as_secs_f64() * 1000.0).max(1.0);
        let units = (millis.log2() * LOG_UNITS).round() as u64;
        self.log_starts = self.log_starts.saturating_add(units);
    }

    /// Adds other totals.
    pub(super) fn add(&mut self, other: &Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.answered = self.answered.saturating_add(other.answered);
        self.bad = self.bad.saturating_add(other.bad);
        self.log_starts = self.log_starts.saturating_add(other.log_starts);
        for (own, other) in self.starts.iter_mut().zip(other.starts) {
            *own = own.saturating_add(other);
        }
    }

    fn max_encoded_length(&self) -> usize {
        let digits = |number: u64| number.checked_ilog10().unwrap_or(0) as usize + 1;
        let numbers = [self.sent, self.answered, self.bad, self.log_starts];
        let starts = self.starts.iter().map(|n| u64::from(*n));
        let lengths = numbers.into_iter().chain(starts).map(|n| digits(n) + 1);
        lengths.sum()
    }

    fn since(&self, earlier: &Self) -> Self {
        let mut starts = self.starts;
        for (own, earlier) in starts.iter_mut().zip(earlier.starts) {
            *own = own.saturating_sub(earlier);
        }
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            answered: self.answered.saturating_sub(earlier.answered),
            bad: self.bad.saturating_sub(earlier.bad),
            log_starts: self.log_starts.saturating_sub(earlier.log_starts),
            starts,
        }
    }

    /// Returns the number of times to the first byte in buckets above `bucket`.
    pub(super) fn starts_above(&self, bucket: usize) -> u64 {
        self.starts
            .iter()
            .skip(bucket + 1)
            .map(|n| u64::from(*n))
            .sum()
    }

    /// Returns the number of times to the first byte.
    pub(super) fn timed(&self) -> u64 {
        self.starts.iter().map(|n| u64::from(*n)).sum()
    }

    /// Returns the bucket in which `part` of the times to the first byte have been reached.
    pub(super) fn quantile(&self, part: f64) -> usize {
        let wanted = part * self.timed() as f64;
        let mut seen = 0.0;
        let reached = self.starts.iter().position(|n| {
            seen += f64::from(*n);
            seen >= wanted
        });
        reached.unwrap_or(START_BUCKETS - 1)
    }
}

impl From<(VersionTotals, VersionTotals)> for RouteEvidence {
    fn from((target, others): (VersionTotals, VersionTotals)) -> Self {
        Self { target, others }
    }
}

impl From<RouteEvidence> for (VersionTotals, VersionTotals) {
    fn from(evidence: RouteEvidence) -> Self {
        (evidence.target, evidence.others)
    }
}

impl From<Vec<u64>> for VersionTotals {
    fn from(numbers: Vec<u64>) -> Self {
        let mut numbers = numbers.into_iter();
        let mut next = || numbers.next().unwrap_or(0);
        Self {
            sent: next(),
            answered: next(),
            bad: next(),
            log_starts: next(),
            starts: std::array::from_fn(|_| u32::try_from(next()).unwrap_or(u32::MAX)),
        }
    }
}

impl From<VersionTotals> for Vec<u64> {
    fn from(totals: VersionTotals) -> Self {
        let mut numbers = vec![totals.sent, totals.answered, totals.bad, totals.log_starts];
        numbers.extend(totals.starts.map(u64::from));
        while numbers.last() == Some(&0) {
            numbers.pop();
        }
        numbers
    }
}

/// Returns an upper bound of the length of a text in JSON, without the quotation marks.
fn encoded_length(text: &str) -> usize {
    let length = |c: char| match c {
        '"' | '\\' => 2,
        c if c.is_ascii_control() => 6,
        c => c.len_utf8(),
    };
    text.chars().map(length).sum()
}
