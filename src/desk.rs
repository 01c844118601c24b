//! The agent's decisions: who waits, who gets the next room at the upstream,
//! and what may still be dispatched.
//!
//! A desk does no I/O. It takes the time as an argument and returns what has
//! to be told to whom.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::time::Duration;

use crate::clock::Moment;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::name::Name;
use crate::pace::Pace;
use crate::prefix::CHUNK_TOKENS;
use crate::prefix::PrefixIndex;
use crate::queue::Pushed;
use crate::queue::Queue;
use crate::ticket::Grant;
use crate::ticket::Offered;
use crate::ticket::Quote;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::Work;

#[cfg(test)]
mod tests;

/// How long the end of a request is remembered. An entry asks for the fate of
/// a request only within a shorter time after its accept.
pub const FATE_KEPT: Duration = Duration::from_secs(600);

/// The shortest time after which coming back is suggested.
const RETRY_FLOOR: Duration = Duration::from_millis(100);

/// One slot in so many is kept free for the highest tier.
const HEADROOM_PART: usize = 8;

/// Prompts of lower tiers may take this part of the highest tier's deadline.
const PREFILL_PART: u32 = 8;

/// The weight of one ticket in the part that is served here.
const SERVED_GAIN: f64 = 0.05;

/// The bounds of a desk.
#[derive(Clone, Debug)]
pub struct DeskConfig {
    /// Requests in flight at the upstream at most, grants included.
    pub slots: usize,
    /// Waiting tickets at most.
    pub tickets: usize,
    /// The time within which a grant may be accepted.
    pub grant_valid: Duration,
    /// Weights of organisations; 1 for those not named.
    pub weights: BTreeMap<Name, u32>,
    /// The rank of the highest tier, for which room is kept.
    pub top_order: u8,
    /// The deadline of the highest tier.
    pub top_deadline: Duration,
    /// Prompt tokens that the engine's cache is believed to hold at most;
    /// zero for an upstream without one.
    pub cache_tokens: u64,
}

/// Something that has to be told to the entry of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The upstream has room for the request.
    Granted(RequestId, Grant),
    /// The ticket is no longer here and was not dispatched.
    HandedBack(RequestId, Refusal),
}

/// What became of a request at this desk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It was not dispatched here, and never will be.
    NeverDispatched,
    /// It is running.
    Running,
    /// It has ended.
    Finished,
}

/// The state of one agent's upstream.
///
/// Invariants: a request is in at most one of the queue, `grants`, `running`
/// and `finished`; `grants` and `running` together never exceed the slots;
/// a request enters `running` only from a live grant, and leaves it only for
/// `finished`, from which nothing is dispatched. So a request is dispatched
/// at most once by this desk.
pub struct Desk {
    config: DeskConfig,
    queue: Queue,
    grants: HashMap<RequestId, Granted>,
    running: HashMap<RequestId, Running>,
    finished: HashMap<RequestId, Moment>,
    /// The requests of `finished` in the order in which they ended.
    ended: VecDeque<(Moment, RequestId)>,
    pace: Pace,
    prefixes: PrefixIndex,
    /// The part of the tickets that left the queue to be served here. The
    /// others were served by another agent that held a ticket too.
    served_part: f64,
    last_grant: u64,
    draining: bool,
}

struct Granted {
    id: GrantId,
    expires: Moment,
    ticket: Ticket,
    /// The cost for which the organisation was charged.
    cost: u64,
}

struct Running {
    ticket: Ticket,
    since: Moment,
    /// The cost for which the organisation was charged.
    cost: u64,
    /// Whether the upstream has begun to answer.
    answering: bool,
}

impl Desk {
    /// An idle desk.
    pub fn new(config: DeskConfig) -> Self {
        Self {
            queue: Queue::new(config.tickets),
            prefixes: PrefixIndex::new(cache_chunks(&config)),
            config,
            grants: HashMap::new(),
            running: HashMap::new(),
            finished: HashMap::new(),
            ended: VecDeque::new(),
            pace: Pace::new(),
            served_part: 1.0,
            last_grant: 0,
            draining: false,
        }
    }

    /// Puts new bounds in force. Work that is already in flight stays.
    pub fn set_config(&mut self, config: DeskConfig) {
        self.queue.set_capacity(config.tickets);
        if cache_chunks(&config) != cache_chunks(&self.config) {
            self.prefixes = PrefixIndex::new(cache_chunks(&config));
        }
        self.config = config;
    }

    /// Takes in a ticket, or refuses it. Also returns what the ticket changed
    /// for others.
    pub fn offer(&mut self, now: Moment, mut ticket: Ticket) -> (Offered, Vec<Notice>) {
        ticket.work.cached = self.cached_tokens(&ticket);
        if let Some(refusal) = self.refusal(now, &ticket) {
            return (Offered::Refused(refusal), Vec::new());
        }
        let request = ticket.request;
        let quote = self.quote(&ticket);
        let weight = self.weight(&ticket.organisation);
        let cost = self.cost(&ticket);
        let mut notices = Vec::new();
        match self.queue.push(ticket, weight, cost) {
            Pushed::Queued => {}
            Pushed::Evicted(victim) => notices.push(Notice::HandedBack(
                victim.request,
                self.refuse(RefusalCode::Evicted),
            )),
            Pushed::Full => return (self.refused(RefusalCode::Overloaded), notices),
            Pushed::Duplicate => return (self.refused(RefusalCode::Duplicate), notices),
        }
        let mut offered = Offered::Queued(quote);
        for notice in self.grant(now) {
            match notice {
                Notice::Granted(granted, grant) if granted == request => {
                    offered = Offered::Granted(grant);
                }
                other => notices.push(other),
            }
        }
        (offered, notices)
    }

    /// Accepts a grant: from here on the request counts as dispatched.
    pub fn accept(
        &mut self,
        now: Moment,
        request: RequestId,
        id: GrantId,
    ) -> Result<Ticket, Refusal> {
        let granted = match self.grants.entry(request) {
            Entry::Occupied(e) if e.get().id == id && e.get().expires > now => e.remove(),
            _ => return Err(self.refuse_accept(request)),
        };
        let ticket = granted.ticket;
        self.served_part += SERVED_GAIN * (1.0 - self.served_part);
        self.prefixes.touch(&ticket.prefix);
        let running = Running {
            ticket: ticket.clone(),
            since: now,
            cost: granted.cost,
            answering: false,
        };
        self.running.insert(request, running);
        Ok(ticket)
    }

    /// Takes back a ticket or a grant that was not accepted.
    pub fn withdraw(&mut self, now: Moment, request: RequestId) -> Vec<Notice> {
        let waited = self.queue.remove(request).is_some();
        let granted = self.take_back(request);
        if waited || granted {
            self.served_part -= SERVED_GAIN * self.served_part;
        }
        self.grant(now)
    }

    /// Notes that the upstream has begun to answer: the prompt is processed.
    pub fn answering(&mut self, now: Moment, request: RequestId) -> Vec<Notice> {
        if let Some(running) = self.running.get_mut(&request) {
            running.answering = true;
        }
        self.grant(now)
    }

    /// Notes the end of a dispatched request and what it really took; absent
    /// where it ended without an answer.
    pub fn finish(&mut self, now: Moment, request: RequestId, work: Option<Work>) -> Vec<Notice> {
        if let Some(running) = self.running.remove(&request) {
            let took = now.since(running.since);
            let ticket = running.ticket;
            if let Some(work) = work {
                self.pace.finished(now, work, took);
            }
            let real = micros(took);
            self.queue
                .correct(ticket.order, &ticket.organisation, running.cost, real);
            self.finished.insert(request, now);
            self.ended.push_back((now, request));
        }
        self.forget(now);
        self.grant(now)
    }

    /// Says what became of a request. One that was not dispatched so far is
    /// kept from being dispatched later.
    pub fn fate(&mut self, request: RequestId) -> Fate {
        if self.running.contains_key(&request) {
            return Fate::Running;
        }
        if self.finished.contains_key(&request) {
            return Fate::Finished;
        }
        self.queue.remove(request);
        self.take_back(request);
        Fate::NeverDispatched
    }

    /// Hands back what has waited past its deadline, takes back grants that
    /// lapsed, and grants the room that this leaves.
    pub fn tick(&mut self, now: Moment) -> Vec<Notice> {
        let expired = self.queue.expire(now);
        let refusal = self.refuse(RefusalCode::Expired);
        let mut notices: Vec<Notice> = expired
            .into_iter()
            .map(|t| Notice::HandedBack(t.request, refusal))
            .collect();
        let lapsed: Vec<RequestId> = self
            .grants
            .iter()
            .filter(|(_, g)| g.expires <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in lapsed {
            self.take_back(request);
            notices.push(Notice::HandedBack(request, refusal));
        }
        notices.extend(self.grant(now));
        notices
    }

    /// When `tick` next has something to do.
    pub fn next_tick(&self) -> Option<Moment> {
        let grants = self.grants.values().map(|g| g.expires).min();
        grants.into_iter().chain(self.queue.next_deadline()).min()
    }

    /// Takes no new work from now on and hands back what waits.
    pub fn drain(&mut self) -> Vec<Notice> {
        self.draining = true;
        let refusal = self.refuse(RefusalCode::Draining);
        self.queue
            .drain()
            .into_iter()
            .map(|t| Notice::HandedBack(t.request, refusal))
            .collect()
    }

    /// Whether the desk takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether nothing is granted or running.
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.running.is_empty()
    }

    /// The number of waiting tickets.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of dispatched requests that have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The most requests in flight.
    pub fn slots(&self) -> usize {
        self.config.slots
    }

    /// The measured pace of the upstream.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    fn refusal(&self, now: Moment, ticket: &Ticket) -> Option<Refusal> {
        let request = ticket.request;
        if self.draining {
            return Some(self.refuse(RefusalCode::Draining));
        }
        if self.running.contains_key(&request) || self.finished.contains_key(&request) {
            return Some(self.refuse(RefusalCode::Stale));
        }
        if self.grants.contains_key(&request) {
            return Some(self.refuse(RefusalCode::Duplicate));
        }
        let service = self.pace.service_time(ticket.work);
        if now + self.wait_for(ticket) + service > ticket.deadline {
            return Some(self.refuse(RefusalCode::Late));
        }
        None
    }

    fn refuse_accept(&self, request: RequestId) -> Refusal {
        let known = self.running.contains_key(&request) || self.finished.contains_key(&request);
        self.refuse(match known {
            true => RefusalCode::Stale,
            false => RefusalCode::Expired,
        })
    }

    fn cached_tokens(&self, ticket: &Ticket) -> u64 {
        let chunks = self.prefixes.matched(&ticket.prefix) as u64;
        ticket.work.prefill.min(chunks * CHUNK_TOKENS)
    }

    fn quote(&self, ticket: &Ticket) -> Quote {
        let free = Duration::from_micros(1);
        Quote {
            start: match self.has_room_for(ticket) {
                true => Duration::ZERO,
                false => self.wait_for(ticket).max(free),
            },
            cached: ticket.work.cached,
            saving: self.pace.prefill_time(ticket.work.cached),
        }
    }

    /// The expected time until a ticket would be granted.
    fn wait_for(&self, ticket: &Ticket) -> Duration {
        let weight = self.weight(&ticket.organisation);
        let ahead = self
            .queue
            .cost_ahead(ticket.order, &ticket.organisation, weight);
        let next_slot = match self.has_room_for(ticket) {
            true => Duration::ZERO,
            false => self.pace.mean_time() / self.slots_divisor(),
        };
        next_slot + self.drain_time(ahead)
    }

    /// The expected time until waiting work of this cost has left the queue.
    fn drain_time(&self, cost: u64) -> Duration {
        let here = Duration::from_micros(cost).mul_f64(self.served_part);
        here / self.slots_divisor()
    }

    fn slots_divisor(&self) -> u32 {
        u32::try_from(self.config.slots).unwrap_or(u32::MAX).max(1)
    }

    /// The cost of a ticket: the expected time in one of the slots, in
    /// microseconds. While that is unknown, its tokens stand in for it.
    fn cost(&self, ticket: &Ticket) -> u64 {
        match self.pace.is_known() {
            true => micros(self.pace.service_time(ticket.work)).max(1),
            false => ticket.work.cost(),
        }
    }

    fn in_flight(&self) -> usize {
        self.grants.len() + self.running.len()
    }

    /// Whether `ticket` may be granted now. Tiers below the highest leave
    /// room free for it: slots, and time until its prompt is processed.
    fn has_room_for(&self, ticket: &Ticket) -> bool {
        let slots = self.config.slots;
        if ticket.order <= self.config.top_order {
            return self.in_flight() < slots;
        }
        let kept = slots / HEADROOM_PART;
        self.in_flight() < slots - kept && self.prefill_fits(ticket)
    }

    /// Whether the prompts in flight, with that of `ticket`, leave an urgent
    /// request enough of its deadline.
    fn prefill_fits(&self, ticket: &Ticket) -> bool {
        let granted = self.grants.values().map(|g| &g.ticket);
        let running = self.running.values().filter(|r| !r.answering);
        let ahead = granted.chain(running.map(|r| &r.ticket));
        let tokens: u64 = ahead.map(|t| t.work.uncached()).sum();
        if tokens == 0 {
            return true;
        }
        let time = self.pace.prefill_time(tokens + ticket.work.uncached());
        time <= self.config.top_deadline / PREFILL_PART
    }

    fn grant(&mut self, now: Moment) -> Vec<Notice> {
        let mut notices = Vec::new();
        while let Some((ticket, cost)) = self.pop_if_room() {
            let request = ticket.request;
            if now + self.pace.service_time(ticket.work) > ticket.deadline {
                self.return_charge(&ticket, cost);
                let refusal = self.refuse(RefusalCode::Late);
                notices.push(Notice::HandedBack(request, refusal));
                continue;
            }
            self.last_grant += 1;
            let id = GrantId(self.last_grant);
            let valid = self.config.grant_valid;
            let expires = now + valid;
            let granted = Granted {
                id,
                expires,
                ticket,
                cost,
            };
            self.grants.insert(request, granted);
            notices.push(Notice::Granted(request, Grant { id, valid }));
        }
        notices
    }

    /// Takes back a grant that was not accepted, if there is one.
    fn take_back(&mut self, request: RequestId) -> bool {
        let Some(granted) = self.grants.remove(&request) else {
            return false;
        };
        self.return_charge(&granted.ticket, granted.cost);
        true
    }

    /// Returns what an organisation was charged for work that did not run.
    fn return_charge(&mut self, ticket: &Ticket, cost: u64) {
        self.queue
            .correct(ticket.order, &ticket.organisation, cost, 0);
    }

    fn pop_if_room(&mut self) -> Option<(Ticket, u64)> {
        let next = self.queue.get(self.queue.peek()?)?;
        match self.has_room_for(next) {
            true => self.queue.pop(),
            false => None,
        }
    }

    fn refused(&self, code: RefusalCode) -> Offered {
        Offered::Refused(self.refuse(code))
    }

    fn refuse(&self, code: RefusalCode) -> Refusal {
        let backlog = self.drain_time(self.queue.cost());
        Refusal::new(code, backlog.max(RETRY_FLOOR))
    }

    fn weight(&self, organisation: &Name) -> u32 {
        self.config.weights.get(organisation).copied().unwrap_or(1)
    }

    fn forget(&mut self, now: Moment) {
        while let Some(&(at, request)) = self.ended.front() {
            if now.since(at) < FATE_KEPT {
                break;
            }
            self.ended.pop_front();
            self.finished.remove(&request);
        }
    }
}

fn cache_chunks(config: &DeskConfig) -> usize {
    usize::try_from(config.cache_tokens / CHUNK_TOKENS).unwrap_or(usize::MAX)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
