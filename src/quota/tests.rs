use proptest::prelude::*;

use super::*;

mod loans;
mod many_entries;
mod reconnects;
mod restarts;

const RATE: QuotaRate = QuotaRate {
    unit: QuotaUnit::Tokens,
    per_second: 1_000.0,
    burst: 1_000.0,
    // Units of a request without a token count; not used here.
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

/// Units of a window at `RATE`.
const QUOTA: f64 = 9_000.0;

/// Returns the quota of a single entry that starts at 0.
fn single_entry() -> Quota {
    Quota::new(at(0))
}

/// Time in milliseconds at which an entry that started at 0 has run for a
/// window.
const FULL_WINDOW: u64 = WINDOW;

fn spend(quota: &mut Quota, now: u64, units: f64) -> Result<(), Duration> {
    let spent = quota.spend(at(now), &organisation(), RATE, BOUNDS, units);
    spent.map_err(SpendError::retry_after)
}

#[test]
fn one_entry_enforces_the_window_quota_and_returns_the_retry_time() {
    let mut quota = single_entry();
    assert_eq!(spend(&mut quota, FULL_WINDOW, 5_000.0), Ok(()));
    assert_eq!(spend(&mut quota, FULL_WINDOW + 6_000, 4_000.0), Ok(()));
    let refused = spend(&mut quota, FULL_WINDOW + 7_000, 600.0);
    assert_eq!(refused, Err(Duration::from_millis(1_000)));
    assert_eq!(spend(&mut quota, FULL_WINDOW + 8_000, 600.0), Ok(()));
}

#[test]
fn refunded_units_can_be_spent_again() {
    let mut quota = single_entry();
    assert_eq!(spend(&mut quota, FULL_WINDOW, 9_000.0), Ok(()));
    quota.refund(&organisation(), 9_000.0);
    assert_eq!(spend(&mut quota, FULL_WINDOW, 9_000.0), Ok(()));
}

/// Rate at which the quota of a window is a fifth of `QUOTA`.
const LOWERED_RATE: QuotaRate = QuotaRate {
    per_second: 100.0,
    ..RATE
};

const LOWERED_QUOTA: f64 = 1_800.0;

#[test]
fn a_lowered_rate_applies_immediately_and_keeps_the_used_fraction() {
    let mut quota = single_entry();
    assert_eq!(spend(&mut quota, FULL_WINDOW, QUOTA / 2.0), Ok(()));
    let now = at(FULL_WINDOW + 1);
    let mut spend_lowered = |units| quota.spend(now, &organisation(), LOWERED_RATE, BOUNDS, units);
    assert_eq!(spend_lowered(LOWERED_QUOTA / 2.0), Ok(()));
    assert!(spend_lowered(1.0).is_err());
}

#[test]
fn an_exhausted_quota_stays_exhausted_at_a_lowered_rate() {
    let mut quota = single_entry();
    assert_eq!(spend(&mut quota, FULL_WINDOW, QUOTA), Ok(()));
    let now = at(FULL_WINDOW + 1);
    let refused = quota.spend(now, &organisation(), LOWERED_RATE, BOUNDS, 1.0);
    assert!(refused.is_err());
}

#[test]
fn a_rate_that_is_raised_again_counts_all_spending() {
    let mut quota = single_entry();
    assert_eq!(spend(&mut quota, FULL_WINDOW, QUOTA / 2.0), Ok(()));
    let now = at(FULL_WINDOW + 1);
    let result = quota.spend(
        now,
        &organisation(),
        LOWERED_RATE,
        BOUNDS,
        LOWERED_QUOTA / 2.0,
    );
    assert_eq!(result, Ok(()));
    let left = (QUOTA - LOWERED_QUOTA) / 2.0;
    assert_eq!(spend(&mut quota, FULL_WINDOW + 2, left), Ok(()));
    assert!(spend(&mut quota, FULL_WINDOW + 2, 1.0).is_err());
}

#[test]
fn a_request_larger_than_the_quota_passes_if_nothing_else_was_spent() {
    let mut quota = single_entry();
    assert_eq!(spend(&mut quota, FULL_WINDOW, 20_000.0), Ok(()));
    assert!(spend(&mut quota, FULL_WINDOW, 1.0).is_err());
}

/// Several entries, some of which are disconnected for a time or restarted.
struct Fleet {
    entries: Vec<(Incarnation, Quota)>,
    /// For each entry, the time in milliseconds until which it is
    /// disconnected.
    disconnected_until: Vec<u64>,
    /// Times in milliseconds and units of all accepted spending.
    spent: Vec<(u64, f64)>,
    /// Number of the next incarnation.
    next: u64,
    bounds: QuotaBounds,
}

impl Fleet {
    fn new(count: u64) -> Self {
        Self::with_bounds(count, BOUNDS)
    }

    fn with_bounds(count: u64, bounds: QuotaBounds) -> Self {
        let start = |incarnation| {
            let mut quota = Quota::new(at(0));
            quota.set_entries(usize::try_from(count).unwrap_or(1));
            (Incarnation(incarnation), quota)
        };
        Self {
            entries: (0..count).map(start).collect(),
            disconnected_until: vec![0; usize::try_from(count).unwrap_or(1)],
            spent: Vec::new(),
            next: count,
            bounds,
        }
    }

    fn exchange(&mut self, now: u64) {
        let reports: Vec<QuotaReport> = self
            .entries
            .iter_mut()
            .map(|(incarnation, quota)| quota.report(at(now), BOUNDS.window, *incarnation))
            .collect();
        for (from, report) in reports.iter().enumerate() {
            for to in 0..self.entries.len() {
                if from != to
                    && self.disconnected_until[from] <= now
                    && self.disconnected_until[to] <= now
                {
                    self.entries[to]
                        .1
                        .merge_report(at(now), BOUNDS.window, report);
                }
            }
        }
    }

    fn spend(&mut self, now: u64, entry: usize, units: f64) {
        let quota = &mut self.entries[entry].1;
        let result = quota.spend(at(now), &organisation(), RATE, self.bounds, units);
        if result.is_ok() {
            self.spent.push((now, units));
        }
    }

    /// Returns the record of the entry that writes it, on a synchronised
    /// clock.
    fn record(&mut self, now: u64) -> Option<QuotaRecord> {
        let is_writer =
            |entry: &&mut (Incarnation, Quota)| entry.1.is_record_writer(at(now), entry.0);
        let writer = self.entries.iter_mut().find(is_writer)?;
        writer.1.make_record(at(now), BOUNDS.window, now)
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

    /// Returns the most units that were spent in any window.
    fn max_window_spend(&self) -> f64 {
        let ends = self.spent.iter().map(|(time, _)| *time);
        let sum = |end: u64| {
            let within = self
                .spent
                .iter()
                .filter(|(time, _)| *time <= end && time + WINDOW > end);
            within.map(|(_, units)| units).sum()
        };
        ends.map(sum).fold(0.0, f64::max)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Demand of many times the quota at five entries, with disconnections and
    /// restarts. No window exceeds the quota, plus what is spent between two
    /// reports, plus a fifth of the quota for each fault.
    #[test]
    fn the_overshoot_is_bounded(
        faults in prop::collection::vec((0u64..20_000, 0usize..5, 500u64..6_000, any::<bool>()), 0..3),
        seed in 0u64..1_000,
    ) {
        let mut fleet = Fleet::new(5);
        for now in (0..20_000).step_by(10) {
            for (start, entry, duration, restarts) in &faults {
                if now == start / 10 * 10 {
                    match restarts {
                        true => fleet.restart(now, *entry, None),
                        false => fleet.disconnected_until[*entry] = now + duration,
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
        prop_assert!(fleet.max_window_spend() <= allowed, "{}", fleet.max_window_spend());
    }
}

#[test]
fn a_restart_of_all_entries_barely_exceeds_the_quota() {
    let mut fleet = Fleet::new(5);
    for now in (0..30_000).step_by(10) {
        // The entries start one after the other and don't receive each other's
        // reports immediately.
        if let Some(entry) = (0..5).find(|entry| now == 15_800 + 40 * entry) {
            fleet.restart(now, usize::try_from(entry).unwrap_or(0), None);
        }
        if now.is_multiple_of(50) {
            fleet.exchange(now);
        }
        let entry = usize::try_from(now / 10 % 5).unwrap_or(0);
        // The restart takes a second.
        if !(15_000..16_000).contains(&now) {
            fleet.spend(now, entry, 100.0);
        }
    }
    let max_spend = fleet.max_window_spend();
    assert!(max_spend <= QUOTA * 1.05 + 500.0, "{max_spend}");
}

const TOLERANT_BOUNDS: QuotaBounds = QuotaBounds {
    over: 0.1,
    slack: 10_000.0,
    ..BOUNDS
};

const TOLERATED_UNITS: f64 = QUOTA * 1.1 + 10_000.0;

/// A fleet of which all entries stop for a second at given times. It writes a
/// record every half second.
struct RestartingFleet {
    fleet: Fleet,
    record: Option<QuotaRecord>,
    /// Times in milliseconds at which all entries stop.
    stops: Vec<u64>,
}

impl RestartingFleet {
    fn new(bounds: QuotaBounds, stops: &[u64]) -> Self {
        Self {
            fleet: Fleet::with_bounds(5, bounds),
            record: None,
            stops: stops.to_vec(),
        }
    }

    /// Advances to `now`, and returns whether the fleet is running.
    fn step(&mut self, now: u64) -> bool {
        for stop in self.stops.clone() {
            // The entries start one after the other and read the record.
            if let Some(entry) = (0..5).find(|entry| now == stop + 800 + 40 * entry) {
                let entry = usize::try_from(entry).unwrap_or(0);
                self.fleet.restart(now, entry, self.record.clone());
            }
        }
        if self.stops.iter().any(|t| (*t..t + 1_000).contains(&now)) {
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
fn restarts_of_all_entries_stay_within_the_tolerance() {
    let cases = [
        vec![13_200],
        vec![13_200, 17_400],
        vec![9_900, 12_300, 16_700],
    ];
    for stops in cases {
        let mut restarts = RestartingFleet::new(TOLERANT_BOUNDS, &stops);
        for now in (0..30_000).step_by(10) {
            if restarts.step(now) {
                restarts.spend(now, 100.0);
            }
        }
        let max_spend = restarts.fleet.max_window_spend();
        assert!(max_spend <= TOLERATED_UNITS, "{stops:?}: {max_spend}");
    }
}

/// All entries stop after a long idle period and two seconds of demand of many
/// times the quota. After the restart, none of that spending has left the
/// window.
#[test]
fn a_burst_before_a_restart_of_all_entries_does_not_expire_early() {
    let mut restarts = RestartingFleet::new(TOLERANT_BOUNDS, &[12_000]);
    for now in (0..24_000).step_by(10) {
        if restarts.step(now) && now >= 10_000 {
            restarts.spend(now, 100.0);
        }
    }
    let max_spend = restarts.fleet.max_window_spend();
    assert!(max_spend <= TOLERATED_UNITS, "{max_spend}");
}

#[test]
fn callers_within_their_quota_are_served_after_a_restart_of_all_entries() {
    let mut restarts = RestartingFleet::new(BOUNDS, &[12_000]);
    let mut requests = 0;
    for now in (0..20_000).step_by(10) {
        // Half of the rate.
        if restarts.step(now) && now >= FULL_WINDOW && now.is_multiple_of(210) {
            requests += 1;
            restarts.spend(now, 105.0);
        }
    }
    assert_eq!(restarts.fleet.spent.len(), requests);
}

#[test]
fn an_outdated_record_is_ignored() {
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
fn without_faults_the_whole_quota_is_usable() {
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
fn a_disconnected_entry_spends_only_its_share() {
    let mut fleet = Fleet::new(5);
    fleet.disconnected_until = vec![u64::MAX; 5];
    for now in (0..32_000).step_by(10) {
        fleet.spend(now, 0, 50.0);
    }
    let max_spend = fleet.max_window_spend();
    assert!(max_spend <= QUOTA / 5.0 + 50.0, "{max_spend}");
}

#[test]
fn a_fraction_of_the_tolerance_is_available_to_callers() {
    let bounds = QuotaBounds {
        over: 0.1,
        slack: 140_000.0,
        ..BOUNDS
    };
    let allowed = bounds.allowed(RATE);
    assert!(allowed > QUOTA && allowed < 1.1 * QUOTA + 140_000.0);
    assert_eq!(BOUNDS.allowed(RATE), QUOTA);
}
