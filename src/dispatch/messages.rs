//! The inputs and outputs of a dispatch.

use std::time::Duration;

use crate::ids::GrantId;
use crate::ids::LinkId;
use crate::name::Name;
use crate::ticket::Grant;
use crate::ticket::OfferResult;
use crate::ticket::Refusal;

/// An upstream that can be offered a ticket for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether that is the entry's.
    pub same_zone: bool,
}

/// Another zone that may take a request instead of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fallback {
    /// The zone.
    pub zone: Name,
    /// The time within which its upstreams must reply.
    pub time: Duration,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A scheduler replied to the offer of a ticket.
    OfferReplied(Name, OfferResult),
    /// A scheduler granted the queued ticket.
    Granted(Name, Grant),
    /// A scheduler returned the ticket without running the request.
    Returned(Name, Refusal),
    /// The connection to an agent was lost.
    ConnectionLost(Name, LinkId),
    /// The time of [`Action::CollectFor`] is over.
    CollectionTimedOut,
    /// The upstream is known not to have run the request that was sent to it.
    NotRun(Name, Refusal),
    /// The upstreams that can run the request now, the best first.
    Upstreams(Vec<Choice>),
    /// The upstreams that could run the request want none for this time, which is longer
    /// than the request can wait.
    HeldOff(Duration),
    /// The zone that may take the request instead of its own, in reply to
    /// [`Action::SeekFallback`].
    Fallback(Option<Fallback>),
    /// The request has waited for its maximum time.
    WaitTimedOut,
    /// The entry evicted the request for one of a higher tier.
    Evicted(Refusal),
}

/// An output of the state machine, to be carried out by the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Offer a ticket to the scheduler of an upstream.
    Offer(Name),
    /// Deliver [`Event::CollectionTimedOut`] after this time.
    CollectFor(Duration),
    /// Accept the grant and send the request.
    Send(Name, GrantId),
    /// Withdraw the ticket from the scheduler of an upstream.
    Withdraw(Name),
    /// Record that the request is queued, since no scheduler has granted its ticket
    /// yet.
    RecordQueued,
    /// Deliver [`Event::Upstreams`] after a short time, since no upstream is
    /// available.
    AwaitUpstreams,
    /// Record the expected wait for the `RequestClass` of the request.
    RecordWait(Duration),
    /// Deliver [`Event::Fallback`] at once, since the asked schedulers expect waits that are too
    /// long or longer than in another zone. This is the shortest.
    SeekFallback(Duration),
    /// End the request, which was not run.
    GiveUp {
        /// The refusal to report; absent if no scheduler has refused the request.
        refusal: Option<Refusal>,
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
}
