use proptest::prelude::*;

use super::*;
use crate::settings::QuotaUnit;

const RATE: QuotaRate = QuotaRate {
    unit: QuotaUnit::Tokens,
    per_second: 1_000.0,
    burst: 1_000.0,
    plain: 1,
};

const WINDOW: u64 = 8_000;

fn at(millis: u64) -> Moment {
    Moment::new(Duration::from_millis(millis))
}

fn organisation() -> Name {
    Name::new("large")
}

#[test]
fn one_entry_keeps_to_the_rate_and_says_when_to_come_back() {
    let mut quota = Quota::new(at(0));
    let spent = quota.spend(at(0), &organisation(), RATE, 900.0);
    assert_eq!(spent, Ok(()));
    let refused = quota.spend(at(0), &organisation(), RATE, 600.0);
    assert_eq!(refused, Err(Duration::from_millis(500)));
    let later = quota.spend(at(500), &organisation(), RATE, 600.0);
    assert_eq!(later, Ok(()));
}

#[test]
fn what_was_not_run_is_returned() {
    let mut quota = Quota::new(at(0));
    quota.spend(at(0), &organisation(), RATE, 900.0).ok();
    quota.refund(&organisation(), 900.0);
    assert_eq!(quota.spend(at(0), &organisation(), RATE, 900.0), Ok(()));
}

#[test]
fn a_lowered_rate_is_in_force_at_once() {
    let mut quota = Quota::new(at(0));
    quota.spend(at(0), &organisation(), RATE, 1.0).ok();
    let lower = QuotaRate {
        per_second: 10.0,
        burst: 10.0,
        ..RATE
    };
    let refused = quota.spend(at(1), &organisation(), lower, 20.0);
    // A request beyond the burst passes when the bucket is full.
    assert_eq!(refused, Ok(()));
    assert!(quota.spend(at(1), &organisation(), lower, 5.0).is_err());
}

/// Several entries, some of them silent for a time or started anew.
struct Fleet {
    entries: Vec<(Incarnation, Quota)>,
    silent: Vec<u64>,
    spent: Vec<(u64, f64)>,
    /// The number of the next life.
    next: u64,
}

impl Fleet {
    fn new(count: u64) -> Self {
        let start = |life| {
            let mut quota = Quota::new(at(0));
            quota.set_entries(at(0), usize::try_from(count).unwrap_or(1));
            (Incarnation(life), quota)
        };
        Self {
            entries: (0..count).map(start).collect(),
            silent: vec![0; usize::try_from(count).unwrap_or(1)],
            spent: Vec::new(),
            next: count,
        }
    }

    fn exchange(&mut self, now: u64) {
        let reports: Vec<Report> = self
            .entries
            .iter()
            .map(|(life, quota)| quota.report(at(now), *life))
            .collect();
        for (from, report) in reports.iter().enumerate() {
            for to in 0..self.entries.len() {
                if from != to && self.silent[from] <= now && self.silent[to] <= now {
                    self.entries[to].1.hear(at(now), report);
                }
            }
        }
    }

    fn spend(&mut self, now: u64, entry: usize, units: f64) {
        let spent = self.entries[entry]
            .1
            .spend(at(now), &organisation(), RATE, units);
        if spent.is_ok() {
            self.spent.push((now, units));
        }
    }

    fn restart(&mut self, now: u64, entry: usize) {
        let mut quota = Quota::new(at(now));
        quota.set_entries(at(now), self.entries.len());
        self.entries[entry] = (Incarnation(self.next), quota);
        self.next += 1;
    }

    /// The most that was spent in any window.
    fn worst_window(&self) -> f64 {
        let ends = self.spent.iter().map(|(at, _)| *at);
        let sum = |end: u64| {
            let within = self
                .spent
                .iter()
                .filter(|(at, _)| *at <= end && at + WINDOW > end);
            within.map(|(_, units)| units).sum()
        };
        ends.map(sum).fold(0.0, f64::max)
    }
}

proptest! {
    /// Demand of many times the quota at five entries, with silences and
    /// restarts: no window takes more than the quota, the burst once more for
    /// each cut or restart in it, and what is spent between two reports.
    #[test]
    fn the_overshoot_is_bounded(
        faults in prop::collection::vec((0u64..20_000, 0usize..5, 500u64..6_000, any::<bool>()), 0..3),
        seed in 0u64..1_000,
    ) {
        let mut fleet = Fleet::new(5);
        for now in (0..20_000).step_by(10) {
            for (start, entry, length, restarts) in &faults {
                if now == start / 10 * 10 {
                    match restarts {
                        true => fleet.restart(now, *entry),
                        false => fleet.silent[*entry] = now + length,
                    }
                }
            }
            if now % 50 == 0 {
                fleet.exchange(now);
            }
            let entry = usize::try_from((now / 10 + seed) % 5).unwrap_or(0);
            fleet.spend(now, entry, 100.0);
        }
        let quota = RATE.per_second * 8.0 + RATE.burst;
        let between_reports = 5.0 * 100.0;
        let allowed = quota + between_reports + faults.len() as f64 * RATE.burst;
        prop_assert!(fleet.worst_window() <= allowed, "{}", fleet.worst_window());
    }
}

#[test]
fn without_faults_the_quota_is_used_up() {
    let mut fleet = Fleet::new(5);
    for now in (0..20_000).step_by(10) {
        if now % 50 == 0 {
            fleet.exchange(now);
        }
        let entry = usize::try_from(now / 10 % 5).unwrap_or(0);
        fleet.spend(now, entry, 100.0);
    }
    let spent: f64 = fleet.spent.iter().map(|(_, units)| units).sum();
    assert!(spent >= 0.95 * RATE.per_second * 20.0, "{spent}");
}

#[test]
fn an_entry_that_hears_nobody_keeps_to_its_part() {
    let mut fleet = Fleet::new(5);
    fleet.silent = vec![u64::MAX; 5];
    for now in (0..20_000).step_by(10) {
        fleet.spend(now, 0, 50.0);
    }
    let spent: f64 = fleet.spent.iter().map(|(_, units)| units).sum();
    assert!(
        spent <= (20.0 * RATE.per_second + RATE.burst) / 5.0 + 50.0,
        "{spent}"
    );
}
