use proptest::prelude::*;

use super::*;

const RATE: QuotaRate = QuotaRate {
    unit: QuotaUnit::Tokens,
    per_second: 1_000.0,
    burst: 1_000.0,
    plain: 1,
};

const WINDOW: u64 = 8_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn organisation() -> Name {
    Name::new("large")
}

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_millis(WINDOW),
    over: 0.0,
    slack: 0.0,
};

/// The quota of a window.
const QUOTA: f64 = 9_000.0;

/// An entry that has been alone for longer than a window.
fn grown_up() -> Quota {
    Quota::new(at(0))
}

const GROWN_UP: u64 = WINDOW;

fn spend(quota: &mut Quota, now: u64, units: f64) -> Result<(), Duration> {
    quota.spend(at(now), &organisation(), RATE, BOUNDS, units)
}

#[test]
fn one_entry_keeps_to_the_quota_of_a_window_and_says_when_to_come_back() {
    let mut quota = grown_up();
    assert_eq!(spend(&mut quota, GROWN_UP, 5_000.0), Ok(()));
    assert_eq!(spend(&mut quota, GROWN_UP + 6_000, 4_000.0), Ok(()));
    let refused = spend(&mut quota, GROWN_UP + 7_000, 600.0);
    assert_eq!(refused, Err(Duration::from_millis(1_000)));
    assert_eq!(spend(&mut quota, GROWN_UP + 8_000, 600.0), Ok(()));
}

#[test]
fn what_was_not_run_is_returned() {
    let mut quota = grown_up();
    assert_eq!(spend(&mut quota, GROWN_UP, 9_000.0), Ok(()));
    quota.refund(&organisation(), 9_000.0);
    assert_eq!(spend(&mut quota, GROWN_UP, 9_000.0), Ok(()));
}

/// A window's quota at this rate is a fifth of `QUOTA`.
const LOWER: QuotaRate = QuotaRate {
    per_second: 100.0,
    ..RATE
};

const LOWER_QUOTA: f64 = 1_800.0;

#[test]
fn a_lowered_rate_is_in_force_at_once_and_keeps_the_part_that_was_used() {
    let mut quota = grown_up();
    assert_eq!(spend(&mut quota, GROWN_UP, QUOTA / 2.0), Ok(()));
    let now = at(GROWN_UP + 1);
    let mut lower = |units| quota.spend(now, &organisation(), LOWER, BOUNDS, units);
    assert_eq!(lower(LOWER_QUOTA / 2.0), Ok(()));
    assert!(lower(1.0).is_err());
}

#[test]
fn a_rate_that_was_used_up_and_lowered_is_used_up() {
    let mut quota = grown_up();
    assert_eq!(spend(&mut quota, GROWN_UP, QUOTA), Ok(()));
    let now = at(GROWN_UP + 1);
    let refused = quota.spend(now, &organisation(), LOWER, BOUNDS, 1.0);
    assert!(refused.is_err());
}

#[test]
fn a_rate_that_is_raised_again_counts_all_that_was_spent() {
    let mut quota = grown_up();
    assert_eq!(spend(&mut quota, GROWN_UP, QUOTA / 2.0), Ok(()));
    let now = at(GROWN_UP + 1);
    let lower = quota.spend(now, &organisation(), LOWER, BOUNDS, LOWER_QUOTA / 2.0);
    assert_eq!(lower, Ok(()));
    let left = (QUOTA - LOWER_QUOTA) / 2.0;
    assert_eq!(spend(&mut quota, GROWN_UP + 2, left), Ok(()));
    assert!(spend(&mut quota, GROWN_UP + 2, 1.0).is_err());
}

#[test]
fn a_request_beyond_the_whole_quota_passes_alone() {
    let mut quota = grown_up();
    assert_eq!(spend(&mut quota, GROWN_UP, 20_000.0), Ok(()));
    assert!(spend(&mut quota, GROWN_UP, 1.0).is_err());
}

/// Several entries, some of them silent for a time or started anew.
struct Fleet {
    entries: Vec<(Incarnation, Quota)>,
    silent: Vec<u64>,
    spent: Vec<(u64, f64)>,
    /// The number of the next life.
    next: u64,
    bounds: QuotaBounds,
}

impl Fleet {
    fn new(count: u64) -> Self {
        Self::with_bounds(count, BOUNDS)
    }

    fn with_bounds(count: u64, bounds: QuotaBounds) -> Self {
        let start = |life| {
            let mut quota = Quota::new(at(0));
            quota.set_entries(usize::try_from(count).unwrap_or(1));
            (Incarnation(life), quota)
        };
        Self {
            entries: (0..count).map(start).collect(),
            silent: vec![0; usize::try_from(count).unwrap_or(1)],
            spent: Vec::new(),
            next: count,
            bounds,
        }
    }

    fn exchange(&mut self, now: u64) {
        let reports: Vec<QuotaReport> = self
            .entries
            .iter_mut()
            .map(|(life, quota)| quota.report(at(now), BOUNDS.window, *life))
            .collect();
        for (from, report) in reports.iter().enumerate() {
            for to in 0..self.entries.len() {
                if from != to && self.silent[from] <= now && self.silent[to] <= now {
                    self.entries[to]
                        .1
                        .merge_report(at(now), BOUNDS.window, report);
                }
            }
        }
    }

    fn spend(&mut self, now: u64, entry: usize, units: f64) {
        let quota = &mut self.entries[entry].1;
        let passed = quota.spend(at(now), &organisation(), RATE, self.bounds, units);
        if passed.is_ok() {
            self.spent.push((now, units));
        }
    }

    /// The record of the entry that keeps it, on a clock that agrees.
    fn record(&mut self, now: u64) -> Option<QuotaRecord> {
        let keeps = |entry: &&mut (Incarnation, Quota)| entry.1.keeps_record(at(now), entry.0);
        let keeper = self.entries.iter_mut().find(keeps)?;
        keeper.1.record(at(now), BOUNDS.window, now)
    }

    fn restart(&mut self, now: u64, entry: usize, record: Option<QuotaRecord>) {
        let mut quota = Quota::new(at(now));
        if let Some(record) = record {
            quota.restore(at(now), BOUNDS.window, now, record);
        }
        quota.set_entries(self.entries.len());
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
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Demand of many times the quota at five entries, with silences and
    /// restarts: no window takes more than the quota, what is spent between
    /// two reports, and a fifth of the quota for each fault in it.
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
                        true => fleet.restart(now, *entry, None),
                        false => fleet.silent[*entry] = now + length,
                    }
                }
            }
            if now.is_multiple_of(50) {
                fleet.exchange(now);
            }
            let entry = usize::try_from((now / 10 + seed) % 5).unwrap_or(0);
            fleet.spend(now, entry, 100.0);
        }
        let between_reports = 5.0 * 100.0;
        let allowed = QUOTA + between_reports + faults.len() as f64 * QUOTA / 5.0;
        prop_assert!(fleet.worst_window() <= allowed, "{}", fleet.worst_window());
    }
}

#[test]
fn a_restart_of_all_entries_gives_little_beyond_the_quota() {
    let mut fleet = Fleet::new(5);
    for now in (0..30_000).step_by(10) {
        // They start one after the other and don't hear each other at once.
        if let Some(entry) = (0..5).find(|entry| now == 15_800 + 40 * entry) {
            fleet.restart(now, usize::try_from(entry).unwrap_or(0), None);
        }
        if now.is_multiple_of(50) {
            fleet.exchange(now);
        }
        let entry = usize::try_from(now / 10 % 5).unwrap_or(0);
        // A restart takes a second.
        if !(15_000..16_000).contains(&now) {
            fleet.spend(now, entry, 100.0);
        }
    }
    let worst = fleet.worst_window();
    assert!(worst <= QUOTA * 1.05 + 500.0, "{worst}");
}

const TOLERANT: QuotaBounds = QuotaBounds {
    over: 0.1,
    slack: 10_000.0,
    ..BOUNDS
};

const TOLERATED: f64 = QUOTA * 1.1 + 10_000.0;

/// A fleet of which all entries stop at some moments, each time for a second;
/// it keeps a record every half second.
struct Restarts {
    fleet: Fleet,
    record: Option<QuotaRecord>,
    begun: Vec<u64>,
}

impl Restarts {
    fn new(bounds: QuotaBounds, begun: &[u64]) -> Self {
        Self {
            fleet: Fleet::with_bounds(5, bounds),
            record: None,
            begun: begun.to_vec(),
        }
    }

    /// Lets ten milliseconds pass; says whether the fleet is up.
    fn step(&mut self, now: u64) -> bool {
        for begun in self.begun.clone() {
            // They start one after the other, and read the record.
            if let Some(entry) = (0..5).find(|entry| now == begun + 800 + 40 * entry) {
                let entry = usize::try_from(entry).unwrap_or(0);
                self.fleet.restart(now, entry, self.record.clone());
            }
        }
        if self.begun.iter().any(|t| (*t..t + 1_000).contains(&now)) {
            return false;
        }
        if now.is_multiple_of(50) {
            self.fleet.exchange(now);
        }
        if now.is_multiple_of(500) {
            self.record = self.fleet.record(now);
        }
        true
    }

    fn spend(&mut self, now: u64, units: f64) {
        let entry = usize::try_from(now / 10 % 5).unwrap_or(0);
        self.fleet.spend(now, entry, units);
    }
}

#[test]
fn restarts_of_all_entries_stay_within_what_is_tolerated() {
    let cases = [
        vec![13_200],
        vec![13_200, 17_400],
        vec![9_900, 12_300, 16_700],
    ];
    for begun in cases {
        let mut restarts = Restarts::new(TOLERANT, &begun);
        for now in (0..30_000).step_by(10) {
            if restarts.step(now) {
                restarts.spend(now, 100.0);
            }
        }
        let worst = restarts.fleet.worst_window();
        assert!(worst <= TOLERATED, "{begun:?}: {worst}");
    }
}

/// Two seconds of many times the quota right before everything stops, after a
/// long calm: nothing has left the window when everything starts again.
#[test]
fn a_burst_before_a_restart_of_all_is_not_let_go_as_if_spent_evenly() {
    let mut restarts = Restarts::new(TOLERANT, &[12_000]);
    for now in (0..24_000).step_by(10) {
        if restarts.step(now) && now >= 10_000 {
            restarts.spend(now, 100.0);
        }
    }
    let worst = restarts.fleet.worst_window();
    assert!(worst <= TOLERATED, "{worst}");
}

#[test]
fn callers_within_their_quota_are_served_after_a_restart_of_all() {
    let mut restarts = Restarts::new(BOUNDS, &[12_000]);
    let mut asked = 0;
    for now in (0..20_000).step_by(10) {
        // Half of the rate.
        if restarts.step(now) && now >= GROWN_UP && now.is_multiple_of(210) {
            asked += 1;
            restarts.spend(now, 105.0);
        }
    }
    assert_eq!(restarts.fleet.spent.len(), asked);
}

#[test]
fn a_record_that_is_old_is_not_believed() {
    let mut quota = Quota::new(at(0));
    let record = |written_millis| QuotaRecord {
        written_millis,
        spends: std::iter::once((organisation(), vec![0.0; 16])).collect(),
    };
    assert!(!quota.restore(at(0), BOUNDS.window, 20_000, record(14_000)));
    assert!(spend(&mut quota, 0, 100.0).is_err());
    assert!(quota.restore(at(0), BOUNDS.window, 20_000, record(19_000)));
    assert_eq!(spend(&mut quota, 0, 100.0), Ok(()));
}

#[test]
fn without_faults_the_quota_is_used_up() {
    let mut fleet = Fleet::new(5);
    for now in (0..32_000).step_by(10) {
        if now % 50 == 0 {
            fleet.exchange(now);
        }
        let entry = usize::try_from(now / 10 % 5).unwrap_or(0);
        fleet.spend(now, entry, 100.0);
    }
    let spent: f64 = fleet.spent.iter().map(|(_, units)| units).sum();
    assert!(spent >= 0.95 * QUOTA * 4.0, "{spent}");
}

#[test]
fn an_entry_that_hears_nobody_keeps_to_its_part() {
    let mut fleet = Fleet::new(5);
    fleet.silent = vec![u64::MAX; 5];
    for now in (0..32_000).step_by(10) {
        fleet.spend(now, 0, 50.0);
    }
    let worst = fleet.worst_window();
    assert!(worst <= QUOTA / 5.0 + 50.0, "{worst}");
}

#[test]
fn a_part_of_what_is_tolerated_is_given_to_callers() {
    let bounds = QuotaBounds {
        over: 0.1,
        slack: 140_000.0,
        ..BOUNDS
    };
    let allowed = bounds.allowed(RATE);
    assert!(allowed > QUOTA && allowed < 1.1 * QUOTA + 140_000.0);
    assert_eq!(BOUNDS.allowed(RATE), QUOTA);
}
