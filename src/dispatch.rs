//! The entry's decision about one request: where its tickets go and which
//! grant is accepted.
//!
//! The entry that accepted a request is the only one to decide for it, and
//! the one that sends it. A dispatch does no I/O: it is told events and
//! returns actions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::GrantId;
use crate::ids::LinkId;
use crate::name::Name;
use crate::ticket::Grant;
use crate::ticket::Offered;
use crate::ticket::Quote;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

#[cfg(test)]
mod tests;

/// When to come back where no scheduler has said so.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long the answers to the first tickets are collected before the best
/// grant among them is accepted, where an agent is silent: several round trips
/// between availability zones, so that the answers of the others are in also
/// where a slow host reads them late.
const COLLECT: Duration = Duration::from_millis(20);

/// A caller that is refused in a burst comes back after so many times the
/// wait that it would have had.
const CALM_AFTER: u32 = 4;

/// The earliest time to come back in a burst.
const OVERLOAD_RETRY_MIN: Duration = Duration::from_secs(2);

/// The latest time to come back in a burst: bursts last some seconds.
const OVERLOAD_RETRY_MAX: Duration = Duration::from_secs(5);

/// What an upstream in another availability zone has to be faster by, as a
/// part of the expected time, to be preferred.
const FAR_PART: f64 = 0.4;

/// An upstream that could run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: Name,
    /// Whether it is in the entry's own availability zone.
    pub near: bool,
}

/// Something that happened to a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// A scheduler has answered the ticket.
    Offered(Name, Offered),
    /// A scheduler has room for the waiting ticket.
    Granted(Name, Grant),
    /// A scheduler handed the waiting ticket back.
    HandedBack(Name, Refusal),
    /// The connection to an agent was lost.
    Lost(Name, LinkId),
    /// The answers to the first tickets were collected for long enough.
    Collected,
    /// The upstream surely did not run the request that it was sent.
    NotRun(Name, Refusal),
    /// These upstreams could run the request now.
    Upstreams(Vec<Choice>),
    /// Waiting has lasted too long.
    PatienceEnded,
    /// The entry needs the room for a request of a higher tier.
    Shed(Refusal),
}

/// Something that has to be done for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Offer a ticket for an upstream.
    Offer(Name),
    /// Tell `Collected` after this time.
    CollectFor(Duration),
    /// Accept the grant and send the request.
    Send(Name, GrantId),
    /// Take back the ticket for an upstream.
    Withdraw(Name),
    /// The request waits at schedulers that have no room for it now.
    Waits,
    /// None of the upstreams is there; tell of `Upstreams` after a moment.
    AwaitUpstreams,
    /// Remember that requests like this one are expected to wait for so long.
    NoteWait(Duration),
    /// End the request: it was not run.
    GiveUp {
        /// What the schedulers said; absent where none could be reached.
        refusal: Option<Refusal>,
        /// When coming back may help.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ticket {
    /// Not answered yet.
    Offered,
    Waiting(Quote),
    Granted(Grant),
    Gone,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The answers to the first tickets are collected.
    Collecting,
    /// Tickets are out; the first grant is accepted.
    Seeking,
    /// No upstream is there that could take the request.
    Awaiting,
    /// The request was sent.
    Sent,
    /// A final answer has been given.
    Done,
}

/// The state of one request at its entry.
///
/// Invariants: a request is sent to one upstream at a time; once sent, it is
/// sent again only after `NotRun` of that upstream.
pub struct Dispatch {
    state: State,
    tickets: BTreeMap<Name, Ticket>,
    /// Upstreams not yet tried, the best last.
    spare: Vec<Choice>,
    near: BTreeMap<Name, bool>,
    /// Where the request was sent last.
    sent_to: Option<Name>,
    /// Upstreams whose agent was lost; each is tried once more without it.
    lost: BTreeSet<Name>,
    /// Tickets that are out at most.
    width: usize,
    /// The time within which the answer should begin, from the start.
    objective: Duration,
    /// The longest expected wait with which it is left waiting.
    longest_wait: Duration,
    refusal: Option<Refusal>,
    retry_after: Option<Duration>,
}

impl Dispatch {
    /// A request that may go to `choices`, the best first, with at most
    /// `width` tickets out at any time.
    pub fn new(choices: Vec<Choice>, width: usize) -> Self {
        let near = nearness(&choices);
        let mut spare = choices;
        spare.reverse();
        Self {
            state: State::Collecting,
            tickets: BTreeMap::new(),
            spare,
            near,
            sent_to: None,
            lost: BTreeSet::new(),
            width,
            objective: Duration::MAX,
            longest_wait: Duration::MAX,
            refusal: None,
            retry_after: None,
        }
    }

    /// The same request, whose answer should begin within `objective`. It is
    /// refused at once where a wait of more than `longest_wait` is expected.
    pub fn with_times(mut self, objective: Duration, longest_wait: Duration) -> Self {
        self.objective = objective;
        self.longest_wait = longest_wait;
        self
    }

    /// Sends out the first tickets.
    pub fn start(&mut self) -> Vec<Action> {
        let mut actions = self.seek();
        if self.state == State::Collecting {
            actions.push(Action::CollectFor(COLLECT));
        }
        actions
    }

    /// Whether the request is not at an upstream.
    pub fn is_seeking(&self) -> bool {
        matches!(
            self.state,
            State::Collecting | State::Seeking | State::Awaiting
        )
    }

    /// Takes in an event and says what is to be done.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        match (self.state, event) {
            (State::Done, _) => Vec::new(),
            (State::Sent, Event::NotRun(upstream, refusal))
                if self.sent_to.as_ref() == Some(&upstream) =>
            {
                self.state = State::Collecting;
                let mut actions = self.refused(&upstream, refusal);
                if self.state == State::Collecting {
                    actions.push(Action::CollectFor(COLLECT));
                }
                actions
            }
            // A scheduler that reserved room for a request that was sent elsewhere.
            (
                State::Sent,
                Event::Granted(upstream, _) | Event::Offered(upstream, Offered::Granted(_)),
            ) => vec![Action::Withdraw(upstream)],
            (State::Sent, _) | (_, Event::NotRun(..)) => Vec::new(),
            (_, Event::Offered(upstream, offered)) => self.offered(&upstream, offered),
            (_, Event::Granted(upstream, grant)) => self.granted(&upstream, grant),
            (_, Event::HandedBack(upstream, refusal)) => self.refused(&upstream, refusal),
            (_, Event::Lost(upstream, _)) => self.lost(&upstream),
            (_, Event::Collected) => self.collected(),
            (State::Awaiting, Event::Upstreams(choices)) => self.upstreams(choices),
            (_, Event::Upstreams(_)) => Vec::new(),
            (_, Event::PatienceEnded) => {
                let after = self.retry_after.unwrap_or(RETRY_AFTER);
                let late = Refusal::new(RefusalCode::Expired, after);
                self.refusal.get_or_insert(late);
                self.give_up()
            }
            (_, Event::Shed(refusal)) => {
                self.refusal = Some(refusal);
                self.give_up()
            }
        }
    }

    fn offered(&mut self, upstream: &Name, offered: Offered) -> Vec<Action> {
        match offered {
            Offered::Granted(grant) => self.granted(upstream, grant),
            Offered::Refused(refusal) => self.refused(upstream, refusal),
            Offered::Queued(quote) => {
                if let Some(ticket) = self.tickets.get_mut(upstream)
                    && *ticket == Ticket::Offered
                {
                    *ticket = Ticket::Waiting(quote);
                }
                self.collected_all()
            }
        }
    }

    fn granted(&mut self, upstream: &Name, grant: Grant) -> Vec<Action> {
        match self.tickets.get_mut(upstream) {
            Some(ticket) if *ticket != Ticket::Gone => *ticket = Ticket::Granted(grant),
            _ => return vec![Action::Withdraw(upstream.clone())],
        }
        match self.state {
            State::Collecting => self.collected_all(),
            _ => self.send_best(),
        }
    }

    /// Ends the collection once every ticket that is out was answered.
    fn collected_all(&mut self) -> Vec<Action> {
        let open = self.tickets.values().any(|t| *t == Ticket::Offered);
        match self.state == State::Collecting && !open {
            true => self.collected(),
            false => Vec::new(),
        }
    }

    fn collected(&mut self) -> Vec<Action> {
        if self.state != State::Collecting {
            return Vec::new();
        }
        self.state = State::Seeking;
        let actions = self.send_best();
        if !actions.is_empty() {
            return actions;
        }
        match self.shortest_wait() {
            Some(wait) if wait > self.longest_wait => {
                let mut actions = vec![Action::NoteWait(wait)];
                actions.extend(self.refuse(wait));
                actions
            }
            Some(_) => vec![Action::Waits],
            None => Vec::new(),
        }
    }

    /// Gives the request up since it is expected to wait for `wait`.
    pub fn refuse(&mut self, wait: Duration) -> Vec<Action> {
        let after = (wait * CALM_AFTER).clamp(OVERLOAD_RETRY_MIN, OVERLOAD_RETRY_MAX);
        self.refusal = Some(Refusal::new(RefusalCode::Overloaded, after));
        self.retry_after = Some(after);
        self.give_up()
    }

    /// The shortest expected wait, where every scheduler has given one.
    fn shortest_wait(&self) -> Option<Duration> {
        let mut shortest = None;
        for ticket in self.tickets.values() {
            match ticket {
                Ticket::Offered | Ticket::Granted(_) => return None,
                Ticket::Gone => {}
                Ticket::Waiting(quote) => {
                    let wait = shortest.map_or(quote.start, |s: Duration| s.min(quote.start));
                    shortest = Some(wait);
                }
            }
        }
        shortest
    }

    /// Accepts the best grant, if there is one.
    fn send_best(&mut self) -> Vec<Action> {
        let granted = self.tickets.iter().filter_map(|(name, t)| match t {
            Ticket::Granted(grant) => Some((name, grant)),
            _ => None,
        });
        let best = granted.min_by_key(|(name, grant)| self.rank(name, grant.quote));
        let Some((name, id)) = best.map(|(name, grant)| (name.clone(), grant.id)) else {
            return Vec::new();
        };
        let mut actions = vec![Action::Send(name.clone(), id)];
        actions.extend(self.withdraw_all_but(&name));
        self.state = State::Sent;
        self.sent_to = Some(name);
        actions
    }

    /// Whether the answer would begin too late, and when it would end.
    fn rank(&self, upstream: &Name, quote: Quote) -> (bool, Duration) {
        let near = self.near.get(upstream).copied().unwrap_or_default();
        let end = match near {
            true => quote.end,
            false => quote.end.mul_f64(1.0 + FAR_PART),
        };
        (quote.begin > self.objective, end)
    }

    fn refused(&mut self, upstream: &Name, refusal: Refusal) -> Vec<Action> {
        self.tickets.insert(upstream.clone(), Ticket::Gone);
        self.refusal = Some(match self.refusal {
            // The caller should hear of load rather than of a detail.
            Some(old) if weight(old.code) > weight(refusal.code) => old,
            _ => refusal,
        });
        let after = refusal.retry_after;
        self.retry_after = Some(self.retry_after.map_or(after, |old| old.min(after)));
        self.replace()
    }

    fn lost(&mut self, upstream: &Name) -> Vec<Action> {
        let was_out = self
            .tickets
            .get(upstream)
            .is_some_and(|t| *t != Ticket::Gone);
        if was_out && self.lost.insert(upstream.clone()) {
            self.tickets.remove(upstream);
            let choice = self.choice(upstream);
            self.spare.insert(0, choice);
        } else {
            self.tickets.insert(upstream.clone(), Ticket::Gone);
        }
        self.replace()
    }

    fn choice(&self, upstream: &Name) -> Choice {
        Choice {
            upstream: upstream.clone(),
            near: self.near.get(upstream).copied().unwrap_or_default(),
        }
    }

    fn replace(&mut self) -> Vec<Action> {
        let mut actions = self.seek();
        if actions.is_empty() {
            actions = self.collected_all();
        }
        actions
    }

    fn seek(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.out() < self.width {
            let Some(choice) = self.spare.pop() else {
                break;
            };
            self.tickets
                .insert(choice.upstream.clone(), Ticket::Offered);
            actions.push(Action::Offer(choice.upstream));
        }
        if self.out() == 0 {
            return self.none_left();
        }
        actions
    }

    /// No upstream is left to ask. Callers of upstreams that are not there
    /// wait for others, as after a restart; those of busy ones come back.
    fn none_left(&mut self) -> Vec<Action> {
        let busy = self.refusal.is_some_and(|r| weight(r.code) > 0);
        if busy {
            return self.give_up();
        }
        self.state = State::Awaiting;
        vec![Action::AwaitUpstreams]
    }

    /// Starts anew with the upstreams that are there now.
    fn upstreams(&mut self, choices: Vec<Choice>) -> Vec<Action> {
        self.near = nearness(&choices);
        self.spare = choices;
        self.spare.reverse();
        self.tickets.clear();
        self.lost.clear();
        self.state = State::Collecting;
        self.start()
    }

    fn give_up(&mut self) -> Vec<Action> {
        let mut actions = self.withdraw_all();
        self.state = State::Done;
        actions.push(Action::GiveUp {
            refusal: self.refusal,
            retry_after: self.retry_after.unwrap_or(RETRY_AFTER),
        });
        actions
    }

    /// The caller has gone, or may not be sent elsewhere: takes back every
    /// ticket.
    pub fn abandon(&mut self) -> Vec<Action> {
        self.state = State::Done;
        self.withdraw_all()
    }

    fn withdraw_all(&mut self) -> Vec<Action> {
        let out = self.tickets.iter_mut().filter(|(_, t)| **t != Ticket::Gone);
        out.map(|(upstream, ticket)| {
            *ticket = Ticket::Gone;
            Action::Withdraw(upstream.clone())
        })
        .collect()
    }

    /// Takes back the other tickets; their upstreams may be tried again if
    /// the chosen one turns out not to have run the request.
    fn withdraw_all_but(&mut self, kept: &Name) -> Vec<Action> {
        let others: Vec<Name> = self
            .tickets
            .iter()
            .filter(|(upstream, ticket)| *upstream != kept && **ticket != Ticket::Gone)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        self.tickets.insert(kept.clone(), Ticket::Gone);
        for upstream in &others {
            self.tickets.remove(upstream);
            let choice = self.choice(upstream);
            self.spare.push(choice);
        }
        others.into_iter().map(Action::Withdraw).collect()
    }

    fn out(&self) -> usize {
        self.tickets
            .values()
            .filter(|t| **t != Ticket::Gone)
            .count()
    }
}

fn nearness(choices: &[Choice]) -> BTreeMap<Name, bool> {
    let near = choices.iter().map(|c| (c.upstream.clone(), c.near));
    near.collect()
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
