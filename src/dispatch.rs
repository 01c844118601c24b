//! The entry's decision about one request: where its tickets go and which
//! grant is accepted.
//!
//! The entry that accepted a request is the only one to decide for it. A
//! dispatch does no I/O: it is told events and returns actions.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::GrantId;
use crate::name::Name;
use crate::ticket::Quote;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

#[cfg(test)]
mod tests;

/// When to come back where no agent has said so.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Something that happened to a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent queued the ticket.
    Queued(Name, Quote),
    /// Waiting for the holder of the prompt's prefix has lasted long enough.
    PatienceEnded,
    /// An agent refused the ticket or handed it back.
    Refused(Name, Refusal),
    /// An agent has room.
    Granted(Name, GrantId),
    /// The connection to an agent was lost.
    Lost(Name),
    /// The agent has dispatched the request.
    Dispatched(Name),
    /// The agent surely did not dispatch the request after an accept.
    NotDispatched(Name, Refusal),
    /// It can't be found out whether the request was dispatched.
    Unclear(Name),
    /// The deadline has passed.
    DeadlinePassed,
    /// The entry needs the room for a request of a higher tier.
    Shed(Refusal),
}

/// Something that has to be done for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Offer a ticket to an agent.
    Offer(Name),
    /// Tell `PatienceEnded` after this time.
    WaitFor(Duration),
    /// Accept a grant and send the request.
    Accept(Name, GrantId),
    /// Find out from the same incarnation of an agent whether it dispatched.
    AskFate(Name),
    /// Have the rest of the answer sent on a new connection.
    Resume(Name),
    /// Take back the ticket from an agent.
    Withdraw(Name),
    /// End the request without an answer from an upstream.
    Finish(Failure),
}

/// Why a request ended without an answer from an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It was not run; no agent took it.
    NotRun {
        /// What the last agent said; absent where none could be reached.
        refusal: Option<Refusal>,
        /// When coming back may help.
        retry_after: Duration,
    },
    /// It may have been run.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TicketState {
    Offered,
    Gone,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// Tickets are out; nothing has been accepted.
    Seeking,
    /// An accept was sent to this agent and not yet answered.
    Accepting(Name),
    /// The answer to the accept was lost; this agent is asked for the fate.
    Asking(Name),
    /// The request counts as dispatched by this agent.
    Dispatched(Name),
    /// A final answer has been given.
    Done,
}

/// The state of one request at its entry.
///
/// Invariants: at most one accept is unanswered at any time; once an accept
/// was answered by `Dispatched` or `Unclear`, no further accept is sent.
pub struct Dispatch {
    state: State,
    tickets: BTreeMap<Name, TicketState>,
    /// Agents not yet tried, the best last.
    spare: Vec<Name>,
    /// Tickets that are out at most.
    width: usize,
    /// Whether the only ticket so far went to the holder of the prefix.
    narrow: bool,
    refusal: Option<Refusal>,
    retry_after: Option<Duration>,
}

impl Dispatch {
    /// A request that may go to `candidates`, the best first, with at most
    /// `width` tickets out at any time.
    pub fn new(candidates: Vec<Name>, width: usize) -> Self {
        let mut spare = candidates;
        spare.reverse();
        Self {
            state: State::Seeking,
            tickets: BTreeMap::new(),
            spare,
            width,
            narrow: false,
            refusal: None,
            retry_after: None,
        }
    }

    /// The same request, of which the first candidate holds the prompt's
    /// prefix. It is asked alone, and the others only once waiting for it
    /// costs more than processing the prefix again.
    pub fn with_holder(mut self) -> Self {
        self.narrow = true;
        self
    }

    /// Sends out the first tickets.
    pub fn start(&mut self) -> Vec<Action> {
        self.seek()
    }

    /// Whether the request surely was not dispatched so far.
    pub fn is_seeking(&self) -> bool {
        self.state == State::Seeking
    }

    /// Whether the request has been dispatched.
    pub fn is_dispatched(&self) -> bool {
        matches!(self.state, State::Dispatched(_))
    }

    /// Takes in an event and says what is to be done.
    pub fn on(&mut self, event: Event) -> Vec<Action> {
        match (self.state.clone(), event) {
            (State::Done, _) => Vec::new(),
            (State::Seeking, Event::Queued(_, quote)) => self.queued(quote),
            (State::Seeking, Event::PatienceEnded) => self.widen(),
            (State::Seeking, Event::Granted(agent, grant)) => self.accept(agent, grant),
            (State::Seeking, Event::Refused(agent, refusal)) => self.refused(agent, refusal),
            (State::Seeking, Event::Lost(agent)) => self.lost(agent),
            (State::Seeking, Event::DeadlinePassed) => {
                let after = self.retry_after.unwrap_or(RETRY_AFTER);
                let late = Refusal::new(RefusalCode::Expired, after);
                self.refusal.get_or_insert(late);
                self.give_up()
            }
            (State::Seeking, Event::Shed(refusal)) => {
                self.refusal = Some(refusal);
                self.give_up()
            }
            (
                State::Seeking,
                Event::Dispatched(_) | Event::NotDispatched(..) | Event::Unclear(_),
            ) => Vec::new(),
            // An agent that reserved room for a request decided elsewhere.
            (_, Event::Granted(agent, _)) => vec![Action::Withdraw(agent)],
            (State::Accepting(at) | State::Asking(at), event) => self.decided(at, event),
            (State::Dispatched(at), event) => self.dispatched(&at, event),
        }
    }

    /// Takes in an event while an accept is unanswered.
    fn decided(&mut self, at: Name, event: Event) -> Vec<Action> {
        match event {
            Event::Dispatched(agent) if agent == at => {
                self.state = State::Dispatched(at);
                Vec::new()
            }
            Event::NotDispatched(agent, refusal) if agent == at => {
                self.state = State::Seeking;
                self.refused(agent, refusal)
            }
            Event::Unclear(agent) if agent == at => {
                self.state = State::Done;
                vec![Action::Finish(Failure::Unknown)]
            }
            Event::Lost(agent) if agent == at && self.state == State::Accepting(at) => {
                self.state = State::Asking(agent.clone());
                vec![Action::AskFate(agent)]
            }
            _ => Vec::new(),
        }
    }

    /// Takes in an event while the request counts as dispatched.
    fn dispatched(&mut self, at: &Name, event: Event) -> Vec<Action> {
        match event {
            Event::NotDispatched(agent, refusal) if agent == *at => {
                self.state = State::Seeking;
                self.refused(agent, refusal)
            }
            Event::Lost(agent) if agent == *at => vec![Action::Resume(agent)],
            _ => Vec::new(),
        }
    }

    fn queued(&mut self, quote: Quote) -> Vec<Action> {
        if !self.narrow {
            return Vec::new();
        }
        match quote.saving.checked_sub(quote.start) {
            Some(patience) => vec![Action::WaitFor(patience)],
            None => self.widen(),
        }
    }

    fn widen(&mut self) -> Vec<Action> {
        self.narrow = false;
        self.seek()
    }

    fn accept(&mut self, agent: Name, grant: GrantId) -> Vec<Action> {
        if self.tickets.get(&agent) != Some(&TicketState::Offered) {
            return vec![Action::Withdraw(agent)];
        }
        let mut actions = vec![Action::Accept(agent.clone(), grant)];
        actions.extend(self.withdraw_all_but(&agent));
        self.state = State::Accepting(agent);
        actions
    }

    fn refused(&mut self, agent: Name, refusal: Refusal) -> Vec<Action> {
        self.narrow = false;
        self.tickets.insert(agent, TicketState::Gone);
        self.refusal = Some(match self.refusal {
            // The caller should hear of load rather than of a detail.
            Some(old) if weight(old.code) > weight(refusal.code) => old,
            _ => refusal,
        });
        let after = refusal.retry_after;
        self.retry_after = Some(self.retry_after.map_or(after, |old| old.min(after)));
        self.seek()
    }

    fn lost(&mut self, agent: Name) -> Vec<Action> {
        self.narrow = false;
        self.tickets.insert(agent, TicketState::Gone);
        self.seek()
    }

    fn seek(&mut self) -> Vec<Action> {
        let width = if self.narrow { 1 } else { self.width };
        let mut actions = Vec::new();
        while self.out() < width {
            let Some(agent) = self.spare.pop() else {
                break;
            };
            self.tickets.insert(agent.clone(), TicketState::Offered);
            actions.push(Action::Offer(agent));
        }
        if self.out() == 0 {
            return self.give_up();
        }
        actions
    }

    fn give_up(&mut self) -> Vec<Action> {
        let mut actions = self.withdraw_all();
        self.state = State::Done;
        actions.push(Action::Finish(Failure::NotRun {
            refusal: self.refusal,
            retry_after: self.retry_after.unwrap_or(RETRY_AFTER),
        }));
        actions
    }

    /// The caller has gone: takes back every ticket.
    pub fn abandon(&mut self) -> Vec<Action> {
        self.state = State::Done;
        self.withdraw_all()
    }

    fn withdraw_all(&mut self) -> Vec<Action> {
        let out = self
            .tickets
            .iter_mut()
            .filter(|(_, s)| **s == TicketState::Offered);
        out.map(|(agent, state)| {
            *state = TicketState::Gone;
            Action::Withdraw(agent.clone())
        })
        .collect()
    }

    /// Takes back the other tickets; their agents may be tried again if this
    /// accept turns out not to have dispatched the request.
    fn withdraw_all_but(&mut self, kept: &Name) -> Vec<Action> {
        let others: Vec<Name> = self
            .tickets
            .iter()
            .filter(|(agent, state)| *agent != kept && **state == TicketState::Offered)
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in &others {
            self.tickets.remove(agent);
            self.spare.insert(0, agent.clone());
        }
        others.into_iter().map(Action::Withdraw).collect()
    }

    fn out(&self) -> usize {
        self.tickets
            .values()
            .filter(|s| **s == TicketState::Offered)
            .count()
    }
}

fn weight(code: RefusalCode) -> u8 {
    match code {
        RefusalCode::Overloaded | RefusalCode::Evicted => 3,
        RefusalCode::Late => 2,
        RefusalCode::Expired => 1,
        RefusalCode::Draining
        | RefusalCode::Stale
        | RefusalCode::Unreachable
        | RefusalCode::Duplicate
        | RefusalCode::NotReady => 0,
    }
}
