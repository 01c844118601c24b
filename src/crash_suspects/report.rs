//! What entries tell each other of suspects.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Change;
use super::CrashId;
use super::CrashSuspects;
use super::SUCCESS_MEMORY;
use super::SuspectId;
use super::suspect::Suspect;
use crate::clock::Timestamp;
use crate::prompt_parts::PartId;
use crate::upstream_request::RequestDigest;

/// The maximum number of parts, and of requests, in a report, so that it fits into a
/// datagram.
const MAX_ROWS: usize = 32;

/// The age up to which a crash is passed on at once. A table keeps some of the crashes only
/// and would take those that it has dropped for new ones.
const NEWS_AGE: Duration = Duration::from_secs(5);

/// Added to the age of a reported success. It is longer than reports take, since a success
/// that is passed on would otherwise grow younger.
const SUCCESS_MARGIN: Duration = Duration::from_secs(1);

/// The suspects of an entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// One row for each part of prompts.
    pub rows: Vec<SuspectRow<PartId>>,
    /// One row for each request. Earlier versions report none.
    #[serde(default)]
    pub requests: Vec<SuspectRow<RequestDigest>>,
}

impl SuspectReport {
    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.rows.len() + self.requests.len()
    }

    /// Returns whether it names no suspect.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether both reports name the same suspects and crashes, whatever the ages.
    pub fn has_same_crashes(&self, other: &Self) -> bool {
        fn crashes<I>(rows: &[SuspectRow<I>]) -> Vec<(&I, Vec<CrashId>)> {
            let ids = |row: &SuspectRow<I>| row.crashes.iter().map(|(id, _)| *id).collect();
            rows.iter().map(|row| (&row.id, ids(row))).collect()
        }
        crashes(&self.rows) == crashes(&other.rows)
            && crashes(&self.requests) == crashes(&other.requests)
    }

    /// Returns the report with all ages increased.
    pub fn older_by(mut self, age: Duration) -> Self {
        self.rows.iter_mut().for_each(|row| row.age(age));
        self.requests.iter_mut().for_each(|row| row.age(age));
        self
    }
}

/// A suspect in a report. The clocks of the entries differ, so it holds ages.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRow<I> {
    /// The part or the request.
    #[serde(rename = "part")]
    pub id: I,
    /// The crashes and their ages.
    #[serde_as(as = "Vec<(_, DurationMilliSeconds<u64>)>")]
    pub crashes: Vec<(CrashId, Duration)>,
    /// The age of the last success, if there was one.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub succeeded: Option<Duration>,
}

impl CrashSuspects {
    /// Returns a report on the convicted suspects.
    pub fn convicted_report(&self, now: Timestamp) -> SuspectReport {
        let suspects = self.suspects.iter().map(|(id, s)| (*id, s));
        let convicted = suspects.filter(|(id, _)| self.convicted.contains(id));
        new_report(now, &convicted.collect::<Vec<_>>())
    }

    /// Returns a report on the suspects with most crashes.
    pub fn report(&self, now: Timestamp) -> SuspectReport {
        let mut suspects: Vec<(SuspectId, &Suspect)> =
            self.suspects.iter().map(|(id, s)| (*id, s)).collect();
        suspects.sort_by_key(|(id, s)| {
            let is_convicted = self.convicted.contains(id);
            std::cmp::Reverse((
                is_convicted,
                self.is_suspect(now, *id, s),
                s.counted().count(),
                s.last_crash(),
            ))
        });
        new_report(now, &suspects)
    }

    /// Merges the report of another entry. Returns the changes, and whether others should
    /// learn of something: a crash that was not known here, or a success that the report
    /// lacks.
    pub fn merge(&mut self, now: Timestamp, report: &SuspectReport) -> (Vec<Change>, bool) {
        let mut has_news = false;
        for row in &report.rows {
            has_news |= self.merge_row(now, SuspectId::Part(row.id), row);
        }
        for row in &report.requests {
            has_news |= self.merge_row(now, SuspectId::Request(row.id), row);
        }
        (self.review(now), has_news)
    }

    /// Merges a row. Returns whether others should learn of something.
    fn merge_row<I>(&mut self, now: Timestamp, id: SuspectId, row: &SuspectRow<I>) -> bool {
        let own_success = self.successes.last(id);
        let suspect = self.suspect(id);
        let mut has_news = false;
        for (crash, age) in &row.crashes {
            let was_known = suspect.crashes().contains_key(crash);
            suspect.record_crash(*crash, now.before(*age));
            has_news |= !was_known && *age < NEWS_AGE;
        }
        if let Some(age) = row.succeeded {
            suspect.record_success(now.before(age));
        }
        has_news || own_success.is_some_and(|at| row.lacks_success(now, at))
    }
}

impl<I> SuspectRow<I> {
    fn age(&mut self, age: Duration) {
        for (_, crash_age) in &mut self.crashes {
            *crash_age = crash_age.saturating_add(age);
        }
        self.succeeded = self.succeeded.map(|s| s.saturating_add(age));
    }

    /// Returns whether the row would say something else with a success at `at`.
    fn lacks_success(&self, now: Timestamp, at: Timestamp) -> bool {
        let age = now.since(at);
        let is_unknown = self.succeeded.is_none_or(|a| a >= SUCCESS_MEMORY / 2);
        let would_clear = |(_, crash_age): &(CrashId, Duration)| {
            *crash_age > age + SUCCESS_MARGIN && self.succeeded.is_none_or(|a| a >= *crash_age)
        };
        is_unknown && age < SUCCESS_MEMORY / 2 || self.crashes.iter().any(would_clear)
    }
}

/// Returns a report on the first of these suspects.
fn new_report(now: Timestamp, suspects: &[(SuspectId, &Suspect)]) -> SuspectReport {
    let parts = suspects.iter().filter_map(|(id, s)| match id {
        SuspectId::Part(part) => Some(s.row(now, *part)),
        SuspectId::Request(_) => None,
    });
    let requests = suspects.iter().filter_map(|(id, s)| match id {
        SuspectId::Part(_) => None,
        SuspectId::Request(digest) => Some(s.row(now, *digest)),
    });
    SuspectReport {
        rows: parts.take(MAX_ROWS).collect(),
        requests: requests.take(MAX_ROWS).collect(),
    }
}

impl Suspect {
    fn row<I>(&self, now: Timestamp, id: I) -> SuspectRow<I> {
        let crashes = self.crashes().iter();
        SuspectRow {
            id,
            crashes: crashes.map(|(id, at)| (*id, now.since(*at))).collect(),
            succeeded: self
                .last_success()
                .map(|at| now.since(at).saturating_add(SUCCESS_MARGIN)),
        }
    }
}
