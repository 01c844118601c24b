//! Simulation in virtual time of entries that share the replicas of a plain service.
//!
//! The entries run the code of the product for ordering candidates, dispatching and
//! scheduling. The replicas, callers and the network are models.

mod replicas;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use super::scenario::Scenario;
use super::scenario::Totals;
use crate::clock::Timestamp;
use crate::dispatch::Action;
use crate::dispatch::Choice;
use crate::dispatch::Dispatch;
use crate::dispatch::Event;
use crate::entry::load_metrics::LoadMetrics;
use crate::entry::local_schedulers::LocalSchedulers;
use crate::entry::reported_loads::ReportedLoads;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::routing;
use crate::routing::Candidate;
use crate::scheduler::SchedulerConfig;
use crate::settings::Policy;
use crate::settings::Settings;
use crate::ticket::Rank;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::ticket::Work;
use crate::upstream_load::AnswerOutcome;
use crate::upstream_load::CHOICES;
use crate::upstream_load::ReportedLoad;

/// The number of zones, each with one replica.
const ZONES: usize = 3;

/// The number of slots of a replica.
const SLOTS: usize = 6;

/// The time for which a new connection holds a slot, in microseconds.
const CONNECT_US: u64 = 1_000;

/// The one-way latency between zones, in microseconds.
const ZONE_LATENCY_US: u64 = 900;

/// The latency to the caller, in microseconds.
const CALLER_LATENCY_US: u64 = 6_000;

/// The latency objective of a request, in microseconds.
const OBJECTIVE_US: u64 = 150_000;

/// The timeout of a request, in microseconds.
const DEADLINE_US: u64 = 1_000_000;

/// The time between changes of the pace of a replica, in microseconds.
const PACE_PERIOD_US: u64 = 600_000;

/// The number of times that an entry offers a request that replicas reject.
const ATTEMPTS: u32 = 3;

/// The delay after which a caller retries once, in microseconds.
const RETRY_US: u64 = 300_000;

/// The time between two ticks of the schedulers, in microseconds.
const TICK_US: u64 = 50_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrival,
    Retry(usize),
    Reach(usize, usize),
    Done(usize, usize),
    Answer(usize, usize, bool),
    Pace,
    Tick,
}

struct Replica {
    name: Name,
    running: usize,
    waiting: VecDeque<(usize, u64)>,
    is_slow: bool,
}

struct Entry {
    zone: usize,
    loads: Rc<ReportedLoads>,
    schedulers: LocalSchedulers,
}

struct Request {
    entry: usize,
    id: RequestId,
    arrived: u64,
    /// The service time at the usual pace, in microseconds. It is drawn on arrival, so that
    /// all runs with the same seed have the same requests.
    service: u64,
    sent_at: u64,
    attempts: u32,
    is_retry: bool,
    met_slow: bool,
    waited: u64,
    load: Option<ReportedLoad>,
    dispatch: Dispatch,
    sent_to: Option<usize>,
    tx: UnboundedSender<Event>,
    rx: UnboundedReceiver<Event>,
    is_over: bool,
}

pub struct Fleet {
    scenario: Scenario,
    now: u64,
    sequence: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    entries: Vec<Entry>,
    replicas: Vec<Replica>,
    requests: Vec<Request>,
    /// The requests that each entry holds.
    open: Vec<BTreeSet<usize>>,
    world: SmallRng,
    choices: SmallRng,
    totals: Totals,
}

fn at(us: u64) -> Timestamp {
    Timestamp::new(Duration::from_micros(us))
}

impl Fleet {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let replicas = (0..ZONES).map(|i| Replica {
            name: Name::new(&format!("replica-{i}")),
            running: 0,
            waiting: VecDeque::new(),
            is_slow: false,
        });
        let entries = (0..scenario.entries).map(|i| {
            let log = Logger::root(Discard, o!());
            let loads = Rc::new(ReportedLoads::new(
                LoadMetrics::default(),
                seed + i as u64,
                log,
            ));
            Entry {
                zone: i % ZONES,
                schedulers: LocalSchedulers::new(Rc::clone(&loads)),
                loads,
            }
        });
        Self {
            scenario,
            now: 0,
            sequence: 0,
            steps: BinaryHeap::new(),
            entries: entries.collect(),
            replicas: replicas.collect(),
            requests: Vec::new(),
            open: vec![BTreeSet::new(); scenario.entries],
            world: SmallRng::seed_from_u64(seed),
            choices: SmallRng::seed_from_u64(seed ^ 0x5eed),
            totals: Totals::default(),
        }
    }

    /// Runs the scenario to its end.
    pub fn run(mut self) -> Totals {
        self.schedule(0, Step::Pace);
        self.schedule(0, Step::Arrival);
        self.schedule(0, Step::Tick);
        let end = self.scenario.seconds * 1_000_000;
        while let Some(Reverse((time, _, step))) = self.steps.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.take(step);
        }
        self.totals
    }

    fn schedule(&mut self, time: u64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse((time, self.sequence, step)));
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrival => {
                let zone = self.draw_zone();
                let in_zone = (self.scenario.entries + ZONES - 1 - zone) / ZONES;
                let entry = zone + ZONES * self.world.random_range(0..in_zone);
                let service = self.draw_service_us();
                self.accept(entry, self.now, service, false);
                self.totals.requests += 1;
                let in_burst = self.now % 5_000_000 < 1_000_000;
                let factor = if in_burst { self.scenario.burst } else { 1.0 };
                let mean = 1e6 / (self.scenario.rate * factor);
                let draw: f64 = self.world.random();
                let gap = -mean * (1.0 - draw).ln();
                self.schedule(self.now + gap as u64, Step::Arrival);
            }
            Step::Retry(request) => {
                let Request {
                    entry,
                    arrived,
                    service,
                    ..
                } = self.requests[request];
                self.accept(entry, arrived, service, true);
            }
            Step::Reach(request, replica) => self.reach(request, replica),
            Step::Done(request, replica) => self.complete(request, replica),
            Step::Answer(request, replica, is_served) => {
                self.answer(request, replica, is_served);
            }
            Step::Pace => {
                for replica in &mut self.replicas {
                    replica.is_slow = self.world.random_bool(self.scenario.slow_share);
                }
                self.schedule(self.now + PACE_PERIOD_US, Step::Pace);
            }
            Step::Tick => {
                for entry in 0..self.entries.len() {
                    self.entries[entry].schedulers.tick(at(self.now));
                    self.deliver_events(entry);
                }
                self.schedule(self.now + TICK_US, Step::Tick);
            }
        }
    }

    fn draw_zone(&mut self) -> usize {
        let busiest = (self.now / 4_000_000) as usize % ZONES;
        match self.world.random_bool(self.scenario.skew) {
            true => busiest,
            false => self.world.random_range(0..ZONES),
        }
    }

    /// Accepts a request at an entry.
    fn accept(&mut self, entry: usize, arrived: u64, service: u64, is_retry: bool) {
        let choices = self.candidates(entry);
        let loads = &self.entries[entry].loads;
        let max_tickets = match choices.iter().any(|c| loads.is_reported(&c.upstream)) {
            true => CHOICES,
            false => 6,
        };
        let left = (arrived + OBJECTIVE_US).saturating_sub(self.now);
        let left = Duration::from_micros(left);
        let (tx, rx) = mpsc::unbounded_channel();
        let id = RequestId {
            incarnation: Incarnation(entry as u64),
            sequence: self.requests.len() as u64,
        };
        let dispatch = Dispatch::new(choices, max_tickets)
            .with_time_limits(left, Duration::from_micros(DEADLINE_US))
            .with_deadline(Duration::from_micros(DEADLINE_US));
        let request = self.requests.len();
        self.open[entry].insert(request);
        self.requests.push(Request {
            entry,
            id,
            arrived,
            service,
            sent_at: 0,
            attempts: 0,
            is_retry,
            met_slow: false,
            waited: 0,
            load: None,
            dispatch,
            sent_to: None,
            tx,
            rx,
            is_over: false,
        });
        let actions = self.requests[request].dispatch.start();
        self.carry_out(request, actions);
        self.deliver_events(entry);
        if self.requests[request].sent_to.is_none() {
            self.totals.held += 1;
        }
    }

    fn candidates(&mut self, entry: usize) -> Vec<Choice> {
        let zone = self.entries[entry].zone;
        let candidates = self.replicas.iter().enumerate().map(|(i, r)| Candidate {
            upstream: r.name.clone(),
            zone: Name::new(&i.to_string()),
            same_zone: i == zone,
            matching_chunks: 0,
            outstanding: 0,
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let rng = &mut self.choices;
        let mut choices = routing::order_candidates(Policy::LateBinding, candidates, 0, rng);
        let loads = &self.entries[entry].loads;
        loads.order(at(self.now), &mut choices, rng);
        choices
    }

    /// Delivers the events of the requests that `entry` holds.
    fn deliver_events(&mut self, entry: usize) {
        loop {
            let mut is_idle = true;
            let open: Vec<usize> = self.open[entry].iter().copied().collect();
            for request in open {
                while let Ok(event) = self.requests[request].rx.try_recv() {
                    is_idle = false;
                    let actions = self.requests[request].dispatch.handle_event(event);
                    self.carry_out(request, actions);
                }
            }
            if is_idle {
                return;
            }
        }
    }

    fn carry_out(&mut self, request: usize, actions: Vec<Action>) {
        let now = at(self.now);
        for action in actions {
            let Request { entry, id, .. } = self.requests[request];
            match action {
                Action::Offer(upstream) => {
                    let ticket = self.ticket(request);
                    let settings = Settings::default();
                    let config = SchedulerConfig::new(&settings, None, SLOTS);
                    let tx = self.requests[request].tx.clone();
                    let schedulers = &self.entries[entry].schedulers;
                    schedulers.offer(now, &upstream, config, ticket, &tx);
                }
                Action::Withdraw(upstream) => {
                    let reason = WithdrawReason::SentElsewhere;
                    let schedulers = &self.entries[entry].schedulers;
                    schedulers.withdraw(now, &upstream, id, reason);
                }
                Action::Send(upstream, grant) => {
                    let schedulers = &self.entries[entry].schedulers;
                    schedulers.mark_sent(now, &upstream, id, grant);
                    let replica = self.position(&upstream);
                    let latency = self.latency(entry, replica);
                    self.requests[request].sent_at = self.now;
                    self.requests[request].sent_to = Some(replica);
                    self.schedule(self.now + latency, Step::Reach(request, replica));
                }
                Action::GiveUp { .. } => self.give_up(request),
                Action::CollectFor(_)
                | Action::AwaitUpstreams
                | Action::RecordQueued
                | Action::RecordWait(_)
                | Action::SeekFallback(_) => {}
            }
        }
    }

    fn give_up(&mut self, request: usize) {
        let Request { id, entry, .. } = self.requests[request];
        if self.replicas.iter().any(|r| r.running < SLOTS) {
            self.totals.refused_with_room += 1;
        }
        self.requests[request].is_over = true;
        self.open[entry].remove(&request);
        self.entries[entry].schedulers.remove_listener(id);
        match self.requests[request].is_retry {
            false => self.schedule(self.now + RETRY_US, Step::Retry(request)),
            true => {
                self.totals.refused += 1;
                self.totals.late += 1;
            }
        }
    }

    fn ticket(&self, request: usize) -> Ticket {
        let request = &self.requests[request];
        Ticket {
            request: request.id,
            organisation: Name::new("organisation"),
            rank: Rank::default(),
            deadline: at(request.arrived + DEADLINE_US),
            objective: at(request.arrived + OBJECTIVE_US),
            wait_deadline: at(request.arrived + DEADLINE_US),
            work: Work::default(),
            prefix: Vec::new(),
            idempotent: false,
            interval: None,
            run_start: None,
        }
    }

    fn position(&self, upstream: &Name) -> usize {
        let mut replicas = self.replicas.iter();
        replicas.position(|r| r.name == *upstream).unwrap()
    }

    fn latency(&self, entry: usize, replica: usize) -> u64 {
        match self.entries[entry].zone == replica {
            true => 100,
            false => ZONE_LATENCY_US,
        }
    }

    fn answer(&mut self, request: usize, replica: usize, is_served: bool) {
        let now = at(self.now);
        let upstream = self.replicas[replica].name.clone();
        let Request {
            entry,
            id,
            arrived,
            sent_at,
            ..
        } = self.requests[request];
        let outcome = match is_served {
            true => AnswerOutcome::Served(now.since(at(sent_at))),
            false => AnswerOutcome::Rejected,
        };
        let load = self.requests[request].load;
        let state = &self.entries[entry];
        state.loads.observe(now, &upstream, load.map(Ok), outcome);
        let work = is_served.then(Work::default);
        state.schedulers.finish(now, &upstream, id, work);
        if is_served {
            self.requests[request].is_over = true;
            self.open[entry].remove(&request);
            self.entries[entry].schedulers.remove_listener(id);
            self.totals.served += 1;
            if self.now + CALLER_LATENCY_US > arrived + OBJECTIVE_US {
                self.count_late(request);
            }
        } else {
            self.requests[request].attempts += 1;
            self.requests[request].sent_to = None;
            let refusal = Refusal::new(RefusalCode::Overloaded, Duration::from_millis(300));
            let actions = match self.requests[request].attempts < ATTEMPTS {
                true => {
                    let event = Event::NotRun(upstream, refusal);
                    self.requests[request].dispatch.handle_event(event)
                }
                false => vec![Action::GiveUp {
                    refusal: Some(refusal),
                    retry_after: refusal.retry_after,
                }],
            };
            self.carry_out(request, actions);
        }
        self.deliver_events(entry);
    }

    fn count_late(&mut self, request: usize) {
        let Request {
            met_slow, waited, ..
        } = self.requests[request];
        self.totals.late += 1;
        self.totals.late_slow += u64::from(met_slow);
        self.totals.late_waited += u64::from(waited >= 20_000);
    }
}
