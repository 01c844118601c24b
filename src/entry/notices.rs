//! What upstreams say of themselves in their answers, which all that sends requests
//! follows: that they are leaving, which entries tell each other, until when they want no
//! requests from this entry, their rate limits and their load.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::departures::DepartureReport;
use crate::departures::UpstreamRun;
use crate::directory::Directory;
use crate::entry::reported_loads::ReportedLoads;
use crate::entry::suspects::Audience;
use crate::entry::upstream_limits::UpstreamLimits;
use crate::hold_offs::HoldOffs;
use crate::name::Name;
use crate::units::millis;
use crate::upstream_load::AnswerOutcome;
use crate::upstream_notice::InvalidRetryAfter;
use crate::upstream_notice::UpstreamNotice;

/// The number of times that a departure that is new to this entry is sent to a few others.
const REPEATS: u32 = 3;

/// The maximum number of departures in one message.
const MAX_REPORTS: usize = 64;

/// What upstreams have said of themselves.
pub struct Notices {
    /// Marks the upstreams that are leaving.
    directory: Rc<Directory>,
    limits: Rc<UpstreamLimits>,
    loads: Rc<ReportedLoads>,
    hold_offs: RefCell<HoldOffs>,
    /// The upstreams whose notices could not be read, which is logged once.
    invalid: RefCell<BTreeSet<Name>>,
    /// The departures that are new to this entry, and how often each is still to be sent
    /// to a few others.
    news: RefCell<BTreeMap<UpstreamRun, u32>>,
    /// The last departure that was sent to another entry.
    last_sent: RefCell<Option<UpstreamRun>>,
    clock: Clock,
    log: Logger,
}

impl Notices {
    /// Creates the state of an entry that starts.
    pub fn new(
        directory: Rc<Directory>,
        limits: Rc<UpstreamLimits>,
        loads: Rc<ReportedLoads>,
        clock: Clock,
        log: Logger,
    ) -> Self {
        Self {
            directory,
            limits,
            loads,
            hold_offs: RefCell::default(),
            invalid: RefCell::default(),
            news: RefCell::default(),
            last_sent: RefCell::default(),
            clock,
            log,
        }
    }

    /// Records the notice in an answer with this status. Its request was sent at
    /// `sent_at`.
    pub fn observe(
        &self,
        upstream: &Name,
        notice: UpstreamNotice,
        status: u16,
        sent_at: Timestamp,
    ) {
        if notice.leaving {
            self.record_departure(upstream);
        }
        match notice.hold_off {
            Some(Ok(time)) => self.hold_off(upstream, time),
            Some(Err(e)) => self.log_invalid(upstream, &e),
            None => self.end_hold_off(upstream, sent_at),
        }
        let now = self.clock.now();
        let outcome = match status {
            200..400 => AnswerOutcome::Served(now.since(sent_at)),
            429 | 503 => AnswerOutcome::Rejected,
            _ => AnswerOutcome::Failed,
        };
        self.loads.observe(now, upstream, notice.load, outcome);
        self.limits
            .observe(upstream, notice.rate_limit, status, sent_at);
    }

    fn record_departure(&self, upstream: &Name) {
        let Some(run) = self.directory.record_departure(self.clock.now(), upstream) else {
            return;
        };
        info!(self.log, "upstream says that it is leaving";
            "upstream" => %upstream,
            "started" => run.started);
        self.news.borrow_mut().insert(run, REPEATS);
    }

    fn hold_off(&self, upstream: &Name, time: Duration) {
        let mut hold_offs = self.hold_offs.borrow_mut();
        if hold_offs.begin(self.clock.now(), upstream, time, rand::random()) {
            info!(self.log, "upstream wants no requests for a time";
                "upstream" => %upstream,
                "milliseconds" => millis(time));
        }
    }

    fn end_hold_off(&self, upstream: &Name, sent_at: Timestamp) {
        let mut hold_offs = self.hold_offs.borrow_mut();
        if hold_offs.record_taken(sent_at, upstream) {
            info!(self.log, "upstream takes requests again"; "upstream" => %upstream);
        }
    }

    fn log_invalid(&self, upstream: &Name, e: &InvalidRetryAfter) {
        if self.invalid.borrow_mut().insert(upstream.clone()) {
            warn!(self.log, "invalid retry time of an upstream ignored";
                "upstream" => %upstream,
                "error" => %e);
        }
    }

    /// Returns the time until this entry may send a request to an upstream; `None` if it
    /// may now.
    pub fn wait(&self, upstream: &Name) -> Option<Duration> {
        self.hold_offs.borrow().wait(self.clock.now(), upstream)
    }

    /// Records that a request is about to be sent to an upstream.
    ///
    /// # Errors
    ///
    /// Fails with the time until the upstream may get one, if it may not now.
    pub fn try_send(&self, upstream: &Name) -> Result<(), Duration> {
        let mut hold_offs = self.hold_offs.borrow_mut();
        hold_offs.try_send(self.clock.now(), upstream)
    }

    /// Forgets the upstreams for which `is_listed` returns false. Departures are kept,
    /// since a registration can come back.
    pub fn retain<F>(&self, is_listed: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.hold_offs.borrow_mut().retain(&is_listed);
        self.invalid.borrow_mut().retain(is_listed);
    }

    /// Returns the next message on departures, and to whom; `None` if there is nothing to
    /// tell. News are sent to a few, which pass them on; others are sent to one other entry, which may have
    /// started or missed messages.
    pub fn next_message(&self) -> Option<(Vec<u8>, Audience)> {
        let (reports, audience) = match self.next_news() {
            news if !news.is_empty() => (news, Audience::Few),
            _ => (self.next_reports(), Audience::One),
        };
        if reports.is_empty() {
            return None;
        }
        match serde_json::to_vec(&reports) {
            Ok(message) => Some((message, audience)),
            Err(e) => {
                warn!(self.log, "could not encode the report on departures"; "error" => %e);
                None
            }
        }
    }

    fn next_news(&self) -> Vec<DepartureReport> {
        let mut news = self.news.borrow_mut();
        let departures = self.directory.departures(self.clock.now());
        let mut reports = Vec::new();
        for (run, unsent) in news.iter_mut().take(MAX_REPORTS) {
            *unsent -= 1;
            reports.extend(departures.report(self.clock.now(), run));
        }
        news.retain(|_, unsent| *unsent > 0);
        reports
    }

    fn next_reports(&self) -> Vec<DepartureReport> {
        let now = self.clock.now();
        let mut last_sent = self.last_sent.borrow_mut();
        let departures = self.directory.departures(now);
        let reports = departures.reports_after(now, last_sent.as_ref(), MAX_REPORTS);
        *last_sent = reports.last().map(|r| r.run.clone());
        reports
    }

    /// Handles the message of another entry.
    pub fn receive(&self, message: &[u8]) {
        let reports: Vec<DepartureReport> = match serde_json::from_slice(message) {
            Ok(reports) => reports,
            Err(e) => {
                warn!(self.log, "could not decode the report on departures"; "error" => %e);
                return;
            }
        };
        for report in reports {
            if self.directory.merge_departure(self.clock.now(), &report) {
                info!(self.log, "another entry reports that an upstream is leaving";
                    "upstream" => %report.run.upstream,
                    "started" => report.run.started,
                    "age_ms" => millis(report.age));
                self.news.borrow_mut().insert(report.run, REPEATS);
            }
        }
    }
}
