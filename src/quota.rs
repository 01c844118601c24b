//! Quotas of organisations over all entries.
//!
//! Each entry keeps a token bucket for each organisation and tells the others
//! what it has spent in all. A bucket is charged for what its own entry spends
//! at once, and for what the others spend when their report comes. Entries
//! that are silent may be spending too, so an entry fills its buckets only at
//! the part of the rate that belongs to those it hears. With `n` entries that
//! report every `i` and a demand of `d`, all together spend at most `d * i`
//! beyond the quota.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::settings::QuotaRate;

#[cfg(test)]
mod tests;

/// The time without a report after which an entry counts as silent: several
/// times the longest interval between reports.
pub const SILENT_AFTER: Duration = Duration::from_secs(1);

/// The time without a report after which an entry is forgotten: longer than
/// a cut after which it may come back with what it spent meanwhile.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(300);

/// The longest time after which coming back is suggested to a caller whose
/// organisation has used up its quota.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// The shortest time after which coming back is suggested.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// What one entry says of one organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Spend {
    /// The organisation.
    pub organisation: Name,
    /// Units spent since the entry's start.
    pub spent: f64,
    /// Units left in its bucket.
    pub level: f64,
}

/// What one entry says of all organisations.
#[derive(Clone, Debug)]
pub struct Report {
    /// The life of the entry.
    pub from: Incarnation,
    /// The time since its start.
    pub age: Duration,
    /// One for each organisation with a quota.
    pub spends: Vec<Spend>,
}

/// The buckets of one entry.
#[derive(Debug)]
pub struct Quota {
    started: Moment,
    buckets: HashMap<Name, Bucket>,
    peers: HashMap<Incarnation, Peer>,
    /// Entries that are there, this one included.
    entries: usize,
    /// The part of the entries that is heard, this one included.
    heard_part: f64,
}

/// Invariant: `level` never exceeds the burst of `rate`.
#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Moment,
    spent: f64,
    rate: QuotaRate,
}

#[derive(Debug)]
struct Peer {
    heard: Moment,
    /// Its last word on each organisation.
    spends: HashMap<Name, Spend>,
}

impl Quota {
    /// The buckets of an entry that starts now.
    pub fn new(now: Moment) -> Self {
        Self {
            started: now,
            buckets: HashMap::new(),
            peers: HashMap::new(),
            entries: 1,
            heard_part: 1.0,
        }
    }

    /// Sets the number of entries that are there, this one included.
    pub fn set_entries(&mut self, now: Moment, entries: usize) {
        self.entries = entries.max(1);
        self.update_heard(now);
    }

    /// The number of entries that are there, this one included.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Spends `units` of an organisation, or says when to come back.
    pub fn spend(
        &mut self,
        now: Moment,
        organisation: &Name,
        rate: QuotaRate,
        units: f64,
    ) -> Result<(), Duration> {
        self.update_heard(now);
        let heard_part = self.heard_part;
        if !self.buckets.contains_key(organisation) {
            let bucket = self.new_bucket(now, organisation, rate);
            self.buckets.insert(organisation.clone(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Err(RETRY_MAX);
        };
        bucket.set_rate(rate);
        bucket.fill(now, heard_part);
        // A request larger than the burst passes when the bucket is full.
        let needed = units.min(rate.burst);
        if bucket.level < needed {
            let seconds = (needed - bucket.level) / (rate.per_second * heard_part);
            let wait = Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_MAX);
            return Err(wait.clamp(RETRY_MIN, RETRY_MAX));
        }
        bucket.level -= units;
        bucket.spent += units;
        Ok(())
    }

    /// Returns what was spent for a request that was not run.
    pub fn refund(&mut self, organisation: &Name, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level = (bucket.level + units).min(bucket.rate.burst);
            bucket.spent -= units;
        }
    }

    /// Takes in the report of another entry.
    pub fn hear(&mut self, now: Moment, report: &Report) {
        let older = report.age > now.since(self.started);
        let known = self.peers.get(&report.from);
        // What an older entry spent before this one started is in the level
        // that it reports; what one spent while it was silent came out of
        // its own part of the rate.
        let counts = match known {
            Some(peer) => !peer.is_silent(now),
            None => !older,
        };
        let peer = self.peers.entry(report.from).or_insert_with(|| Peer {
            heard: now,
            spends: HashMap::new(),
        });
        peer.heard = now;
        for spend in &report.spends {
            let organisation = spend.organisation.clone();
            let before = peer.spends.insert(organisation, spend.clone());
            let Some(bucket) = self.buckets.get_mut(&spend.organisation) else {
                continue;
            };
            if counts {
                bucket.level -= spend.spent - before.map_or(0.0, |b| b.spent);
            } else if before.is_none() {
                bucket.level = bucket.level.min(spend.level);
            }
            bucket.level = bucket.level.min(bucket.rate.burst);
        }
        self.update_heard(now);
    }

    /// What this entry tells the others.
    pub fn report(&self, now: Moment, from: Incarnation) -> Report {
        let spends = self.buckets.iter().map(|(organisation, bucket)| Spend {
            organisation: organisation.clone(),
            spent: bucket.spent,
            level: bucket.level,
        });
        Report {
            from,
            age: now.since(self.started),
            spends: spends.collect(),
        }
    }

    /// A bucket at the lowest level that another entry has reported.
    fn new_bucket(&self, now: Moment, organisation: &Name, rate: QuotaRate) -> Bucket {
        let heard = self.peers.values().filter(|p| !p.is_silent(now));
        let levels = heard.filter_map(|p| p.spends.get(organisation).map(|s| s.level));
        Bucket {
            level: levels.fold(rate.burst * self.heard_part, f64::min),
            at: now,
            spent: 0.0,
            rate,
        }
    }

    fn update_heard(&mut self, now: Moment) {
        self.peers
            .retain(|_, peer| now.since(peer.heard) < FORGOTTEN_AFTER);
        let heard = self.peers.values().filter(|p| !p.is_silent(now)).count();
        let heard = (heard + 1).min(self.entries);
        let part = heard as f64 / self.entries as f64;
        if part < self.heard_part {
            // Those that fell silent may spend their part of what is left.
            let kept = part / self.heard_part;
            for bucket in self.buckets.values_mut().filter(|b| b.level > 0.0) {
                bucket.level *= kept;
            }
        }
        self.heard_part = part;
    }
}

impl Peer {
    fn is_silent(&self, now: Moment) -> bool {
        now.since(self.heard) >= SILENT_AFTER
    }
}

impl Bucket {
    fn set_rate(&mut self, rate: QuotaRate) {
        self.rate = rate;
        self.level = self.level.min(rate.burst);
    }

    fn fill(&mut self, now: Moment, part: f64) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + seconds * self.rate.per_second * part).min(self.rate.burst);
    }
}
