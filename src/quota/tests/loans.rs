//! Loans of units between entries.

use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

/// Time between two reports of an entry, in milliseconds; they are sent at different times.
const REPORT_INTERVAL: u64 = 400;

/// Time that a report takes, in milliseconds.
const REPORT_DELAY: u64 = 60;

/// Share of lost reports.
const REPORT_LOSS: f64 = 0.03;

/// Mean units of a request.
const MEAN_REQUEST: f64 = 10_000.0;

const TOLERANCE: QuotaBounds = QuotaBounds {
    window: Duration::from_millis(WINDOW),
    over: 0.1,
    slack: 140_000.0,
};

/// Returns an entry that asks at `now` and spends what it gets at once.
fn borrower(entry: u64, now: Timestamp) -> Borrower {
    Borrower {
        entry: Incarnation(entry),
        reports_from: now.since(at(0)),
    }
}

/// An organisation that sends a part of its quota.
struct Sender {
    name: Name,
    rate: QuotaRate,
    /// Requests per millisecond.
    requests: f64,
    /// The times and units that were spent.
    spent: Vec<(u64, f64)>,
    offered: usize,
    refused: usize,
}

/// Entries through which organisations of unlike size send long prompts.
struct Site {
    entries: Vec<Quota>,
    in_flight: VecDeque<(u64, usize, QuotaReport)>,
    senders: Vec<Sender>,
    /// When the entries last started, in milliseconds.
    started: u64,
    rng: SmallRng,
    /// Share of the organisations' quotas that they send.
    load: f64,
}

impl Site {
    fn new(entries: usize, senders: usize, load: f64, seed: u64) -> Self {
        let start = |_| {
            let mut quota = Quota::new(at(0));
            quota.set_entries(entries);
            quota
        };
        let sender = |i: usize| {
            // The largest one sends a hundred times as much as the smallest.
            let share = 100.0_f64.powf(-(i as f64) / senders as f64);
            let per_second = 1_000_000.0 * share;
            Sender {
                name: Name::new(&format!("o{i}")),
                rate: QuotaRate {
                    per_second,
                    burst: per_second,
                    ..RATE
                },
                requests: per_second * load / MEAN_REQUEST / 1_000.0,
                spent: Vec::new(),
                offered: 0,
                refused: 0,
            }
        };
        Self {
            entries: (0..entries).map(start).collect(),
            in_flight: VecDeque::new(),
            senders: (0..senders).map(sender).collect(),
            started: 0,
            rng: SmallRng::seed_from_u64(seed),
            load,
        }
    }

    fn exchange(&mut self, now: u64) {
        let count = self.entries.len() as u64;
        for entry in 0..self.entries.len() {
            if now % REPORT_INTERVAL == entry as u64 * REPORT_INTERVAL / count {
                let from = Incarnation(self.started * 1_000 + entry as u64);
                let report = self.entries[entry].report(at(now), TOLERANCE.window, from);
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
                    quota.merge_report(at(now), TOLERANCE.window, &report);
                }
            }
        }
    }

    /// Sends the requests of a millisecond through entries, some of which get far more
    /// than others.
    fn send(&mut self, now: u64, factor: f64) {
        for i in 0..self.senders.len() {
            let requests = self.senders[i].requests * factor;
            let count = requests as u32 + u32::from(self.rng.random_bool(requests.fract()));
            for _ in 0..count {
                let skewed = self.rng.random_range(0.0..1.0_f64).powi(2);
                let entry = (skewed * self.entries.len() as f64) as usize;
                let units = MEAN_REQUEST * self.rng.random_range(0.2..1.8);
                let spent = self.spend(now, i, entry, units);
                let sender = &mut self.senders[i];
                sender.offered += 1;
                match spent {
                    true => sender.spent.push((now, units)),
                    false => sender.refused += 1,
                }
            }
        }
    }

    fn spend(&mut self, now: u64, sender: usize, entry: usize, units: f64) -> bool {
        let now = at(now);
        let Sender { name, rate, .. } = &self.senders[sender];
        match self.entries[entry].spend(now, name, *rate, TOLERANCE, units) {
            Ok(()) => return true,
            Err(SpendError::Exhausted(_)) => return false,
            Err(SpendError::NoCredit) => {}
        }
        let lender = sender % self.entries.len();
        let borrower = Borrower {
            entry: Incarnation(self.started * 1_000 + entry as u64),
            reports_from: now.since(at(self.started)),
        };
        let lent = self.entries[lender]
            .lend(now, name, *rate, TOLERANCE, units, borrower)
            .is_ok();
        if lent {
            self.entries[entry].spend_lent(now, name, TOLERANCE, units);
        }
        lent
    }

    /// Starts all entries again, with what one of them has recorded.
    fn restart(&mut self, now: u64, record: &QuotaRecord) {
        let count = self.entries.len();
        for quota in &mut self.entries {
            *quota = Quota::new(at(now));
            quota.restore(at(now), TOLERANCE.window, now, record.clone());
            quota.set_entries(count);
        }
        self.started = now;
        self.in_flight.clear();
    }

    /// Returns the numbers of requests that were refused and sent.
    fn refused(&self) -> (usize, usize) {
        let refused = self.senders.iter().map(|s| s.refused).sum();
        let offered = self.senders.iter().map(|s| s.offered).sum();
        (refused, offered)
    }

    /// Checks that no organisation has spent more than is tolerated in any window.
    fn check_tolerance(&self) {
        for sender in &self.senders {
            let tolerated = TOLERANCE.quota(sender.rate) * (1.0 + TOLERANCE.over) + TOLERANCE.slack;
            let mut window: VecDeque<(u64, f64)> = VecDeque::new();
            let mut sum = 0.0;
            for (time, units) in &sender.spent {
                window.push_back((*time, *units));
                sum += units;
                while window
                    .front()
                    .is_some_and(|(first, _)| first + WINDOW <= *time)
                {
                    sum -= window.pop_front().map_or(0.0, |(_, units)| units);
                }
                assert!(
                    sum <= tolerated,
                    "{} at {time}: {sum} of {tolerated}, {} entries, load {}",
                    sender.name,
                    self.entries.len(),
                    self.load
                );
            }
        }
    }
}

/// Pattern: organisations of unlike size send long prompts at nine tenths of their quotas
/// through many entries. The credit of each entry is smaller than a prompt.
#[test]
fn long_prompts_within_a_quota_are_served_at_any_number_of_entries() {
    for (entries, senders) in [(1, 4), (5, 4), (30, 8), (103, 8)] {
        let mut site = Site::new(entries, senders, 0.9, 11);
        for now in 0..22_000 {
            site.exchange(now);
            if now >= WINDOW {
                site.send(now, 1.0);
            }
        }
        let (refused, offered) = site.refused();
        assert!(
            refused * 200 <= offered,
            "{entries} entries: {refused} of {offered}"
        );
        site.check_tolerance();
    }
}

/// Pattern: all organisations send six times their usual for some seconds.
#[test]
fn loans_stay_within_the_tolerance_in_a_burst() {
    for (entries, seed) in [(5, 1), (30, 2), (103, 3)] {
        let mut site = Site::new(entries, 4, 0.6, seed);
        for now in 0..22_000 {
            site.exchange(now);
            if now >= WINDOW {
                let is_burst = (12_000..18_000).contains(&now);
                site.send(now, if is_burst { 6.0 } else { 1.0 });
            }
        }
        site.check_tolerance();
    }
}

/// Pattern: all entries die and start again while organisations send ten times their
/// usual. Each of many entries let one request of each organisation pass unasked.
#[test]
fn restart_of_all_entries_in_a_burst_stays_within_the_tolerance() {
    for (entries, seed) in [(5, 1), (30, 2), (103, 3)] {
        let mut site = Site::new(entries, 4, 0.6, seed);
        for now in 0..26_000 {
            site.exchange(now);
            if now == 13_000 {
                let record = site.entries[0].make_record(at(12_800), TOLERANCE.window, 12_800);
                site.restart(14_000, &record.expect("a record"));
            }
            if now >= WINDOW && !(13_000..14_000).contains(&now) {
                let is_burst = (9_000..18_000).contains(&now);
                site.send(now, if is_burst { 10.0 } else { 1.0 });
            }
        }
        site.check_tolerance();
    }
}

fn lend(quota: &mut Quota, now: u64, units: f64) -> Result<(), Duration> {
    let borrower = borrower(7, at(now));
    quota.lend(at(now), &organisation(), RATE, BOUNDS, units, borrower)
}

#[test]
fn lender_lends_a_part_of_what_remains_until_it_is_reported() {
    let mut quota = single_entry();
    let lent = (0..100).filter(|_| lend(&mut quota, FULL_WINDOW, 100.0).is_ok());
    let lent = lent.count() as f64 * 100.0;
    assert_eq!(lent, QUOTA * super::super::loans::LOAN_FRACTION);
    assert!(lend(&mut quota, FULL_WINDOW + 100, 100.0).is_err());
    let mut report = QuotaReport {
        from: Incarnation(7),
        age: Duration::from_millis(FULL_WINDOW - 1),
        totals: Vec::new(),
    };
    quota.merge_report(at(FULL_WINDOW + 110), BOUNDS.window, &report);
    assert!(lend(&mut quota, FULL_WINDOW + 120, 100.0).is_err());
    report.age = Duration::from_millis(FULL_WINDOW + 100);
    quota.merge_report(at(FULL_WINDOW + 200), BOUNDS.window, &report);
    assert_eq!(lend(&mut quota, FULL_WINDOW + 210, 100.0), Ok(()));
}

#[test]
fn loan_to_an_entry_that_is_silent_is_forgotten() {
    let mut quota = single_entry();
    let most = QUOTA * super::super::loans::LOAN_FRACTION;
    assert_eq!(lend(&mut quota, FULL_WINDOW, most), Ok(()));
    assert!(lend(&mut quota, FULL_WINDOW + 1_999, most).is_err());
    assert_eq!(lend(&mut quota, FULL_WINDOW + 2_000, most), Ok(()));
}

#[test]
fn lender_does_not_lend_more_than_remains() {
    let mut quota = single_entry();
    assert_eq!(spend(&mut quota, FULL_WINDOW, QUOTA), Ok(()));
    assert!(lend(&mut quota, FULL_WINDOW + 1, 1.0).is_err());
}
