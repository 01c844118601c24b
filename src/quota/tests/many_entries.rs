//! Quotas at many entries, which learn of each other's spending late.

use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

/// A burst of one organisation through many entries, which report at intervals
/// that do not coincide and whose reports arrive late.
struct ManyEntries {
    entries: Vec<Quota>,
    /// Reports on the way: arrival in milliseconds, sender and report.
    in_flight: VecDeque<(u64, usize, QuotaReport)>,
    rng: SmallRng,
    spent: Vec<(u64, f64)>,
}

/// Time between two reports of an entry of many, in milliseconds.
const REPORT_INTERVAL: u64 = 290;

/// Time that a report takes to an entry whose processor is busy, in milliseconds.
const REPORT_DELAY: u64 = 60;

/// Share of lost reports.
const REPORT_LOSS: f64 = 0.03;

/// Rate of a large organisation.
const LARGE_RATE: QuotaRate = QuotaRate {
    per_second: 200_000.0,
    burst: 100_000.0,
    ..RATE
};

const LARGE_BOUNDS: QuotaBounds = QuotaBounds {
    over: 0.1,
    slack: 110_000.0,
    ..BOUNDS
};

/// Units of one request.
const LARGE_REQUEST: f64 = 3_000.0;

impl ManyEntries {
    fn new(count: usize, seed: u64) -> Self {
        let start = |_| {
            let mut quota = Quota::new(at(0));
            quota.set_entries(count);
            quota
        };
        Self {
            entries: (0..count).map(start).collect(),
            in_flight: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            spent: Vec::new(),
        }
    }

    fn exchange(&mut self, now: u64) {
        let count = self.entries.len() as u64;
        for entry in 0..self.entries.len() {
            let phase = entry as u64 * REPORT_INTERVAL / count;
            if now % REPORT_INTERVAL == phase {
                let from = Incarnation(entry as u64);
                let report = self.entries[entry].report(at(now), BOUNDS.window, from);
                self.in_flight
                    .push_back((now + REPORT_DELAY, entry, report));
            }
        }
        while self.in_flight.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, from, report)) = self.in_flight.pop_front() else {
                return;
            };
            for (to, quota) in self.entries.iter_mut().enumerate() {
                if to != from && !self.rng.random_bool(REPORT_LOSS) {
                    quota.merge_report(at(now), BOUNDS.window, &report);
                }
            }
        }
    }

    /// Sends requests of `units_per_ms` on average through entries, some of which
    /// get far more than others.
    fn send(&mut self, now: u64, units_per_ms: f64) {
        let requests = units_per_ms / LARGE_REQUEST;
        let count = requests as u32 + u32::from(self.rng.random_bool(requests.fract()));
        for _ in 0..count {
            let skewed = self.rng.random_range(0.0..1.0_f64).powi(2);
            let entry = (skewed * self.entries.len() as f64) as usize;
            if self.spend(now, entry) {
                self.spent.push((now, LARGE_REQUEST));
            }
        }
    }

    /// Spends the units of a request, which are borrowed if the credit of the entry does
    /// not suffice. The first entry lends. Returns whether they were spent.
    fn spend(&mut self, now: u64, entry: usize) -> bool {
        let (now, organisation) = (at(now), organisation());
        let quota = &mut self.entries[entry];
        match quota.spend(now, &organisation, LARGE_RATE, LARGE_BOUNDS, LARGE_REQUEST) {
            Ok(()) => return true,
            Err(SpendError::Exhausted(_)) => return false,
            Err(SpendError::NoCredit) => {}
        }
        let lender = &mut self.entries[0];
        let borrower = Borrower {
            entry: Incarnation(entry as u64),
            reports_from: now.since(at(0)),
        };
        let (rate, bounds) = (LARGE_RATE, LARGE_BOUNDS);
        let lent = lender.lend(now, &organisation, rate, bounds, LARGE_REQUEST, borrower);
        if lent.is_ok() {
            self.entries[entry].spend_lent(now, &organisation, LARGE_BOUNDS, LARGE_REQUEST);
        }
        lent.is_ok()
    }

    fn window_sum(&self, end: u64) -> f64 {
        let within = self
            .spent
            .iter()
            .filter(|(time, _)| *time <= end && time + WINDOW > end);
        within.map(|(_, units)| units).sum()
    }
}

/// Pattern: one organisation sends six times its usual through many entries, which
/// learn of each other's spending a third of a second late.
#[test]
fn a_hot_organisation_at_many_entries_stays_within_the_tolerance() {
    let quota = LARGE_BOUNDS.quota(LARGE_RATE);
    let tolerated = quota * (1.0 + LARGE_BOUNDS.over) + LARGE_BOUNDS.slack;
    for (count, seed) in [(30, 0), (30, 1), (30, 2), (100, 3)] {
        let mut many = ManyEntries::new(count, seed);
        let usual = LARGE_RATE.per_second / 1_000.0 * 0.6;
        for now in 0..26_000 {
            many.exchange(now);
            let is_hot = (14_000..22_000).contains(&now);
            if now >= WINDOW {
                many.send(now, if is_hot { usual * 6.0 } else { usual });
            }
        }
        let most = (0..26_000).step_by(50).map(|end| many.window_sum(end));
        let most = most.fold(0.0, f64::max);
        assert!(most <= tolerated, "{count} entries, seed {seed}: {most}");
        let used = many.window_sum(21_990);
        assert!(used >= 0.95 * quota, "{count} entries, seed {seed}: {used}");
    }
}

/// Pattern: the usual load of an organisation through many entries.
#[test]
fn an_organisation_within_its_quota_is_not_refused_at_many_entries() {
    let mut many = ManyEntries::new(30, 7);
    let usual = LARGE_RATE.per_second / 1_000.0 * 0.7;
    let mut offered = 0.0;
    for now in 0..24_000 {
        many.exchange(now);
        if now >= WINDOW {
            many.send(now, usual);
            offered += usual;
        }
    }
    let spent: f64 = many.spent.iter().map(|(_, units)| units).sum();
    assert!(spent >= 0.97 * offered, "{spent} of {offered}");
}

/// Pattern: most organisations are idle at most entries. Reports hold the totals that have
/// changed; an entry that becomes known gets all.
#[test]
fn reports_hold_the_totals_that_have_changed() {
    let mut quota = single_entry();
    quota.set_entries(2);
    let spend_of = |quota: &mut Quota, name: &str, now| {
        let spent = quota.spend(at(now), &Name::new(name), RATE, BOUNDS, 1.0);
        assert_eq!(spent, Ok(()));
    };
    for i in 0..20 {
        spend_of(&mut quota, &format!("o{i}"), FULL_WINDOW);
    }
    let report = |quota: &mut Quota, now| {
        let report = quota.report(at(now), BOUNDS.window, Incarnation(1));
        report.totals.len()
    };
    for i in 0..30 {
        report(&mut quota, FULL_WINDOW + i);
    }
    spend_of(&mut quota, "o3", FULL_WINDOW + 40);
    let sizes: Vec<usize> = (0..10)
        .map(|i| report(&mut quota, FULL_WINDOW + 41 + i))
        .collect();
    assert_eq!(sizes.iter().filter(|size| **size == 20).count(), 1);
    assert!(sizes.iter().sum::<usize>() <= 20 + 3, "{sizes:?}");
    let other = QuotaReport {
        from: Incarnation(2),
        age: Duration::ZERO,
        totals: Vec::new(),
    };
    quota.merge_report(at(FULL_WINDOW + 60), BOUNDS.window, &other);
    assert_eq!(report(&mut quota, FULL_WINDOW + 61), 20);
}
