//! The rate limits that upstreams name in their answers, which all entries keep together.
//!
//! Entries tell each other of limits. For each upstream, one of them issues the permits to
//! send requests to it, found by rendezvous hashing, and the others ask it.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::entry::peers::Peers;
use crate::entry::suspects::Audience;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::rate_limits::Change;
use crate::rate_limits::InvalidRateLimit;
use crate::rate_limits::Pacing;
use crate::rate_limits::PermitIssuer;
use crate::rate_limits::RateLimit;
use crate::rate_limits::RateLimits;
use crate::wire::limits::LimitMessage;
use crate::wire::limits::NamedReport;
use crate::wire::limits::encode;

use self::permits::PendingPermits;

mod permits;

/// The number of times that the begin or end of a limit is sent to all other entries,
/// against losses.
const REPEATS: u32 = 3;

/// The maximum number of limits in one message.
const MAX_REPORTS: usize = 64;

/// The time before the start of the process in which reported events can lie.
const PAST: Duration = Duration::from_secs(3600);

/// The rate limits of upstreams.
pub struct UpstreamLimits {
    limits: RefCell<RateLimits>,
    /// The permits that this entry issues, by upstream.
    issuers: RefCell<HashMap<Name, PermitIssuer>>,
    /// The addresses of the entries that have asked this one for permits.
    askers: RefCell<HashMap<Incarnation, SocketAddr>>,
    /// The requests of this entry that wait for permits.
    pending: PendingPermits,
    /// The upstreams whose limit has begun, ended or become lower, and how often that is
    /// still to be sent to all other entries.
    news: RefCell<HashMap<Name, u32>>,
    /// The last upstream whose limit was sent to another entry.
    last_sent: RefCell<Name>,
    is_leaving: Cell<bool>,
    /// Notified when requests wait for permits of this entry.
    waiting: Notify,
    /// The other entries; not set if this entry has no address for them.
    peers: OnceCell<Weak<Peers>>,
    incarnation: Incarnation,
    clock: Clock,
    log: Logger,
}

impl UpstreamLimits {
    /// Creates the state of an entry that starts.
    pub fn new(incarnation: Incarnation, clock: Clock, log: Logger) -> Self {
        Self {
            limits: RefCell::default(),
            issuers: RefCell::default(),
            askers: RefCell::default(),
            pending: PendingPermits::default(),
            news: RefCell::default(),
            last_sent: RefCell::new(Name::new("")),
            is_leaving: Cell::new(false),
            waiting: Notify::new(),
            peers: OnceCell::new(),
            incarnation,
            clock,
            log,
        }
    }

    /// Sets the other entries. Later calls have no effect.
    pub fn set_peers(&self, peers: &Rc<Peers>) {
        let _ = self.peers.set(Rc::downgrade(peers));
    }

    /// Records that this entry is stopping: others issue the permits from now on.
    pub fn set_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Returns the limit that is in force for an upstream.
    pub fn get(&self, upstream: &Name) -> Option<RateLimit> {
        self.limits.borrow().get(upstream)
    }

    /// Returns the number of upstreams with a limit.
    pub fn count(&self) -> usize {
        self.limits.borrow().len()
    }

    /// Returns the time between two requests of all entries that are reachable, if the
    /// upstream names a limit. The others have their part of it.
    pub fn interval(&self, upstream: &Name) -> Option<Duration> {
        let limit = self.get(upstream)?;
        let fraction = self.peers().map_or(1.0, |p| p.reachable_fraction());
        Some(Pacing::interval(limit.per_second()).div_f64(fraction))
    }

    /// Returns the time between two requests of this entry.
    pub fn own_interval(&self, upstream: &Name) -> Option<Duration> {
        let others = self.pending.other_entries(upstream);
        Some(self.interval(upstream)?.mul_f64(1.0 + others))
    }

    /// Returns whether a request that could be sent to an upstream is to be sent there, to
    /// learn whether its limit has ended. The request needs a permit like any other.
    pub fn take_probe(&self, upstream: &Name) -> bool {
        let is_due = self.limits.borrow_mut().take_probe(self.now(), upstream);
        if is_due {
            info!(self.log, "probing whether the rate limit of an upstream has ended";
                "upstream" => %upstream);
        }
        is_due
    }

    /// Records the limit that an answer with this status names, if any. Its request was
    /// sent at `sent_at`.
    pub fn observe(
        &self,
        upstream: &Name,
        limit: Option<Result<RateLimit, InvalidRateLimit>>,
        status: u16,
        sent_at: Timestamp,
    ) {
        let change = match limit {
            Some(Ok(limit)) => {
                let mut limits = self.limits.borrow_mut();
                limits.record_named(self.now(), upstream, limit)
            }
            Some(Err(e)) => {
                warn!(self.log, "invalid rate limit of an upstream ignored";
                    "upstream" => %upstream,
                    "error" => %e);
                None
            }
            // Errors may come from a part of the upstream that names no limit.
            None if status >= 300 => None,
            None => {
                let mut limits = self.limits.borrow_mut();
                limits.record_unnamed(sent_at + PAST, upstream)
            }
        };
        let is_news = match change {
            Some(Change::Began(_) | Change::Ended) => true,
            Some(Change::Changed { from, to }) => to < from,
            None => false,
        };
        if is_news {
            self.news.borrow_mut().insert(upstream.clone(), REPEATS);
        }
        self.log_change(upstream, change);
    }

    /// Forgets the upstreams that are no longer listed.
    pub fn retain<F>(&self, is_listed: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.limits.borrow_mut().retain(is_listed);
    }

    /// Returns the message that this entry is stopping, if it is.
    pub fn leaving_message(&self) -> Option<Vec<u8>> {
        let message = LimitMessage::Leaving(self.incarnation);
        self.is_leaving.get().then(|| encode(&message))
    }

    /// Returns the next message on limits, and to whom; `None` if there is nothing to
    /// tell. News are sent to all; the table is sent to one other entry, which
    /// may have started or missed messages.
    pub fn next_message(&self) -> Option<(Vec<u8>, Audience)> {
        self.expire();
        if let Some(reports) = self.next_news() {
            return Some((encode(&LimitMessage::Limits(reports)), Audience::All));
        }
        let limits = self.limits.borrow();
        let mut last_sent = self.last_sent.borrow_mut();
        let reports = limits.reports_after(self.now(), &last_sent, MAX_REPORTS);
        *last_sent = reports.last()?.0.clone();
        Some((encode(&LimitMessage::Limits(reports)), Audience::One))
    }

    fn next_news(&self) -> Option<Vec<NamedReport>> {
        let mut news = self.news.borrow_mut();
        let upstreams: Vec<Name> = news.keys().take(MAX_REPORTS).cloned().collect();
        for upstream in &upstreams {
            if let Some(unsent) = news.get_mut(upstream) {
                *unsent -= 1;
            }
        }
        news.retain(|_, unsent| *unsent > 0);
        let reports = upstreams.iter().filter_map(|u| self.report(u));
        let reports: Vec<NamedReport> = reports.collect();
        (!reports.is_empty()).then_some(reports)
    }

    fn report(&self, upstream: &Name) -> Option<NamedReport> {
        let report = self.limits.borrow().report(self.now(), upstream)?;
        Some((upstream.clone(), report))
    }

    fn merge(&self, (upstream, report): &NamedReport) {
        let change = self.limits.borrow_mut().merge(self.now(), upstream, report);
        self.log_change(upstream, change);
    }

    /// Drops what is no longer needed.
    fn expire(&self) {
        self.limits.borrow_mut().expire(self.now());
        let limits = self.limits.borrow();
        let mut issuers = self.issuers.borrow_mut();
        issuers.retain(|upstream, _| limits.get(upstream).is_some());
        self.pending
            .retain(|upstream| limits.get(upstream).is_some());
        if issuers.is_empty() {
            self.askers.borrow_mut().clear();
        }
    }

    fn peers(&self) -> Option<Rc<Peers>> {
        self.peers.get().and_then(Weak::upgrade)
    }

    /// Returns the current time on the clock of the limits, which begins in the past.
    fn now(&self) -> Timestamp {
        self.clock.now() + PAST
    }

    fn log_change(&self, upstream: &Name, change: Option<Change>) {
        match change {
            None => {}
            Some(Change::Began(limit)) => {
                info!(self.log, "upstream names a rate limit";
                    "upstream" => %upstream,
                    "per_second" => limit.per_second());
            }
            Some(Change::Changed { from, to }) => {
                info!(self.log, "rate limit of an upstream changed";
                    "upstream" => %upstream,
                    "before" => from.per_second(),
                    "per_second" => to.per_second());
            }
            Some(Change::Ended) => {
                info!(self.log, "upstream names no rate limit any more"; "upstream" => %upstream);
            }
        }
    }
}
