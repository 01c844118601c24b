//! Tickets, and the replies of schedulers to them: grants, quotes and refusals.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::name::Name;

/// The cost of a generated token in uncached prompt tokens, for fair queueing.
const OUTPUT_TOKEN_COST: u64 = 4;

/// The position of a ticket in the order of service. The lowest is served first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Whether the objective has passed while the ticket waited. Such tickets are
    /// served after all others.
    pub delayed: bool,
    /// The scheduling rank of the request, by its tier. 0 is the highest; a larger
    /// rank is a lower tier.
    pub tier: u8,
    /// Whether the objective had passed before the ticket was offered, because the
    /// caller comes back after a refusal. Such tickets are served after the others of
    /// their tier.
    pub overdue: bool,
}

impl From<u8> for Rank {
    fn from(tier: u8) -> Self {
        Self {
            tier,
            ..Self::default()
        }
    }
}

/// The data of a request that a scheduler needs. The body stays at the entry
/// until a grant is accepted.
///
/// A ticket that passes its objective while it waits is delayed: it stays queued
/// behind the tickets that are not. One that passes its wait deadline is removed
/// with [`RefusalCode::Expired`]. One that can't be finished by its deadline is
/// refused with [`RefusalCode::Late`].
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The organisation that sent the request.
    pub organisation: Name,
    /// The position in the order of service.
    pub rank: Rank,
    /// When the answer stops being useful. All times of a ticket are by the clock
    /// of the process that holds it.
    pub deadline: Timestamp,
    /// The point in time by which the answer of the upstream should start.
    pub objective: Timestamp,
    /// When the ticket expires if it has not been granted.
    pub wait_deadline: Timestamp,
    /// The expected work.
    pub work: Work,
    /// Chained hashes of the chunks of the prompt, the longest prefix last.
    pub prefix: Vec<u64>,
    /// Whether the request can safely run more than once.
    pub idempotent: bool,
    /// The time between two requests to the upstream, if it names a rate limit.
    pub interval: Option<Duration>,
    /// When the only run of the upstream that may serve the request has started, in Unix
    /// milliseconds by its own clock; `None` if any may. Another run may have another
    /// software version than the entry knows.
    pub run_start: Option<u64>,
}

/// An amount of work for a model engine. All counts are zero for an upstream
/// that is not a model engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Prompt tokens to prefill, including those in the engine's cache.
    pub prefill: u64,
    /// Prompt tokens in the engine's cache.
    pub cached: u64,
    /// Tokens to generate.
    pub output: u64,
}

impl Work {
    /// Returns the prompt tokens that are not in the engine's cache.
    pub fn uncached(&self) -> u64 {
        self.prefill.saturating_sub(self.cached)
    }

    /// Returns the cost in uncached prompt tokens; at least 1.
    pub fn cost(&self) -> u64 {
        let output = self.output.saturating_mul(OUTPUT_TOKEN_COST);
        self.uncached().saturating_add(output).max(1)
    }
}

/// A short-lived reservation of a slot at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The id of the grant, unique within the scheduler that issued it.
    pub id: GrantId,
    /// The time within which the grant can be accepted, by the scheduler's clock.
    pub valid_for: Duration,
    /// The expected times of the request.
    pub quote: Quote,
}

/// The reason for withdrawing a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WithdrawReason {
    /// The request was sent to another upstream.
    SentElsewhere,
    /// The request has ended or no longer needs the ticket.
    GivenUp,
}

/// The reason for refusing a ticket or the acceptance of a grant. Refused work was
/// not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCode {
    /// The queue is full of work of the same or a higher tier, or the expected
    /// wait is too long.
    Overloaded,
    /// The deadline can't be met at this upstream.
    Late,
    /// The agent is draining and accepts no new work.
    Draining,
    /// The ticket or the grant has expired.
    Expired,
    /// The message belongs to an earlier incarnation, or the request was already
    /// decided.
    Stale,
    /// No connection to the upstream could be made.
    Unreachable,
    /// The scheduler already holds a ticket of this request.
    Duplicate,
    /// The ticket was evicted for one of a higher tier.
    Evicted,
    /// The agent has not loaded its settings yet.
    NotReady,
}

impl RefusalCode {
    /// Returns the priority among the refusals of one request. The highest is reported.
    /// Codes of priority zero do not show that the upstream is busy.
    pub fn priority(self) -> u8 {
        match self {
            Self::Overloaded | Self::Evicted => 3,
            Self::Late => 2,
            Self::Expired => 1,
            Self::Draining | Self::Stale | Self::Unreachable | Self::Duplicate | Self::NotReady => {
                0
            }
        }
    }
}

/// A guarantee that work was not run, with the reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub code: RefusalCode,
    /// The time after which a retry is useful.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal with this reason and retry delay.
    pub fn new(code: RefusalCode, retry_after: Duration) -> Self {
        Self { code, retry_after }
    }
}

/// The expected times of a ticket.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quote {
    /// The expected time until the ticket is granted.
    pub wait: Duration,
    /// Prompt tokens expected to be in the engine's cache.
    pub cached: u64,
    /// The processing time saved by the cached tokens.
    pub saving: Duration,
    /// The expected time from sending the request to the start of the answer.
    pub answer_start: Duration,
    /// The expected time from sending the request to the end of the answer.
    pub answer_end: Duration,
}

/// The immediate reply of a scheduler to the offer of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// The ticket is queued.
    Queued(Quote),
    /// The ticket is granted without waiting.
    Granted(Grant),
    /// The ticket is refused.
    Refused(Refusal),
}
