//! The rate limits that upstreams name in their answers, as this entry knows them.

use std::cell::RefCell;

use slog::Logger;
use slog::info;
use slog::warn;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::exchange::AnswerHead;
use crate::name::Name;
use crate::rate_limits::Change;
use crate::rate_limits::RateLimit;
use crate::rate_limits::RateLimits;

/// The rate limits of upstreams.
pub struct UpstreamLimits {
    limits: RefCell<RateLimits>,
    clock: Clock,
    log: Logger,
}

impl UpstreamLimits {
    /// Creates the state of an entry that starts.
    pub fn new(clock: Clock, log: Logger) -> Self {
        Self {
            limits: RefCell::default(),
            clock,
            log,
        }
    }

    /// Returns the limit that is in force for an upstream.
    pub fn get(&self, upstream: &Name) -> Option<RateLimit> {
        self.limits.borrow().get(upstream)
    }

    /// Returns the number of upstreams with a limit.
    pub fn count(&self) -> usize {
        self.limits.borrow().len()
    }

    /// Records what the head of an answer says of the limit of its upstream. The request
    /// was sent at `sent_at`; `header` is the name of the header that holds a limit.
    pub fn observe(&self, upstream: &Name, answer: &AnswerHead, header: &str, sent_at: Timestamp) {
        let change = match answer.get(header).map(RateLimit::parse) {
            Some(Ok(limit)) => {
                let now = self.clock.now();
                self.limits.borrow_mut().record_named(now, upstream, limit)
            }
            Some(Err(e)) => {
                warn!(self.log, "invalid rate limit of an upstream ignored";
                    "upstream" => %upstream,
                    "error" => %e);
                None
            }
            // Errors may come from a part of the upstream that names no limit.
            None if answer.status >= 300 => None,
            None => self.limits.borrow_mut().record_unnamed(sent_at, upstream),
        };
        self.log_change(upstream, change);
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
