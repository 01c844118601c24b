//! Tickets and the answers that an agent gives to them.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::name::Name;

/// The cost of a generated token in prefill tokens, for fairness.
const OUTPUT_TOKEN_COST: u64 = 4;

/// What an agent needs to know of a waiting request. The body stays at the
/// entry until a grant is accepted.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The request it stands for.
    pub request: RequestId,
    /// Whose request it is.
    pub organisation: Name,
    /// The tier's rank; 0 is the highest.
    pub order: u8,
    /// When the answer stops being useful, on the holder's own clock.
    pub deadline: Timestamp,
    /// When the answer should have begun.
    pub objective: Timestamp,
    /// When waiting for room is given up.
    pub patience: Timestamp,
    /// What the work is believed to take.
    pub work: Work,
    /// Chained hashes of the prompt's chunks, the longest prefix last.
    pub prefix: Vec<u64>,
    /// Whether running it twice would do no harm.
    pub idempotent: bool,
}

/// An amount of work for a model engine; zero tokens for a plain service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Prompt tokens to process, those in the engine's cache included.
    pub prefill: u64,
    /// The prompt tokens among them that the engine holds in its cache.
    pub cached: u64,
    /// Tokens to generate.
    pub output: u64,
}

impl Work {
    /// Prompt tokens to process that the engine does not hold.
    pub fn uncached(&self) -> u64 {
        self.prefill.saturating_sub(self.cached)
    }

    /// The cost in prefill tokens; at least 1.
    pub fn cost(&self) -> u64 {
        let output = self.output.saturating_mul(OUTPUT_TOKEN_COST);
        self.uncached().saturating_add(output).max(1)
    }
}

/// A reservation of room at an upstream, good for a short time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Names the grant at the agent that gave it.
    pub id: GrantId,
    /// How long it can be accepted, by the agent's clock.
    pub valid: Duration,
    /// What the agent expects of the request.
    pub quote: Quote,
}

/// Why a ticket is taken back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withdrawal {
    /// The request was sent to another upstream.
    SentElsewhere,
    /// The request has ended, or waits no longer.
    GivenUp,
}

/// Why a ticket or an accept was refused. Refused work was not dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCode {
    /// The queue is full of work of the same or a higher tier.
    Overloaded,
    /// The deadline can't be met here.
    Late,
    /// The agent takes no new work.
    Draining,
    /// The grant or the ticket lapsed.
    Expired,
    /// It belongs to an earlier incarnation, or was decided before.
    Stale,
    /// The upstream could not be connected to.
    Unreachable,
    /// The ticket is already here.
    Duplicate,
    /// A ticket of a higher tier took its place.
    Evicted,
    /// The agent has no settings yet.
    NotReady,
}

/// A truthful statement that work was not dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// When coming back may help.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal that says when to come back.
    pub fn new(code: RefusalCode, retry_after: Duration) -> Self {
        Self { code, retry_after }
    }
}

/// What an agent expects of a ticket.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Quote {
    /// The expected time until dispatch.
    pub start: Duration,
    /// Prompt tokens that the engine is believed to hold.
    pub cached: u64,
    /// The time that not processing them again saves.
    pub saving: Duration,
    /// The expected time from dispatch until the answer begins.
    pub begin: Duration,
    /// The expected time from dispatch until the answer ends.
    pub end: Duration,
}

/// An agent's immediate answer to a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offered {
    /// It waits.
    Queued(Quote),
    /// There is room at once.
    Granted(Grant),
    /// It was not taken in.
    Refused(Refusal),
}
