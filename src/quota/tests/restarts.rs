//! Quotas of an organisation that sends many times its usual while entries restart.

use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

/// Number of entries.
const ENTRIES: usize = 5;

/// Time between two reports of an entry, in milliseconds.
const REPORT_INTERVAL: u64 = 50;

/// Time that a report takes, in milliseconds.
const REPORT_DELAY: u64 = 20;

/// Time between two records, in milliseconds.
const RECORD_EVERY: u64 = 500;

/// Time that a stopped entry is down, in milliseconds.
const DOWN_TIME: u64 = 800;

/// Time in milliseconds from which the organisation sends many times its usual.
const HOT_FROM: u64 = 20_000;

/// End of a run, in milliseconds.
const END: u64 = 34_000;

const HOT_RATE: QuotaRate = QuotaRate {
    per_second: 200_000.0,
    burst: 100_000.0,
    ..RATE
};

const HOT_BOUNDS: QuotaBounds = QuotaBounds {
    over: 0.1,
    slack: 110_000.0,
    ..BOUNDS
};

/// Units of one request.
const HOT_REQUEST: f64 = 3_000.0;

/// Units that the organisation usually asks for in a millisecond.
const USUAL: f64 = 0.35 * HOT_RATE.per_second / 1_000.0;

/// Units that an organisation well within its quota asks for in a millisecond.
const STEADY: f64 = 0.7 * HOT_RATE.per_second / 1_000.0;

/// Entries that restart, each at its own time, and keep a record.
struct Restarts {
    /// The running entries; `None` while one is down.
    entries: Vec<Option<(Incarnation, Quota)>>,
    /// Times in milliseconds at which each entry starts again.
    starts: [u64; ENTRIES],
    /// Reports on the way: arrival in milliseconds, sender and report.
    in_flight: VecDeque<(u64, usize, QuotaReport)>,
    record: Option<QuotaRecord>,
    rng: SmallRng,
    /// Times in milliseconds and units of what was admitted.
    admitted: Vec<(u64, f64)>,
    /// Times in milliseconds of requests that were refused.
    refused: Vec<u64>,
}

impl Restarts {
    fn new(starts: [u64; ENTRIES], seed: u64) -> Self {
        let entry = |i| Some((Incarnation(i as u64), start_at(0, None)));
        Self {
            entries: (0..ENTRIES).map(entry).collect(),
            starts,
            in_flight: VecDeque::new(),
            record: None,
            rng: SmallRng::seed_from_u64(seed),
            admitted: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Runs to the end, with demand of `demand` units in each millisecond.
    fn run(mut self, demand: impl Fn(u64) -> f64) -> Self {
        for now in 0..END {
            self.restart(now);
            self.exchange(now);
            if now % RECORD_EVERY == 0 {
                self.write_record(now);
            }
            if now >= WINDOW {
                self.send(now, demand(now));
            }
        }
        self
    }

    fn restart(&mut self, now: u64) {
        for (i, start) in self.starts.into_iter().enumerate() {
            if now + DOWN_TIME == start {
                self.entries[i] = None;
            }
            if now == start {
                let incarnation = Incarnation((ENTRIES + i) as u64);
                self.entries[i] = Some((incarnation, start_at(now, self.record.clone())));
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        for (i, entry) in self.entries.iter_mut().enumerate() {
            if let Some((incarnation, quota)) = entry
                && now % REPORT_INTERVAL == i as u64
            {
                let report = quota.report(at(now), BOUNDS.window, *incarnation);
                self.in_flight.push_back((now + REPORT_DELAY, i, report));
            }
        }
        while self.in_flight.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, from, report)) = self.in_flight.pop_front() else {
                return;
            };
            for (to, entry) in self.entries.iter_mut().enumerate() {
                if let Some((_, quota)) = entry
                    && to != from
                {
                    quota.merge_report(at(now), BOUNDS.window, &report);
                }
            }
        }
    }

    fn write_record(&mut self, now: u64) {
        for (incarnation, quota) in self.entries.iter_mut().flatten() {
            if quota.is_record_writer(at(now), *incarnation)
                && let Some(record) = quota.make_record(at(now), BOUNDS.window, now)
            {
                self.record = Some(record);
                return;
            }
        }
    }

    fn send(&mut self, now: u64, units: f64) {
        let requests = units / HOT_REQUEST;
        let count = requests as u32 + u32::from(self.rng.random_bool(requests.fract()));
        for _ in 0..count {
            let running = self.entries.iter_mut().flatten();
            let mut running: Vec<&mut Quota> = running.map(|(_, quota)| quota).collect();
            if running.is_empty() {
                return;
            }
            let entry = self.rng.random_range(0..running.len());
            let quota = &mut running[entry];
            match quota.spend(at(now), &organisation(), HOT_RATE, HOT_BOUNDS, HOT_REQUEST) {
                Ok(()) => self.admitted.push((now, HOT_REQUEST)),
                Err(_) => self.refused.push(now),
            }
        }
    }

    fn window_sum(&self, end: u64) -> f64 {
        let within = self
            .admitted
            .iter()
            .filter(|(time, _)| *time <= end && time + WINDOW > end);
        within.map(|(_, units)| units).sum()
    }

    /// Returns the most units that were admitted in any window.
    fn max_window_sum(&self) -> f64 {
        let ends = (0..END).step_by(50);
        ends.map(|end| self.window_sum(end)).fold(0.0, f64::max)
    }
}

/// Returns the quota of an entry that starts at `now` and reads `record`.
fn start_at(now: u64, record: Option<QuotaRecord>) -> Quota {
    let mut quota = Quota::new(at(now));
    if let Some(record) = record {
        quota.restore(at(now), BOUNDS.window, now, record);
    }
    quota.set_entries(ENTRIES);
    quota
}

fn hot(now: u64) -> f64 {
    match now < HOT_FROM {
        true => USUAL,
        false => USUAL * 6.0,
    }
}

/// Times at which the entries start again, in milliseconds after the organisation
/// begins to send many times its usual.
const TURNS: [[u64; ENTRIES]; 4] = [
    // One after the other.
    [900, 1_200, 2_200, 2_250, 4_200],
    [600, 1_100, 1_600, 2_100, 2_600],
    // All within a fifth of a second, early and late.
    [1_000, 1_050, 1_100, 1_150, 1_200],
    [3_000, 3_050, 3_100, 3_150, 3_200],
];

/// Guards against entries that start after a burst, take its units for spread over the
/// whole window, and admit more of the organisation than operators tolerate.
#[test]
fn a_hot_organisation_stays_within_the_tolerance_while_entries_restart() {
    let quota = HOT_BOUNDS.quota(HOT_RATE);
    let tolerated = quota * (1.0 + HOT_BOUNDS.over) + HOT_BOUNDS.slack;
    for (turn, seed) in runs() {
        let restarts = Restarts::new(turn.map(|t| HOT_FROM + t), seed).run(hot);
        let most = restarts.max_window_sum();
        assert!(most <= tolerated, "{turn:?}, seed {seed}: {most}");
        let used = restarts.window_sum(HOT_FROM + WINDOW - 10);
        assert!(used >= 0.95 * quota, "{turn:?}, seed {seed}: {used}");
    }
}

/// Guards against entries that refuse an organisation well within its quota, because
/// they count twice what others have spent since they started.
#[test]
fn an_organisation_within_its_quota_is_not_refused_while_entries_restart() {
    for (turn, seed) in runs() {
        let restarts = Restarts::new(turn.map(|t| HOT_FROM + t), seed).run(|_| STEADY);
        let refused = restarts.refused.len() as f64;
        let asked = refused + restarts.admitted.len() as f64;
        assert!(
            refused <= 0.03 * asked,
            "{turn:?}, seed {seed}: {refused} of {asked}"
        );
    }
}

/// Returns each of [`TURNS`] with two seeds.
fn runs() -> impl Iterator<Item = ([u64; ENTRIES], u64)> {
    let with_seeds = |turn| (0..2).map(move |seed| (turn, seed));
    TURNS.into_iter().flat_map(with_seeds)
}

/// Guards against an organisation that is locked out after its quota is lowered, because
/// entries started shortly before and count what others spent in full.
#[test]
fn a_rate_lowered_after_a_restart_keeps_the_used_fraction() {
    let mut running = start_at(0, None);
    let spent = running.spend(at(WINDOW), &organisation(), RATE, BOUNDS, QUOTA / 4.0);
    assert_eq!(spent, Ok(()));
    let started = WINDOW + 100;
    let record = running.make_record(at(started), BOUNDS.window, started);
    let mut restarted = start_at(started, record);
    let report = running.report(at(started), BOUNDS.window, Incarnation(0));
    restarted.merge_report(at(started), BOUNDS.window, &report);
    restarted.set_entries(2);
    let mut ask = |rate, units| {
        let now = at(started + 10);
        restarted.spend(now, &organisation(), rate, BOUNDS, units)
    };
    assert_eq!(ask(RATE, 1.0), Ok(()));
    assert_eq!(ask(LOWERED_RATE, LOWERED_QUOTA / 10.0), Ok(()));
}
