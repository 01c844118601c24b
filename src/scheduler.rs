//! The decisions about one upstream: who waits, and who gets the next room.
//!
//! An agent has a scheduler for the upstream beside it. An entry has one for each
//! upstream without an agent that it can reach. A scheduler does no I/O. It takes
//! the time as an argument and returns what has to be told to whom.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::name::Name;
use crate::pace::Pace;
use crate::prefix::CHUNK_TOKENS;
use crate::prefix::PrefixIndex;
use crate::progress::Generated;
use crate::queue::PushResult;
use crate::queue::Queue;
use crate::ticket::Grant;
use crate::ticket::Offered;
use crate::ticket::Quote;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::Withdrawal;
use crate::ticket::Work;
use crate::tier_load::TierLoad;

mod config;
#[cfg(test)]
mod tests;

pub use config::SchedulerConfig;

/// The shortest time after which coming back is suggested.
const RETRY_FLOOR: Duration = Duration::from_millis(100);

/// The weight of one ticket in the part that is served here: the mean is over
/// some twenty tickets, a fraction of a second of a busy upstream.
const SERVED_GAIN: f64 = 0.05;

/// Prompts that a granted ticket may find in front of it, as the time to
/// process them: a small part of common objectives. What waits longer waits
/// at the scheduler, where the next engine with room takes it.
const PREFILL_AHEAD: Duration = Duration::from_millis(200);

/// One slot in so many is kept from tickets past their objective.
const DELAYED_KEPT: usize = 3;

/// The least part of an upstream that is believed to be left to a tier.
const LEAST_LEFT: f64 = 0.05;

/// Something that has to be told to the entry of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The upstream has room for the request.
    Granted(RequestId, Grant),
    /// The ticket is no longer here; its grant, if any, has lapsed.
    HandedBack(RequestId, Refusal),
}

/// The state of one upstream.
///
/// Invariants: a request is in at most one of the queue, `grants` and
/// `running`; `grants` and `running` together exceed the slots only after the
/// slots were lowered; a request enters `running` only from a live grant.
pub struct Scheduler {
    config: SchedulerConfig,
    queue: Queue,
    grants: HashMap<RequestId, Granted>,
    running: HashMap<RequestId, Running>,
    /// Requests that the upstream reports beyond those known here.
    unknown: usize,
    pace: Pace,
    prefixes: PrefixIndex,
    /// The part of the served tickets that was served here. The others were
    /// served by another upstream that held a ticket too.
    served_part: f64,
    /// What each tier takes of the upstream.
    tier_load: TierLoad,
    last_grant: u64,
    draining: bool,
}

struct Granted {
    id: GrantId,
    expires: Timestamp,
    ticket: Ticket,
    /// The cost for which the organisation was charged.
    cost: u64,
}

struct Running {
    ticket: Ticket,
    since: Timestamp,
    /// The cost for which the organisation was charged.
    cost: u64,
    /// Prompt tokens that were in front of the answer at its dispatch, its
    /// own included.
    tokens_ahead: u64,
    /// When the upstream began to answer.
    answering: Option<Timestamp>,
}

impl Scheduler {
    /// An idle scheduler.
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            queue: Queue::new(config.tickets),
            prefixes: PrefixIndex::new(config.cache_chunks()),
            config,
            grants: HashMap::new(),
            running: HashMap::new(),
            unknown: 0,
            pace: Pace::new(),
            served_part: 1.0,
            tier_load: TierLoad::new(),
            last_grant: 0,
            draining: false,
        }
    }

    /// Puts new bounds in force. Work that is already in flight stays.
    pub fn set_config(&mut self, config: SchedulerConfig) {
        self.queue.set_capacity(config.tickets);
        if config.cache_chunks() != self.config.cache_chunks() {
            self.prefixes = PrefixIndex::new(config.cache_chunks());
        }
        self.config = config;
    }

    /// Takes in a ticket, or refuses it. Also returns what the ticket changed
    /// for others.
    pub fn offer(&mut self, now: Timestamp, mut ticket: Ticket) -> (Offered, Vec<Notice>) {
        ticket.work.cached = self.cached_tokens(&ticket);
        if let Some(refusal) = self.refusal(now, &ticket) {
            return (Offered::Refused(refusal), Vec::new());
        }
        let request = ticket.request;
        let quote = self.quote(now, &ticket);
        let weight = self.weight(&ticket.organisation);
        let cost = self.cost(&ticket);
        let mut notices = Vec::new();
        match self.queue.push(now, ticket, weight, cost) {
            PushResult::Queued => {}
            PushResult::Evicted(victim) => notices.push(Notice::HandedBack(
                victim.request,
                self.refuse(RefusalCode::Evicted),
            )),
            PushResult::Full => return (self.refused(RefusalCode::Overloaded), notices),
            PushResult::Duplicate => return (self.refused(RefusalCode::Duplicate), notices),
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

    /// Notes that a grant was accepted and its request sent. False if the
    /// grant has lapsed; the request is then known only by the report.
    pub fn mark_sent(&mut self, now: Timestamp, request: RequestId, id: GrantId) -> bool {
        let live = self.grants.get(&request).is_some_and(|g| g.id == id);
        if !live {
            return false;
        }
        let tokens_ahead = self.prefill_in_flight();
        let Some(granted) = self.grants.remove(&request) else {
            return false;
        };
        self.served_part += SERVED_GAIN * (1.0 - self.served_part);
        self.tier_load
            .record(now, granted.ticket.order, granted.cost);
        self.prefixes.touch(&granted.ticket.prefix);
        let running = Running {
            ticket: granted.ticket,
            since: now,
            cost: granted.cost,
            tokens_ahead,
            answering: None,
        };
        self.running.insert(request, running);
        true
    }

    /// Takes back a ticket or a grant that was not accepted.
    pub fn withdraw(&mut self, now: Timestamp, request: RequestId, why: Withdrawal) -> Vec<Notice> {
        let waited = self.queue.remove(request).is_some();
        let granted = self.take_back(request);
        if why == Withdrawal::SentElsewhere && (waited || granted) {
            self.served_part -= SERVED_GAIN * self.served_part;
        }
        self.grant(now)
    }

    /// Notes that the upstream has begun to answer: the prompt is processed.
    pub fn mark_answering(&mut self, now: Timestamp, request: RequestId) -> Vec<Notice> {
        if let Some(running) = self.running.get_mut(&request)
            && running.answering.is_none()
        {
            running.answering = Some(now);
            let took = now.since(running.since);
            if running.tokens_ahead > 0 {
                self.pace
                    .record_answer_start(now, running.tokens_ahead, took);
            }
        }
        self.grant(now)
    }

    /// Notes the end of a request and what it really took; absent where it
    /// ended without a whole answer.
    pub fn finish(
        &mut self,
        now: Timestamp,
        request: RequestId,
        work: Option<Work>,
    ) -> Vec<Notice> {
        if let Some(running) = self.running.remove(&request) {
            let took = now.since(running.since);
            let ticket = running.ticket;
            if let Some(work) = work {
                let generating = now.since(running.answering.unwrap_or(running.since));
                self.pace.record_finish(now, work.output, generating, took);
            }
            self.queue.adjust_charge(
                ticket.order,
                &ticket.organisation,
                running.cost,
                micros(took),
            );
        }
        self.grant(now)
    }

    /// Takes in the upstream's own report of the requests that it holds.
    pub fn set_held(&mut self, now: Timestamp, held: usize) -> Vec<Notice> {
        self.unknown = held.saturating_sub(self.grants.len() + self.running.len());
        self.grant(now)
    }

    /// Takes in what the upstream has generated since its last report.
    pub fn record_generated(&mut self, now: Timestamp, generated: Generated) {
        self.pace
            .record_generated(now, generated.tokens, generated.took);
    }

    /// Hands back what has waited too long, takes back grants that lapsed,
    /// and grants the room that this leaves.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Notice> {
        self.queue.delay(now);
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
    pub fn next_tick(&self) -> Option<Timestamp> {
        let grants = self.grants.values().map(|g| g.expires).min();
        grants.into_iter().chain(self.queue.next_expiry()).min()
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

    /// Whether the scheduler takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The number of waiting tickets.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of requests that were sent and have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The most requests in flight.
    pub fn slots(&self) -> usize {
        self.config.slots
    }

    /// The expected work of a request that is running.
    pub fn expected(&self, request: RequestId) -> Option<Work> {
        self.running.get(&request).map(|r| r.ticket.work)
    }

    /// The measured pace of the upstream.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    fn refusal(&self, now: Timestamp, ticket: &Ticket) -> Option<Refusal> {
        let request = ticket.request;
        if self.draining {
            return Some(self.refuse(RefusalCode::Draining));
        }
        if self.running.contains_key(&request) || self.grants.contains_key(&request) {
            return Some(self.refuse(RefusalCode::Duplicate));
        }
        if now + self.pace.service_time(ticket.work) > ticket.deadline {
            return Some(self.refuse(RefusalCode::Late));
        }
        None
    }

    fn cached_tokens(&self, ticket: &Ticket) -> u64 {
        let chunks = self.prefixes.matched(&ticket.prefix) as u64;
        ticket.work.prefill.min(chunks * CHUNK_TOKENS)
    }

    fn quote(&self, now: Timestamp, ticket: &Ticket) -> Quote {
        let ahead = self.pace.prefill_time(self.prefill_in_flight());
        Quote {
            start: match self.has_room_for(ticket) {
                true => Duration::ZERO,
                false => self.wait_for(now, ticket),
            },
            cached: ticket.work.cached,
            saving: self.pace.prefill_time(ticket.work.cached),
            begin: ahead + self.pace.answer_start_time(ticket.work.uncached()),
            end: ahead + self.pace.service_time(ticket.work),
        }
    }

    /// The expected time until a ticket would be granted: by the work in front
    /// of it, and no less than the oldest in front of it has waited so far.
    /// The latter shows what the former can't, as higher tiers keep coming.
    fn wait_for(&self, now: Timestamp, ticket: &Ticket) -> Duration {
        let weight = self.weight(&ticket.organisation);
        let ahead = self
            .queue
            .cost_ahead(ticket.order, &ticket.organisation, weight);
        let next_slot = self.pace.mean_time() / self.slots_divisor();
        let oldest = self.queue.oldest(ticket.order, &ticket.organisation);
        let waited = oldest.map_or(Duration::ZERO, |since| now.since(since));
        let slots = self.config.slots as f64;
        let left = 1.0 - self.tier_load.slots_above(now, ticket.order) / slots;
        let expected = (next_slot + self.drain_time(ahead)).div_f64(left.max(LEAST_LEFT));
        waited.max(expected)
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
        self.grants.len() + self.running.len() + self.unknown
    }

    /// Prompt tokens granted or sent of which the answer has not begun.
    fn prefill_in_flight(&self) -> u64 {
        let granted = self.grants.values().map(|g| &g.ticket);
        let running = self.running.values().filter(|r| r.answering.is_none());
        let ahead = granted.chain(running.map(|r| &r.ticket));
        ahead.map(|t| t.work.uncached()).sum()
    }

    /// Whether `ticket` may be granted now: there is a slot, and the prompts
    /// in front of it take little time. An engine processes prompts in the
    /// order of arrival, so several long ones don't meet on one engine.
    fn has_room_for(&self, ticket: &Ticket) -> bool {
        let slots = match Queue::is_delayed(ticket) {
            true => self.config.slots - self.config.slots / DELAYED_KEPT,
            false => self.config.slots,
        };
        if self.in_flight() >= slots {
            return false;
        }
        let ahead = self.pace.prefill_time(self.prefill_in_flight());
        ahead <= PREFILL_AHEAD
    }

    fn grant(&mut self, now: Timestamp) -> Vec<Notice> {
        let mut notices = Vec::new();
        self.queue.delay(now);
        while let Some((ticket, cost)) = self.pop_if_room() {
            let request = ticket.request;
            if now + self.pace.service_time(ticket.work) > ticket.deadline {
                self.return_charge(&ticket, cost);
                let refusal = self.refuse(RefusalCode::Late);
                notices.push(Notice::HandedBack(request, refusal));
                continue;
            }
            self.last_grant += 1;
            let grant = Grant {
                id: GrantId(self.last_grant),
                valid: self.config.grant_valid,
                quote: self.quote(now, &ticket),
            };
            let granted = Granted {
                id: grant.id,
                expires: now + grant.valid,
                ticket,
                cost,
            };
            self.grants.insert(request, granted);
            notices.push(Notice::Granted(request, grant));
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
            .adjust_charge(ticket.order, &ticket.organisation, cost, 0);
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
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
