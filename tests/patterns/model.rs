//! Runs the deciding modules of several entries and agents against engines and
//! callers, on a virtual clock.
//!
//! Messages between entries and agents take a fixed time. Callers are refused, honour
//! the retry delay up to a third of the time that they have left, come back through
//! any entry, and give up an answer that does not start.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use almondramp::admission::AdmissionControl;
use almondramp::admission::Urgency;
use almondramp::admission::retry_after;
use almondramp::clock::Timestamp;
use almondramp::dispatch::Action;
use almondramp::dispatch::Dispatch;
use almondramp::dispatch::Event;
use almondramp::dispatch::Fallback;
use almondramp::ids::GrantId;
use almondramp::ids::Incarnation;
use almondramp::ids::RequestId;
use almondramp::name::Name;
use almondramp::scheduler::Notice;
use almondramp::scheduler::Scheduler;
use almondramp::scheduler::SchedulerConfig;
use almondramp::ticket::OfferResult;
use almondramp::ticket::Rank;
use almondramp::ticket::Ticket;
use almondramp::ticket::WithdrawReason;
use almondramp::zone_balance::Placement;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::engine::Engine;
use crate::parameters::Kind;
use crate::parameters::Setup;
use crate::report::Report;
use crate::report::Tally;
use crate::steps::Attempt;
use crate::steps::Caller;
use crate::steps::Step;
use crate::steps::request_class;
use crate::steps::service;
use crate::steps::upstream_index;
use crate::steps::upstream_name;
use crate::steps::work;
use crate::zones::ROUND;
use crate::zones::Zones;

/// Tickets for one request.
const TICKETS: usize = 6;

/// Time between two ticks of the schedulers.
const TICK: Duration = Duration::from_millis(20);

/// Time without a first event after which a caller gives up.
const START_PATIENCE: Duration = Duration::from_millis(2_400);

/// The running model.
pub struct Model {
    pub now: Timestamp,
    pub setup: Setup,
    pub rng: SmallRng,
    /// The randomness of placement in zones, of its own so that runs with and without spillover
    /// differ only where requests spill over.
    pub zone_rng: SmallRng,
    steps: BinaryHeap<Reverse<(Timestamp, u64)>>,
    pending: HashMap<u64, Step>,
    sequence: u64,
    pub controls: Vec<AdmissionControl>,
    schedulers: Vec<Scheduler>,
    pub engines: Vec<Engine>,
    pub callers: Vec<Caller>,
    attempts: HashMap<RequestId, Attempt>,
    tallies: BTreeMap<(u8, Name), Tally>,
    pub zones: Zones,
    pub away_controls: Vec<AdmissionControl>,
}

impl Model {
    /// Creates a model without any callers.
    pub fn new(setup: Setup) -> Self {
        let config = SchedulerConfig {
            slots: setup.slots,
            max_waiting: 1_024,
            grant_valid: Duration::from_millis(100),
            weights: BTreeMap::new(),
            cache_tokens: 0,
            stream_pauses: None,
            memory_tokens: None,
        };
        let count = setup.engines.len();
        let engine = |slowness: &f64| Engine::new(setup.slots, *slowness);
        let control = |_| AdmissionControl::new();
        let mut model = Self {
            now: Timestamp::default(),
            rng: SmallRng::seed_from_u64(setup.seed),
            zone_rng: SmallRng::seed_from_u64(setup.seed),
            steps: BinaryHeap::new(),
            pending: HashMap::new(),
            sequence: 0,
            controls: (0..setup.entries).map(control).collect(),
            schedulers: (0..count).map(|_| Scheduler::new(config.clone())).collect(),
            engines: setup.engines.iter().map(engine).collect(),
            callers: Vec::new(),
            attempts: HashMap::new(),
            tallies: BTreeMap::new(),
            zones: Zones::new(setup.zones, setup.entries, count, setup.spills),
            away_controls: (0..setup.entries).map(control).collect(),
            setup,
        };
        model.schedule(TICK, Step::Tick);
        if model.setup.spills {
            model.schedule(ROUND, Step::BalanceZones);
        }
        model
    }

    /// Adds callers of `kind` from `organisation`, at random times from `from` to
    /// `until`, in seconds, and `per_second` on average.
    pub fn add_callers(
        &mut self,
        kind: Kind,
        organisation: &str,
        per_second: f64,
        from: f64,
        until: f64,
    ) {
        self.add_callers_in(None, kind, organisation, per_second, (from, until));
    }

    /// Adds callers as `add_callers` does, who come to entries of one zone.
    pub fn add_callers_in(
        &mut self,
        zone: Option<usize>,
        kind: Kind,
        organisation: &str,
        per_second: f64,
        (from, until): (f64, f64),
    ) {
        let mut at = from;
        loop {
            let gap: f64 = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / per_second;
            at += gap;
            if at >= until {
                return;
            }
            let organisation = Name::new(organisation);
            let first_sent = Timestamp::new(Duration::from_secs_f64(at));
            self.callers.push(Caller {
                kind,
                tally: (kind.rank, organisation.clone()),
                organisation,
                first_sent,
                attempts: 0,
                zone,
            });
            let caller = self.callers.len() - 1;
            self.schedule_at(first_sent, Step::Arrive(caller));
        }
    }

    /// Runs for `seconds` and returns how the callers fared, by rank and organisation.
    pub fn run(self, seconds: u64) -> Report {
        self.run_zones(seconds).0
    }

    /// Runs for `seconds` and returns, in addition, the largest share of each zone's requests
    /// that spills over, by round.
    pub fn run_zones(mut self, seconds: u64) -> (Report, Vec<Vec<f64>>) {
        let end = Timestamp::new(Duration::from_secs(seconds));
        while let Some(Reverse((at, id))) = self.steps.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(step) = self.pending.remove(&id) {
                self.execute(step);
            }
        }
        (Report(self.tallies), self.zones.shares)
    }

    pub fn schedule(&mut self, after: Duration, step: Step) {
        self.schedule_at(self.now + after, step);
    }

    fn schedule_at(&mut self, at: Timestamp, step: Step) {
        self.sequence += 1;
        self.pending.insert(self.sequence, step);
        self.steps.push(Reverse((at, self.sequence)));
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Arrive(caller) => self.arrive(caller),
            Step::Offer(request, upstream) => self.offer(request, upstream),
            Step::ToEntry(request, event) => {
                if let Some(attempt) = self.attempts.get_mut(&request) {
                    if let Event::OfferReplied(name, offered) = &event {
                        let upstream = upstream_index(name);
                        let wait =
                            self.zones
                                .record_reply(self.now, attempt.entry, upstream, offered);
                        attempt.home_wait = attempt.home_wait.into_iter().chain(wait).min();
                    }
                    let actions = attempt.dispatch.handle_event(event);
                    self.carry_out(request, actions);
                }
            }
            Step::Send(request, upstream, grant) => self.send(request, upstream, grant),
            Step::Withdraw(request, upstream, reason) => {
                let notices = self.schedulers[upstream].withdraw(self.now, request, reason);
                self.notify(upstream, notices);
            }
            Step::Tick => {
                for upstream in 0..self.schedulers.len() {
                    let notices = self.schedulers[upstream].tick(self.now);
                    self.notify(upstream, notices);
                }
                self.schedule(TICK, Step::Tick);
            }
            Step::Generate(upstream) => self.step_engine(upstream),
            Step::GiveUp(request) => self.give_up(request),
            Step::BalanceZones => {
                self.zones.run_round(self.now, self.setup.slots);
                self.schedule(ROUND, Step::BalanceZones);
            }
        }
    }

    pub fn tally(&mut self, caller: usize) -> &mut Tally {
        let key = self.callers[caller].tally.clone();
        self.tallies.entry(key).or_default()
    }

    fn arrive(&mut self, caller: usize) {
        let entry = self.choose_entry(self.callers[caller].zone);
        let c = &mut self.callers[caller];
        c.attempts += 1;
        let (kind, organisation) = (c.kind, c.organisation.clone());
        let deadline = kind.deadline.saturating_sub(self.now.since(c.first_sent));
        if self.callers[caller].attempts == 1 {
            self.tally(caller).asked += 1;
        }
        let route = Name::new(&format!("route-{}", kind.rank));
        let control = &mut self.controls[entry];
        let urgency = Urgency {
            objective: kind.objective,
            deadline,
            tried_for: control.record_caller(self.now, &route, deadline),
            resumes: false,
        };
        if !urgency.is_overdue() {
            let meter = self.zones.meter(entry);
            meter.record_arrival(self.now, &service(), kind.rank);
        }
        let class = request_class(kind, &organisation, &urgency);
        let placement = match self.place(entry, &class, urgency.max_expected_wait()) {
            Ok(placement) => placement,
            Err(wait) => return self.refuse(caller, retry_after(wait, deadline)),
        };
        let choices = self.choices(entry);
        let dispatch = Dispatch::new(choices, TICKETS)
            .with_time_limits(kind.objective, urgency.max_expected_wait())
            .with_deadline(deadline);
        let dispatch = self.zones.placed(entry, kind.rank, dispatch, &placement);
        self.sequence += 1;
        let request = RequestId {
            incarnation: Incarnation(entry as u64),
            sequence: self.sequence,
        };
        let mut attempt = Attempt {
            caller,
            entry,
            arrived: self.now,
            urgency,
            dispatch,
            sent_to: None,
            has_started: false,
            is_arrival_recorded: false,
            placement,
            home_wait: None,
            sent_at: self.now,
        };
        let actions = attempt.dispatch.start();
        self.attempts.insert(request, attempt);
        self.schedule(
            urgency.max_wait(),
            Step::ToEntry(request, Event::WaitTimedOut),
        );
        self.schedule(START_PATIENCE.min(deadline), Step::GiveUp(request));
        self.carry_out(request, actions);
    }

    fn carry_out(&mut self, request: RequestId, actions: Vec<Action>) {
        let message = self.setup.message;
        for action in actions {
            let Some(attempt) = self.attempts.get_mut(&request) else {
                return;
            };
            let caller = &self.callers[attempt.caller];
            let class = request_class(caller.kind, &caller.organisation, &attempt.urgency);
            let (entry, rank) = (attempt.entry, caller.kind.rank);
            let control = match attempt.placement {
                Placement::Home => &mut self.controls[entry],
                Placement::Away(_) => &mut self.away_controls[entry],
            };
            if !matches!(action, Action::Offer(_) | Action::CollectFor(_))
                && let Some(wait) = attempt.home_wait.take()
            {
                let meter = self.zones.meter(entry);
                meter.record_wait(self.now, &service(), rank, wait);
            }
            match action {
                Action::SeekFallback(wait) => {
                    control.record_wait(self.now, class, wait);
                    let waited = self.now.since(attempt.arrived);
                    let fallback = attempt.urgency.asking_time(waited).and_then(|time| {
                        let draw = self.zone_rng.random_range(0.0..1.0);
                        let zone = self.zones.fallback(entry, rank, draw)?;
                        Some(Fallback { zone, time })
                    });
                    let actions = attempt.dispatch.handle_event(Event::Fallback(fallback));
                    return self.carry_out(request, actions);
                }
                Action::Offer(name) => {
                    self.schedule(message, Step::Offer(request, upstream_index(&name)));
                }
                Action::CollectFor(time) => {
                    self.schedule(time, Step::ToEntry(request, Event::CollectionTimedOut));
                }
                Action::Send(name, grant) => {
                    if !std::mem::replace(&mut attempt.is_arrival_recorded, true) {
                        control.record_arrival(self.now, class.clone());
                    }
                    control.record_sent(self.now, class);
                    let upstream = upstream_index(&name);
                    self.schedule(message, Step::Send(request, upstream, grant));
                }
                Action::Withdraw(name) => {
                    let is_sent = !attempt.dispatch.needs_upstream();
                    let reason = match is_sent {
                        true => WithdrawReason::SentElsewhere,
                        false => WithdrawReason::GivenUp,
                    };
                    let upstream = upstream_index(&name);
                    self.schedule(message, Step::Withdraw(request, upstream, reason));
                }
                Action::RecordQueued => {
                    if !std::mem::replace(&mut attempt.is_arrival_recorded, true) {
                        control.record_arrival(self.now, class);
                    }
                }
                Action::RecordWait(wait) => {
                    if !std::mem::replace(&mut attempt.is_arrival_recorded, true) {
                        control.record_refused(self.now, class.clone());
                    }
                    control.record_wait(self.now, class, wait);
                }
                Action::AwaitUpstreams => {}
                Action::GiveUp { retry_after, .. } => {
                    let caller = attempt.caller;
                    let waited = self.now.since(attempt.arrived);
                    let urgency = attempt.urgency;
                    let tally = self.tally(caller);
                    tally.waited_in_vain += u32::from(waited >= urgency.max_wait());
                    tally.refused_late += u32::from(waited > urgency.objective / 8);
                    self.attempts.remove(&request);
                    self.refuse(caller, retry_after);
                }
            }
        }
    }

    fn offer(&mut self, request: RequestId, upstream: usize) {
        let Some(attempt) = self.attempts.get(&request) else {
            return;
        };
        let caller = &self.callers[attempt.caller];
        let urgency = attempt.urgency;
        let ticket = Ticket {
            request,
            organisation: caller.organisation.clone(),
            rank: Rank::from(caller.kind.rank),
            deadline: attempt.arrived + urgency.deadline,
            objective: attempt.arrived + urgency.objective_left(),
            wait_deadline: attempt.arrived + urgency.max_wait(),
            work: work(caller.kind),
            prefix: Vec::new(),
            idempotent: true,
            interval: None,
            run_start: None,
        };
        let (offered, notices) = self.schedulers[upstream].offer(self.now, ticket);
        self.reply(request, upstream, offered);
        self.notify(upstream, notices);
    }

    fn reply(&mut self, request: RequestId, upstream: usize, offered: OfferResult) {
        let event = Event::OfferReplied(upstream_name(upstream), offered);
        self.schedule(self.setup.message, Step::ToEntry(request, event));
    }

    fn notify(&mut self, upstream: usize, notices: Vec<Notice>) {
        for notice in notices {
            let name = upstream_name(upstream);
            let (request, event) = match notice {
                Notice::Granted(request, grant) => (request, Event::Granted(name, grant)),
                Notice::Returned(request, refusal) => (request, Event::Returned(name, refusal)),
            };
            self.schedule(self.setup.message, Step::ToEntry(request, event));
        }
    }

    fn send(&mut self, request: RequestId, upstream: usize, grant: GrantId) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        attempt.sent_to = Some(upstream);
        attempt.sent_at = self.now;
        let kind = self.callers[attempt.caller].kind;
        self.schedulers[upstream].mark_sent(self.now, request, grant);
        if self.engines[upstream].push(request, kind.prefill, kind.output) {
            let time = self.engines[upstream].step_time();
            self.schedule(time, Step::Generate(upstream));
        }
    }

    fn step_engine(&mut self, upstream: usize) {
        let result = self.engines[upstream].step();
        for request in result.started {
            let notices = self.schedulers[upstream].mark_answering(self.now, request);
            self.notify(upstream, notices);
            self.record_start(request);
        }
        for request in result.finished {
            let attempt = self.attempts.remove(&request);
            if let Some(a) = attempt.as_ref()
                && self.zones.is_home(a.entry, upstream)
            {
                let (rank, time) = (self.callers[a.caller].kind.rank, self.now.since(a.sent_at));
                let meter = self.zones.meter(a.entry);
                meter.record_end(self.now, &service(), rank, time);
            }
            let done = attempt.map(|a| work(self.callers[a.caller].kind));
            let notices = self.schedulers[upstream].finish(self.now, request, done);
            self.notify(upstream, notices);
        }
        if self.engines[upstream].load() > 0 {
            let time = self.engines[upstream].step_time();
            self.schedule(time, Step::Generate(upstream));
        }
    }

    fn record_start(&mut self, request: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        attempt.has_started = true;
        let caller = attempt.caller;
        let c = &self.callers[caller];
        let is_in_time = self.now.since(c.first_sent) <= c.kind.objective;
        let tally = self.tally(caller);
        match is_in_time {
            true => tally.in_time += 1,
            false => tally.late += 1,
        }
    }

    /// The caller leaves if its answer has not started.
    fn give_up(&mut self, request: RequestId) {
        if self.attempts.get(&request).is_none_or(|a| a.has_started) {
            return;
        }
        let Some(mut attempt) = self.attempts.remove(&request) else {
            return;
        };
        self.tally(attempt.caller).given_up += 1;
        for action in attempt.dispatch.abandon() {
            if let Action::Withdraw(name) = action {
                let upstream = upstream_index(&name);
                let reason = WithdrawReason::GivenUp;
                self.schedule(
                    self.setup.message,
                    Step::Withdraw(request, upstream, reason),
                );
            }
        }
        if let Some(upstream) = attempt.sent_to {
            self.engines[upstream].cancel(request);
            let notices = self.schedulers[upstream].finish(self.now, request, None);
            self.notify(upstream, notices);
        }
    }
}
