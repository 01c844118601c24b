//! An answer that an upstream is sending.

use std::time::Duration;

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::event_loop::SETTLE_TIME;
use crate::exchange::Answer;
use crate::exchange::ExchangeError;
use crate::settings::Upstream;
use crate::silence::SilenceWatch;

/// Time for which bytes that have arrived are relayed after the timeout of a request.
const READY_GRACE: Duration = Duration::from_millis(200);

/// The next bytes of a body, or `None` at its end.
type NextBytes = Result<Option<Bytes>, ExchangeError>;

/// How much of an answer had arrived when its exchange failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerProgress {
    None,
    Head,
    Body,
}

impl AnswerProgress {
    /// Returns the name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Head => "head",
            Self::Body => "body",
        }
    }
}

/// Answer of which the body is relayed.
pub(crate) struct RunningAnswer {
    /// The status code of the answer.
    pub(super) status: u16,
    /// The upstream, as it was registered when the request was sent.
    pub(super) upstream: Upstream,
    /// Whether a part of the body was read.
    pub(super) has_body_started: bool,
    pub(super) silence: SilenceWatch,
    pub(super) cutoff: Cutoff,
    answer: Box<Answer>,
    /// What the upstream has sent after a silence, until it is relayed.
    pending: Option<NextBytes>,
}

impl RunningAnswer {
    /// Creates the state of an answer whose head was relayed. `timeout_at` is the time
    /// at which it is aborted.
    pub(super) fn new(
        answer: Box<Answer>,
        upstream: Upstream,
        now: Timestamp,
        timeout_at: Timestamp,
    ) -> Self {
        Self {
            status: answer.head.status,
            upstream,
            has_body_started: false,
            silence: SilenceWatch::new(now),
            cutoff: Cutoff::new(timeout_at),
            answer,
            pending: None,
        }
    }

    /// Returns how much of the answer has arrived.
    pub(super) fn progress(&self) -> AnswerProgress {
        match self.has_body_started {
            true => AnswerProgress::Body,
            false => AnswerProgress::Head,
        }
    }

    /// Returns the next bytes of the body. Can be cancelled without losing any.
    pub(super) async fn next(&mut self) -> NextBytes {
        match self.pending.take() {
            Some(next) => next,
            None => self.answer.next().await,
        }
    }

    /// Waits until the upstream sends something, which is kept for the relay.
    pub(super) async fn wait_for_bytes(&mut self) {
        if self.pending.is_none() {
            self.pending = Some(self.answer.next().await);
        }
    }
}

/// End of an answer whose request has reached its timeout: what has arrived by then is
/// still relayed, for a short time.
pub(super) struct Cutoff {
    timeout_at: Timestamp,
    /// The first time after the timeout at which the answer was looked at.
    overdue_since: Option<Timestamp>,
}

impl Cutoff {
    pub(super) fn new(timeout_at: Timestamp) -> Self {
        Self {
            timeout_at,
            overdue_since: None,
        }
    }

    /// Returns whether an answer must end at `now` although bytes of it may be there.
    pub(super) fn is_reached(&mut self, now: Timestamp) -> bool {
        if now < self.timeout_at {
            return false;
        }
        let since = *self.overdue_since.get_or_insert(now);
        now.since(since) >= READY_GRACE
    }

    /// Returns the time at which an answer ends of which no bytes are there: the timeout,
    /// or shortly after the first look at it if that was later.
    pub(super) fn end(&self) -> Timestamp {
        let settled = self.overdue_since.map(|since| since + SETTLE_TIME);
        settled.unwrap_or(self.timeout_at)
    }

    /// Returns the time at which an answer ends whose bytes a slow caller keeps from being
    /// relayed.
    pub(super) fn blocked_end(&self) -> Timestamp {
        self.overdue_since.unwrap_or(self.timeout_at) + READY_GRACE
    }

    /// Returns whether an answer of which no bytes are there ends at `now`.
    pub(super) fn is_end(&self, now: Timestamp) -> bool {
        self.overdue_since.is_some() && now >= self.end()
    }
}
