//! Many entries that keep to one limit together, in simulated time.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::ids::Incarnation;
use crate::peer_table::PeerTable;
use crate::rate_limits::Pacing;
use crate::rate_limits::PermitAnswer;
use crate::rate_limits::PermitId;
use crate::rate_limits::PermitIssuer;
use crate::rate_limits::PermitRequest;

const UPSTREAM: &str = "i-1";

/// The time between two reports of an entry, in milliseconds.
const REPORT_INTERVAL: u64 = 400;

/// The time between two reports in a fleet, which is below the time after which an entry
/// counts as silent.
const FLEET_REPORT_INTERVAL: u64 = 900;

/// The window over which permits are counted, in milliseconds.
const WINDOW: u64 = 4_000;

/// The time for which an entry that starts issues no permits, in milliseconds.
const START_TIME: u64 = 1_000;

/// How a simulation is disturbed.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Entries that stop and are started again, in all.
    restarts: usize,
    /// The part of the entries that can't reach the others for some seconds.
    cut_off: f64,
}

struct SimulatedEntry {
    table: PeerTable,
    started: u64,
    is_running: bool,
    /// The side of a network partition on which it is.
    side: u8,
    issuer: Option<PermitIssuer>,
}

struct Simulation {
    rng: SmallRng,
    entries: Vec<SimulatedEntry>,
    per_second: f64,
    now: u64,
    requests: u64,
    granted: Vec<u64>,
}

fn address(entry: usize) -> SocketAddr {
    let [.., high, low] = (entry as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7600))
}

impl Simulation {
    fn new(seed: u64, entries: usize, per_second: f64) -> Self {
        let mut this = Self {
            rng: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            per_second,
            now: 0,
            requests: 0,
            granted: Vec::new(),
        };
        for i in 0..entries {
            let entry = this.new_entry(i, 0);
            this.entries.push(entry);
        }
        // All entries have run for a while.
        this.now = START_TIME;
        (0..entries).for_each(|i| this.report(i));
        this
    }

    fn new_entry(&self, number: usize, started: u64) -> SimulatedEntry {
        SimulatedEntry {
            table: PeerTable::new(address(number)),
            started,
            is_running: true,
            side: 0,
            issuer: None,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.entries[from], &self.entries[to]);
        from.is_running && to.is_running && from.side == to.side
    }

    /// Sends the report of an entry to all others.
    fn report(&mut self, from: usize) {
        let incarnation = Incarnation(self.entries[from].started * 10_000 + from as u64);
        for to in 0..self.entries.len() {
            if to != from && self.reaches(from, to) {
                let table = &mut self.entries[to].table;
                table.add(at(self.now), address(from));
                table.record_report(at(self.now), address(from), incarnation);
            }
        }
    }

    /// Lets an entry ask for a permit once, as `UpstreamLimits::acquire` does.
    fn ask(&mut self, entry: usize) {
        let now = at(self.now);
        let upstream = UPSTREAM.as_bytes();
        let holder = self.entries[entry].table.holder(now, upstream, false);
        let issuing = holder.map_or(entry, |holder| {
            let found = (0..self.entries.len()).find(|i| address(*i) == holder);
            found.expect("an entry")
        });
        if issuing != entry && !self.reaches(entry, issuing) {
            return;
        }
        let issuer = &mut self.entries[issuing];
        let is_holder = issuer.table.holder(now, upstream, false).is_none();
        if !is_holder || self.now < issuer.started + START_TIME {
            return;
        }
        let fraction = issuer.table.reachable_fraction(now);
        let interval = Pacing::interval(self.per_second).div_f64(fraction);
        let permits = issuer
            .issuer
            .get_or_insert_with(|| PermitIssuer::new(now, interval));
        permits.set_interval(interval);
        self.requests += 1;
        let id = PermitId {
            entry: Incarnation(entry as u64),
            number: self.requests,
        };
        let request = PermitRequest {
            id,
            rank: 0,
            max_wait: Duration::ZERO,
        };
        if permits.request(now, request) == PermitAnswer::Granted {
            self.granted.push(self.now);
        }
    }

    /// Runs for `millis`, with `asked` requests per millisecond, most of them at a few
    /// entries.
    fn run(&mut self, millis: u64, asked: f64, faults: Faults) {
        let count = self.entries.len();
        let begin = self.now;
        let report_interval = match count {
            0..100 => REPORT_INTERVAL,
            _ => FLEET_REPORT_INTERVAL,
        };
        let busy = (count / 20).max(1);
        let cut = (begin + millis / 3, begin + millis * 2 / 3);
        for step in 0..millis {
            self.now = begin + step;
            for i in 0..count {
                if (self.now + i as u64).is_multiple_of(report_interval)
                    && self.entries[i].is_running
                {
                    self.report(i);
                }
            }
            if self.now == cut.0 {
                for entry in &mut self.entries {
                    entry.side = u8::from(self.rng.random_bool(faults.cut_off));
                }
            }
            if self.now == cut.1 {
                self.entries.iter_mut().for_each(|e| e.side = 0);
            }
            let share = faults.restarts as f64 / millis as f64;
            if self.rng.random_bool(share.min(1.0)) {
                let i = self.rng.random_range(0..count);
                self.entries[i].is_running = !self.entries[i].is_running;
                if self.entries[i].is_running {
                    self.entries[i] = self.new_entry(i, self.now);
                }
            }
            let mut asked = asked;
            while self.rng.random_bool(asked.min(1.0)) {
                let is_busy = self.rng.random_bool(0.8);
                let bound = if is_busy { busy } else { count };
                let entry = self.rng.random_range(0..bound);
                if self.entries[entry].is_running {
                    self.ask(entry);
                }
                asked -= 1.0;
                if asked <= 0.0 {
                    break;
                }
            }
        }
    }

    fn most_in_window(&self) -> usize {
        let in_window = |begin: &u64| {
            let inside = |t: &&u64| **t >= *begin && **t < begin + WINDOW;
            self.granted.iter().filter(inside).count()
        };
        self.granted.iter().map(in_window).max().unwrap_or_default()
    }

    fn allowed(&self) -> f64 {
        1.5 * self.per_second * WINDOW as f64 / 1_000.0 + 5.0
    }
}

fn seeds() -> std::ops::Range<u64> {
    0..4
}

// Issue 34, LIMIT: the limit of an upstream is one for all entries.
#[test]
fn limit_is_kept_and_used_at_any_number_of_entries() {
    let cases = [(1, 5.4), (5, 0.5), (5, 5.4), (60, 40.0), (1_300, 5.4)];
    for (entries, per_second) in cases {
        let mut simulation = Simulation::new(1, entries, per_second);
        let millis = if entries > 100 { 4_500 } else { 20_000 };
        simulation.run(millis, 0.5, Faults::default());
        let most = simulation.most_in_window();
        assert!(most as f64 <= simulation.allowed(), "{entries}: {most}");
        let usable = per_second * (millis as f64 / 1_000.0) * 0.8 - 1.0;
        let granted = simulation.granted.len();
        assert!(
            granted as f64 >= usable,
            "{entries}: {granted} at {per_second}"
        );
    }
}

// Issue 34, LIMIT: entries that start disagree with others on who issues the permits.
#[test]
fn limit_is_kept_while_entries_stop_and_start() {
    for seed in seeds() {
        for per_second in [2.1, 5.4, 40.0] {
            let mut simulation = Simulation::new(seed, 5, per_second);
            let faults = Faults {
                restarts: 30,
                ..Faults::default()
            };
            simulation.run(60_000, 0.5, faults);
            let most = simulation.most_in_window();
            let allowed = simulation.allowed();
            assert!(most as f64 <= allowed, "seed {seed}: {most} of {allowed}");
        }
    }
}

// Issue 34, LIMIT: entries that can't reach each other still reach the upstream.
#[test]
fn limit_is_kept_while_entries_are_cut_off_from_each_other() {
    for seed in seeds() {
        for per_second in [2.1, 5.4, 40.0] {
            let mut simulation = Simulation::new(seed, 6, per_second);
            let faults = Faults {
                cut_off: 0.5,
                ..Faults::default()
            };
            simulation.run(40_000, 0.5, faults);
            let most = simulation.most_in_window();
            let allowed = simulation.allowed();
            assert!(most as f64 <= allowed, "seed {seed}: {most} of {allowed}");
        }
    }
}
