//! Rate limits that upstreams name in their answers.
//!
//! An upstream in need names in each answer how many requests a second it takes from all
//! entries together. The limit lasts until it answers without one. Answers arrive out of
//! order, and an entry that stalls reads them late: an answer without a limit only ends
//! one that was known before its request was sent.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::clock::Timestamp;
use crate::name::Name;

mod issuer;
mod pacing;
#[cfg(test)]
mod tests;

pub use issuer::PermitAnswer;
pub use issuer::PermitId;
pub use issuer::PermitIssuer;
pub use issuer::PermitRequest;
pub use pacing::Pacing;

/// The time for which a limit that has ended is kept, so that late reports of it don't
/// count.
const ENDED_MEMORY: Duration = Duration::from_secs(60);

/// Added to the reported age of a request whose answer named no limit. A report that is
/// read late would otherwise end a limit that was named after that request.
const UNNAMED_MARGIN: Duration = Duration::from_secs(1);

/// The time without a known answer of an upstream with a limit after which the next request
/// that it has room for is sent there: only an answer shows that the limit has ended, and
/// upstreams whose recent answers were faster would get all requests.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Rate limit of an upstream over all entries, in requests per second.
///
/// Invariant: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// Text that is no rate limit.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not a number of requests per second")]
pub struct InvalidRateLimit(String);

impl RateLimit {
    /// Creates a limit of this many requests per second.
    ///
    /// # Errors
    ///
    /// Fails if the number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, InvalidRateLimit> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second)),
            false => Err(InvalidRateLimit(per_second.to_string())),
        }
    }

    /// Parses a decimal number of requests per second.
    ///
    /// # Errors
    ///
    /// Fails if the text is no such number.
    pub fn parse(text: &str) -> Result<Self, InvalidRateLimit> {
        let invalid = || InvalidRateLimit(text.to_owned());
        let per_second = text.trim().parse().map_err(|_| invalid())?;
        Self::new(per_second).map_err(|_| invalid())
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// Change of what is believed of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The upstream names a limit.
    Began(RateLimit),
    /// The upstream names another limit than before.
    Changed {
        /// The limit before.
        from: RateLimit,
        /// The limit from now on.
        to: RateLimit,
    },
    /// The upstream names no limit any more.
    Ended,
}

/// What an entry knows of an upstream's limit, as it tells others. Their clocks differ, so
/// it holds ages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The last limit that was named.
    pub limit: RateLimit,
    /// The time since the answer that named it arrived.
    pub named_age: Duration,
    /// The time since the last request was sent whose answer named no limit; at least,
    /// if others have passed it on.
    pub unnamed_age: Option<Duration>,
}

/// The limits that upstreams have named.
#[derive(Debug, Default)]
pub struct RateLimits {
    upstreams: BTreeMap<Name, Evidence>,
}

/// What the answers of one upstream have shown.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Evidence {
    /// The last limit that was named.
    limit: RateLimit,
    /// When the answer that named it arrived.
    named_at: Timestamp,
    /// When the last request was sent whose answer named no limit.
    unnamed_at: Option<Timestamp>,
    /// When this entry last chose the upstream for a probe.
    probed_at: Option<Timestamp>,
}

impl RateLimits {
    /// Creates a table without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limit that is in force for an upstream.
    pub fn get(&self, upstream: &Name) -> Option<RateLimit> {
        self.upstreams.get(upstream)?.in_force()
    }

    /// Returns the number of upstreams with a limit in force.
    pub fn len(&self) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|e| e.in_force().is_some()).count()
    }

    /// Returns whether no upstream has a limit in force.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records an answer that arrived now and names a limit.
    pub fn record_named(
        &mut self,
        now: Timestamp,
        upstream: &Name,
        limit: RateLimit,
    ) -> Option<Change> {
        self.update(upstream, |evidence| {
            Some(Evidence {
                limit,
                named_at: now,
                unnamed_at: evidence.and_then(|e| e.unnamed_at),
                probed_at: evidence.and_then(|e| e.probed_at),
            })
        })
    }

    /// Records an answer without a limit to a request that was sent at `sent_at`.
    pub fn record_unnamed(&mut self, sent_at: Timestamp, upstream: &Name) -> Option<Change> {
        self.update(upstream, |evidence| {
            let evidence = evidence?;
            Some(Evidence {
                unnamed_at: evidence.unnamed_at.max(Some(sent_at)),
                ..evidence
            })
        })
    }

    /// Returns whether a probe of an upstream is due: its limit is in force, and nothing has
    /// been learnt from it for [`PROBE_INTERVAL`]. The next one is due an interval later.
    pub fn take_probe(&mut self, now: Timestamp, upstream: &Name) -> bool {
        let evidence = self.upstreams.get_mut(upstream);
        let Some(evidence) = evidence.filter(|e| e.in_force().is_some()) else {
            return false;
        };
        let last = evidence
            .probed_at
            .unwrap_or_default()
            .max(evidence.named_at);
        let is_due = now.since(last) >= PROBE_INTERVAL;
        if is_due {
            evidence.probed_at = Some(now);
        }
        is_due
    }

    /// Returns the report on an upstream to other entries, if it has named a limit.
    pub fn report(&self, now: Timestamp, upstream: &Name) -> Option<LimitReport> {
        self.upstreams.get(upstream).map(|e| e.report(now))
    }

    /// Returns the reports on `count` upstreams at most: those that follow `after` in the
    /// order of names, then the first ones.
    pub fn reports_after(
        &self,
        now: Timestamp,
        after: &Name,
        count: usize,
    ) -> Vec<(Name, LimitReport)> {
        let following = self.upstreams.iter().skip_while(|(name, _)| *name <= after);
        let first = self.upstreams.iter().take_while(|(name, _)| *name <= after);
        let upstreams = following.chain(first).take(count);
        upstreams
            .map(|(name, e)| (name.clone(), e.report(now)))
            .collect()
    }

    /// Merges the report of another entry.
    pub fn merge(
        &mut self,
        now: Timestamp,
        upstream: &Name,
        report: &LimitReport,
    ) -> Option<Change> {
        let named_at = now.before(report.named_age);
        let unnamed_at = report.unnamed_age.map(|age| now.before(age));
        self.update(upstream, |evidence| {
            let known = evidence.filter(|e| e.named_at >= named_at);
            let (limit, named_at) = match known {
                Some(known) => (known.limit, known.named_at),
                None => (report.limit, named_at),
            };
            Some(Evidence {
                limit,
                named_at,
                unnamed_at: evidence.and_then(|e| e.unnamed_at).max(unnamed_at),
                probed_at: evidence.and_then(|e| e.probed_at),
            })
        })
    }

    /// Forgets limits that ended long ago. Must be called from time to time.
    pub fn expire(&mut self, now: Timestamp) {
        self.upstreams.retain(|_, e| {
            let has_ended = e.in_force().is_none();
            let last = e.unnamed_at.unwrap_or(e.named_at);
            !has_ended || now.since(last) < ENDED_MEMORY
        });
    }

    /// Forgets the upstreams for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.upstreams.retain(|name, _| keep(name));
    }

    fn update<F>(&mut self, upstream: &Name, change: F) -> Option<Change>
    where
        F: FnOnce(Option<Evidence>) -> Option<Evidence>,
    {
        let before = self.upstreams.get(upstream).copied();
        let after = change(before)?;
        self.upstreams.insert(upstream.clone(), after);
        match (before.and_then(Evidence::in_force), after.in_force()) {
            (None, Some(limit)) => Some(Change::Began(limit)),
            (Some(from), Some(to)) if from != to => Some(Change::Changed { from, to }),
            (Some(_), None) => Some(Change::Ended),
            _ => None,
        }
    }
}

impl Evidence {
    fn in_force(self) -> Option<RateLimit> {
        let has_ended = self.unnamed_at.is_some_and(|at| at > self.named_at);
        (!has_ended).then_some(self.limit)
    }

    fn report(self, now: Timestamp) -> LimitReport {
        let unnamed_age = self.unnamed_at.map(|at| now.since(at) + UNNAMED_MARGIN);
        LimitReport {
            limit: self.limit,
            named_age: now.since(self.named_at),
            unnamed_age,
        }
    }
}
