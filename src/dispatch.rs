//! Dispatch of one request at its entry: which upstreams are offered a ticket
//! and which grant is accepted.
//!
//! Only the entry that accepted a request dispatches it. A [`Dispatch`] is a
//! state machine without I/O: it receives events and returns actions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::admission::retry_after;
use crate::name::Name;
use crate::ticket::Grant;
use crate::ticket::OfferResult;
use crate::ticket::Quote;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

mod messages;
mod placement;
#[cfg(test)]
mod tests;

pub use messages::Action;
pub use messages::Choice;
pub use messages::Event;
pub use messages::Fallback;

use placement::Zones;

/// The retry delay for callers if no scheduler has given one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time to collect the replies to the first tickets. If an agent has
/// not replied by then, the best grant among the other replies is accepted. The
/// time is several round trips between availability zones, so that the replies
/// of the other agents are included even if a slow host reads them late.
const COLLECTION_TIMEOUT: Duration = Duration::from_millis(20);

/// The state of the ticket offered to one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TicketState {
    /// The scheduler has not replied yet.
    Offered,
    /// Queued by the scheduler.
    Waiting(Quote),
    Granted(Grant),
    /// Refused, returned, withdrawn or used.
    Closed,
}

/// The state of a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Collecting the replies to the first tickets.
    Collecting,
    /// Waiting for a grant of any ticket; the first is accepted.
    WaitingForGrant,
    /// Waiting for the zone that may take the request, which would be refused otherwise
    /// because of this expected wait.
    SeekingFallback(Duration),
    /// Collecting the replies of that zone, while the tickets at home expect this wait.
    AskingElsewhere(Duration),
    /// Waiting for an available upstream.
    NoUpstream,
    /// Sent to an upstream.
    Sent,
    /// Given up or abandoned.
    Done,
}

/// The dispatch state of one request at its entry.
///
/// Invariants: a request is sent to one upstream at a time; once sent, it is
/// sent again only after [`Event::NotRun`] for that upstream.
pub struct Dispatch {
    state: State,
    tickets: BTreeMap<Name, TicketState>,
    /// Upstreams that can still be offered a ticket, the best last.
    remaining: Vec<Choice>,
    /// The zones of the upstreams, and which of them tickets are offered to.
    zones: Zones,
    /// The upstream to which the request was last sent.
    sent_to: Option<Name>,
    /// Upstreams that can be offered a second ticket because the connection to
    /// their agent was lost: the entry's local scheduler can accept it. This is
    /// done once for each upstream.
    reoffered: BTreeSet<Name>,
    /// The maximum number of open tickets.
    max_tickets: usize,
    /// The duration within which the answer of the upstream should start,
    /// compared with [`Quote::answer_start`].
    objective: Duration,
    /// The longest expected wait; a request with a longer one is refused.
    max_expected_wait: Duration,
    /// The time that the caller has left.
    deadline: Duration,
    /// The refusal to report if the request is given up.
    refusal: Option<Refusal>,
    /// The retry delay to report if the request is given up.
    retry_after: Option<Duration>,
}

impl Dispatch {
    /// Returns the dispatch of a request that can be sent to any of `choices`,
    /// ordered from the best, with at most `max_tickets` open tickets.
    pub fn new(choices: Vec<Choice>, max_tickets: usize) -> Self {
        let zones = Zones::new(&choices);
        let mut remaining = choices;
        remaining.reverse();
        Self {
            state: State::Collecting,
            tickets: BTreeMap::new(),
            remaining,
            zones,
            sent_to: None,
            reoffered: BTreeSet::new(),
            max_tickets,
            objective: Duration::MAX,
            max_expected_wait: Duration::MAX,
            deadline: Duration::ZERO,
            refusal: None,
            retry_after: None,
        }
    }

    /// Sets the duration within which the answer should start, and the longest
    /// expected wait. A request with a longer expected wait is refused instead
    /// of queued.
    pub fn with_time_limits(mut self, objective: Duration, max_expected_wait: Duration) -> Self {
        self.objective = objective;
        self.max_expected_wait = max_expected_wait;
        self
    }

    /// Sets the time that the caller has left, on which the retry delay depends.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Stops offering tickets to the upstreams for which `may_run` returns false. Must
    /// not be called while tickets are open.
    pub fn restrict<F>(&mut self, may_run: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.remaining.retain(|choice| may_run(&choice.upstream));
    }

    /// Ends the search for another upstream, since `upstream`, to which the request was
    /// sent, may answer after all. The next search begins with all upstreams.
    pub fn stay(&mut self, upstream: Name) -> Vec<Action> {
        let actions = self.withdraw_all();
        self.state = State::Sent;
        self.sent_to = Some(upstream);
        self.tickets.clear();
        self.remaining.clear();
        self.reoffered.clear();
        self.refusal = None;
        self.retry_after = None;
        actions
    }

    /// Offers the first tickets.
    pub fn start(&mut self) -> Vec<Action> {
        let mut actions = self.offer_tickets();
        if self.state == State::Collecting {
            actions.push(Action::CollectFor(COLLECTION_TIMEOUT));
        }
        actions
    }

    /// Returns whether the request still needs an upstream: it is neither sent
    /// nor finished.
    pub fn needs_upstream(&self) -> bool {
        matches!(
            self.state,
            State::Collecting
                | State::WaitingForGrant
                | State::SeekingFallback(_)
                | State::AskingElsewhere(_)
                | State::NoUpstream
        )
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        match (self.state, event) {
            (State::Done, _) => Vec::new(),
            (State::Sent, Event::NotRun(upstream, refusal))
                if self.sent_to.as_ref() == Some(&upstream) =>
            {
                self.state = State::Collecting;
                let mut actions = self.handle_refusal(&upstream, refusal);
                if self.state == State::Collecting {
                    actions.push(Action::CollectFor(COLLECTION_TIMEOUT));
                }
                actions
            }
            // The grant is not needed: the request was sent to another upstream.
            (
                State::Sent,
                Event::Granted(upstream, _)
                | Event::OfferReplied(upstream, OfferResult::Granted(_)),
            ) => vec![Action::Withdraw(upstream)],
            (State::Sent, _) | (_, Event::NotRun(..)) => Vec::new(),
            (_, Event::OfferReplied(upstream, offered)) => {
                self.handle_offer_result(&upstream, offered)
            }
            (_, Event::Granted(upstream, grant)) => self.handle_grant(&upstream, grant),
            (_, Event::Returned(upstream, refusal)) => self.handle_refusal(&upstream, refusal),
            (_, Event::ConnectionLost(upstream, _)) => self.handle_connection_lost(&upstream),
            (State::AskingElsewhere(wait), Event::CollectionTimedOut) => self.finish_asking(wait),
            (_, Event::CollectionTimedOut) => self.finish_collection(),
            (State::NoUpstream, Event::Upstreams(choices)) => self.retry_with(choices),
            (_, Event::Upstreams(_)) => Vec::new(),
            (State::SeekingFallback(wait), Event::Fallback(fallback)) => {
                self.take_fallback(wait, fallback)
            }
            (_, Event::Fallback(_)) => Vec::new(),
            (_, Event::HeldOff(wait)) => {
                self.refusal = Some(Refusal::new(RefusalCode::Overloaded, wait));
                self.retry_after = Some(wait);
                self.give_up()
            }
            (_, Event::WaitTimedOut) => {
                let retry_after = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                let expired = Refusal::new(RefusalCode::Expired, retry_after);
                self.refusal.get_or_insert(expired);
                self.give_up()
            }
            (_, Event::Evicted(refusal)) => {
                self.refusal = Some(refusal);
                self.give_up()
            }
        }
    }

    fn handle_offer_result(&mut self, upstream: &Name, offered: OfferResult) -> Vec<Action> {
        match offered {
            OfferResult::Granted(grant) => self.handle_grant(upstream, grant),
            OfferResult::Refused(refusal) => self.handle_refusal(upstream, refusal),
            OfferResult::Queued(quote) => {
                if let Some(ticket) = self.tickets.get_mut(upstream)
                    && *ticket == TicketState::Offered
                {
                    *ticket = TicketState::Waiting(quote);
                }
                match self.state {
                    State::WaitingForGrant => self.check_expected_wait(),
                    _ => self.finish_collection_if_complete(),
                }
            }
        }
    }

    fn handle_grant(&mut self, upstream: &Name, grant: Grant) -> Vec<Action> {
        match self.tickets.get_mut(upstream) {
            Some(ticket) if *ticket != TicketState::Closed => *ticket = TicketState::Granted(grant),
            _ => return vec![Action::Withdraw(upstream.clone())],
        }
        match self.state {
            State::Collecting => self.finish_collection_if_complete(),
            // A grant at home need not wait for other zones.
            State::AskingElsewhere(_) if !self.zones.is_home(upstream) => {
                self.finish_collection_if_complete()
            }
            _ => self.accept_best_grant(),
        }
    }

    /// Ends the collection if the schedulers have replied to every open ticket.
    fn finish_collection_if_complete(&mut self) -> Vec<Action> {
        let awaits_reply = self.tickets.values().any(|t| *t == TicketState::Offered);
        match self.state {
            State::Collecting if !awaits_reply => self.finish_collection(),
            State::AskingElsewhere(wait) if !awaits_reply => self.finish_asking(wait),
            _ => Vec::new(),
        }
    }

    fn finish_collection(&mut self) -> Vec<Action> {
        if self.state != State::Collecting {
            return Vec::new();
        }
        self.state = State::WaitingForGrant;
        let actions = self.accept_best_grant();
        if !actions.is_empty() {
            return actions;
        }
        self.check_expected_wait()
    }

    /// Refuses the request if the schedulers have replied to every open ticket and
    /// each of them expects too long a wait.
    fn check_expected_wait(&mut self) -> Vec<Action> {
        match self.shortest_wait() {
            Some(wait) if self.may_seek_fallback(wait) => self.seek_fallback(wait),
            Some(wait) if wait > self.max_expected_wait => {
                let mut actions = vec![Action::RecordWait(wait)];
                actions.extend(self.refuse_overloaded(wait));
                actions
            }
            Some(_) => vec![Action::RecordQueued],
            None => Vec::new(),
        }
    }

    /// Gives up the request as overloaded, given its expected wait.
    fn refuse_overloaded(&mut self, wait: Duration) -> Vec<Action> {
        let retry_after = retry_after(wait, self.deadline);
        self.refusal = Some(Refusal::new(RefusalCode::Overloaded, retry_after));
        self.retry_after = Some(retry_after);
        self.give_up()
    }

    /// Returns the shortest expected wait. `None` if an offer has no reply,
    /// a ticket is granted, or no ticket is open.
    fn shortest_wait(&self) -> Option<Duration> {
        let mut shortest = None;
        for ticket in self.tickets.values() {
            match ticket {
                TicketState::Offered | TicketState::Granted(_) => return None,
                TicketState::Closed => {}
                TicketState::Waiting(quote) => {
                    let wait = shortest.map_or(quote.wait, |s: Duration| s.min(quote.wait));
                    shortest = Some(wait);
                }
            }
        }
        shortest
    }

    /// Accepts the best grant, if any, and withdraws the other tickets.
    fn accept_best_grant(&mut self) -> Vec<Action> {
        let granted = self.tickets.iter().filter_map(|(name, t)| match t {
            TicketState::Granted(grant) => Some((name, grant)),
            _ => None,
        });
        let best = granted.min_by_key(|(name, grant)| self.grant_sort_key(name, grant.quote));
        let Some((name, id)) = best.map(|(name, grant)| (name.clone(), grant.id)) else {
            return Vec::new();
        };
        let mut actions = vec![Action::Send(name.clone(), id)];
        actions.extend(self.withdraw_all_but(&name));
        self.state = State::Sent;
        self.sent_to = Some(name);
        actions
    }

    /// Returns the sort key of a grant; the lowest is the best. Grants that meet
    /// the objective come first, then those with the earliest end. The end is
    /// later for upstreams in other zones.
    fn grant_sort_key(&self, upstream: &Name, quote: Quote) -> (bool, Duration) {
        let end = self.zones.compared_end(upstream, quote.answer_end);
        (quote.answer_start > self.objective, end)
    }

    fn handle_refusal(&mut self, upstream: &Name, refusal: Refusal) -> Vec<Action> {
        self.tickets.insert(upstream.clone(), TicketState::Closed);
        self.refusal = Some(match self.refusal {
            // Overload is more useful to the caller than the other reasons.
            Some(old) if old.code.priority() > refusal.code.priority() => old,
            _ => refusal,
        });
        let retry_after = refusal.retry_after;
        self.retry_after = Some(
            self.retry_after
                .map_or(retry_after, |old| old.min(retry_after)),
        );
        self.replace_ticket()
    }

    fn handle_connection_lost(&mut self, upstream: &Name) -> Vec<Action> {
        let was_open = self
            .tickets
            .get(upstream)
            .is_some_and(|t| *t != TicketState::Closed);
        if was_open && self.reoffered.insert(upstream.clone()) {
            self.tickets.remove(upstream);
            let choice = self.zones.choice(upstream);
            // `remaining` has the best last, so this upstream is tried last.
            self.remaining.insert(0, choice);
        } else {
            self.tickets.insert(upstream.clone(), TicketState::Closed);
        }
        self.replace_ticket()
    }

    fn replace_ticket(&mut self) -> Vec<Action> {
        let mut actions = self.offer_tickets();
        if actions.is_empty() {
            actions = self.finish_collection_if_complete();
        }
        actions
    }

    fn offer_tickets(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.open_tickets() < self.max_tickets {
            let Some(choice) = self.remaining.pop() else {
                break;
            };
            self.tickets
                .insert(choice.upstream.clone(), TicketState::Offered);
            actions.push(Action::Offer(choice.upstream));
        }
        if self.open_tickets() == 0 {
            return self.handle_no_upstreams();
        }
        actions
    }

    /// Handles the case that no upstream is left to offer a ticket to. If a
    /// refusal shows a busy upstream, the request is given up and the caller
    /// has to retry. Otherwise, as after a restart of the entry or of the
    /// agents, the request waits for upstreams.
    fn handle_no_upstreams(&mut self) -> Vec<Action> {
        let busy = self.refusal.is_some_and(|r| r.code.priority() > 0);
        if busy {
            return self.give_up();
        }
        self.state = State::NoUpstream;
        vec![Action::AwaitUpstreams]
    }

    /// Restarts the dispatch with the upstreams that are available now.
    fn retry_with(&mut self, choices: Vec<Choice>) -> Vec<Action> {
        self.zones.set_choices(&choices);
        self.remaining = self.zones.placed(choices, self.max_tickets);
        self.remaining.reverse();
        self.tickets.clear();
        self.reoffered.clear();
        self.state = State::Collecting;
        self.start()
    }

    fn give_up(&mut self) -> Vec<Action> {
        let mut actions = self.withdraw_all();
        self.state = State::Done;
        actions.push(Action::GiveUp {
            refusal: self.refusal,
            retry_after: self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        });
        actions
    }

    /// Ends the dispatch without an answer and withdraws every ticket: the
    /// caller has disconnected, or the request must not be sent again.
    pub fn abandon(&mut self) -> Vec<Action> {
        self.state = State::Done;
        self.withdraw_all()
    }

    fn withdraw_all(&mut self) -> Vec<Action> {
        let open = self
            .tickets
            .iter_mut()
            .filter(|(_, t)| **t != TicketState::Closed);
        open.map(|(upstream, ticket)| {
            *ticket = TicketState::Closed;
            Action::Withdraw(upstream.clone())
        })
        .collect()
    }

    /// Withdraws all tickets but the accepted one. Their upstreams become the
    /// first to be offered a ticket again, if the accepted upstream has not run
    /// the request.
    fn withdraw_all_but(&mut self, accepted: &Name) -> Vec<Action> {
        let others: Vec<Name> = self
            .tickets
            .iter()
            .filter(|(upstream, ticket)| *upstream != accepted && **ticket != TicketState::Closed)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        self.tickets.insert(accepted.clone(), TicketState::Closed);
        for upstream in &others {
            self.tickets.remove(upstream);
            let choice = self.zones.choice(upstream);
            self.remaining.push(choice);
        }
        others.into_iter().map(Action::Withdraw).collect()
    }

    fn open_tickets(&self) -> usize {
        self.tickets
            .values()
            .filter(|t| **t != TicketState::Closed)
            .count()
    }
}
