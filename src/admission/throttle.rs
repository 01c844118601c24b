//! Adaptive throttling: refuses requests early in sustained overload.
//!
//! Each agent estimates the wait from its own queue, and a request waits if
//! any of the agents that it asks expects a short wait. In sustained overload,
//! with more agents than a request asks, far more requests wait than can be
//! served, and most of them time out after their maximum wait. An entry
//! therefore counts, for each request class, how many requests arrived and how
//! many were sent. It lets slightly more requests wait than were
//! sent recently and refuses the others immediately: most of those that
//! wait are served, and callers of the refused ones can retry. This is the
//! client-side adaptive throttling commonly used with overloaded services.
//!
//! Where many organisations send few requests each, no class alone shows the
//! overload. The requests of a rank are therefore also counted over all
//! organisations. What can be sent is divided among them by max-min fairness, and
//! only those that ask for more than their share are refused.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::RequestClass;
use crate::admission::ServiceRank;
use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Time constant of the exponential decay of the counts, about the length of a
/// short burst; bursts last a few seconds. After this time a request counts for
/// 1/e, about a third.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Requests that can wait per sent one in a lasting overload. The excess over 1 keeps
/// some requests queued, at the risk that they time out, so that freed capacity is
/// used and the throttle lets more requests wait.
const WAITING_PER_SENT_MIN: f64 = 1.2;

/// Requests that can wait per sent one while all that wait are sent, so that the
/// throttle ends soon after an overload has.
const WAITING_PER_SENT_MAX: f64 = 3.0;

/// Requests of a class that can wait in addition: a few that arrive together
/// by chance are not an overload.
const CLASS_ALLOWANCE: f64 = 2.0;

/// Requests of a rank that can wait in addition, over all organisations.
const RANK_ALLOWANCE: f64 = 8.0;

/// Count below which an organisation is forgotten.
const MIN_COUNT: f64 = 0.02;

/// Counts arrived and sent requests of each rank and organisation.
#[derive(Debug, Default)]
pub struct Throttle {
    ranks: HashMap<ServiceRank, RankCounts>,
}

#[derive(Debug, Default)]
struct RankCounts {
    /// The time as of which all counts hold.
    updated: Timestamp,
    organisations: HashMap<Name, Counts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrivals: f64,
    /// Arrivals that were refused without waiting.
    refused: f64,
    sent: f64,
}

impl Throttle {
    /// Creates a throttle without any counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the probability, from 0 to 1, with which a request of this
    /// class is to be refused now.
    pub fn refusal_probability(&mut self, now: Timestamp, request_class: &RequestClass) -> f64 {
        let Some(rank) = self.ranks.get_mut(&request_class.service_rank()) else {
            return 0.0;
        };
        rank.decay(now);
        let Some(counts) = rank.organisations.get(&request_class.organisation) else {
            return 0.0;
        };
        let allowed = counts.sent * counts.waiting_per_sent() + CLASS_ALLOWANCE;
        let allowed = allowed.min(rank.fair_share());
        let excess = (counts.arrivals - allowed) / (counts.arrivals + 1.0);
        excess.clamp(0.0, 1.0)
    }

    /// Counts an arrived request that waits or is sent.
    pub fn record_arrival(&mut self, now: Timestamp, request_class: RequestClass) {
        self.counts(now, request_class).arrivals += 1.0;
    }

    /// Counts an arrived request that was refused without waiting.
    pub fn record_refused(&mut self, now: Timestamp, request_class: RequestClass) {
        let counts = self.counts(now, request_class);
        counts.arrivals += 1.0;
        counts.refused += 1.0;
    }

    /// Counts a sent request.
    pub fn record_sent(&mut self, now: Timestamp, request_class: RequestClass) {
        self.counts(now, request_class).sent += 1.0;
    }

    /// Removes the ranks whose counts were not read or changed recently.
    pub fn remove_idle(&mut self, now: Timestamp) {
        self.ranks
            .retain(|_, rank| now.since(rank.updated) < DECAY_TIME * 8);
    }

    fn counts(&mut self, now: Timestamp, request_class: RequestClass) -> &mut Counts {
        let rank = self.ranks.entry(request_class.service_rank()).or_default();
        rank.decay(now);
        let organisation = request_class.organisation;
        rank.organisations.entry(organisation).or_default()
    }
}

impl RankCounts {
    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        for counts in self.organisations.values_mut() {
            counts.arrivals *= factor;
            counts.refused *= factor;
            counts.sent *= factor;
        }
        self.organisations.retain(|_, c| c.arrivals > MIN_COUNT);
        self.updated = now;
    }

    /// Returns how many requests of one organisation can wait if those that can wait
    /// in all are divided by max-min fairness: organisations that ask for less than
    /// an equal share leave the rest to the others. Infinite without an overload.
    fn fair_share(&self) -> f64 {
        let total = Counts {
            arrivals: self.organisations.values().map(|c| c.arrivals).sum(),
            refused: self.organisations.values().map(|c| c.refused).sum(),
            sent: self.organisations.values().map(|c| c.sent).sum(),
        };
        let mut arrivals: Vec<f64> = self.organisations.values().map(|c| c.arrivals).collect();
        let mut left = total.sent * total.waiting_per_sent() + RANK_ALLOWANCE;
        if total.arrivals <= left {
            return f64::INFINITY;
        }
        arrivals.sort_by(f64::total_cmp);
        let mut count = arrivals.len();
        for asked in arrivals {
            let share = left / count as f64;
            if asked > share {
                return share;
            }
            left -= asked;
            count -= 1;
        }
        f64::INFINITY
    }
}

impl Counts {
    /// Returns how many requests can wait for each sent one: the fewer wait in vain,
    /// the more.
    fn waiting_per_sent(self) -> f64 {
        let admitted = self.arrivals - self.refused;
        if admitted <= 0.0 {
            return WAITING_PER_SENT_MAX;
        }
        let in_vain = (1.0 - self.sent / admitted).clamp(0.0, 1.0);
        // In a lasting overload this part waits in vain at the lowest value.
        let expected_in_vain = 1.0 - 1.0 / WAITING_PER_SENT_MIN;
        let relaxed = (1.0 - in_vain / expected_in_vain).max(0.0);
        WAITING_PER_SENT_MIN + relaxed * (WAITING_PER_SENT_MAX - WAITING_PER_SENT_MIN)
    }
}
