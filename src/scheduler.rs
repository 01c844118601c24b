//! Scheduling for one upstream: which tickets wait and which is granted next.
//!
//! An upstream is a model engine or another HTTP service, an entry accepts the
//! requests of callers and sends them to upstreams, and an agent schedules all
//! requests to the upstream on its host. An agent runs the scheduler of its
//! upstream. An entry runs a local scheduler for each upstream that has no
//! agent or whose agent the entry can't reach. A scheduler does no I/O: it
//! takes the time as an argument and returns the notices to deliver.

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
use crate::ticket::OfferResult;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::ticket::Work;
use crate::tier_load::TierLoad;

mod config;
mod draining;
mod memory;
mod prefill_pacing;
mod quotes;
mod rate_gate;
#[cfg(test)]
mod tests;

pub use config::SchedulerConfig;
pub use config::StreamPauses;
use memory::EngineMemory;
pub use memory::ReportedMemory;
use prefill_pacing::PrefillPacing;
use rate_gate::RateGate;

/// The shortest retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The gain of the moving average in `served_share`. It averages over about 20
/// tickets, a fraction of a second for a busy upstream.
const SERVED_SHARE_GAIN: f64 = 0.05;

/// The longest prefill backlog of an upstream at which a ticket is granted. It
/// is a small fraction of common objectives. While the backlog is longer,
/// tickets stay queued, so that another upstream can take them.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(200);

/// One in this many slots is never granted to tickets past their objective.
const DELAYED_RESERVE_DIVISOR: usize = 3;

/// A message to deliver to the entry of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The ticket is granted.
    Granted(RequestId, Grant),
    /// The ticket was removed from the scheduler. A grant of it is no longer valid.
    Returned(RequestId, Refusal),
}

/// The scheduling state of one upstream.
///
/// Invariants: a request is in at most one of the queue, `grants` and
/// `running`; `grants` and `running` together exceed the slots only after the
/// number of slots was lowered; a request enters `running` only from a valid
/// grant.
pub struct Scheduler {
    config: SchedulerConfig,
    queue: Queue,
    grants: HashMap<RequestId, OutstandingGrant>,
    running: HashMap<RequestId, RunningRequest>,
    /// The number of requests that the upstream reports in excess of those in
    /// `grants` and `running`.
    unknown_requests: usize,
    /// The memory of the upstream as it reports it.
    memory: EngineMemory,
    pace: Pace,
    prefix_index: PrefixIndex,
    /// The moving average of the share of tickets that were served by this
    /// upstream. The others were served by another upstream that also had a
    /// ticket of the request.
    served_share: f64,
    /// The recent load of each tier, from the cost of the sent requests.
    tier_load: TierLoad,
    /// The rate limit that the upstream names.
    rate_gate: RateGate,
    prefill_pacing: PrefillPacing,
    /// Whether the first ticket waits only until the next group of prompts.
    waits_for_prompt_group: bool,
    last_grant_id: u64,
    draining: bool,
}

struct OutstandingGrant {
    id: GrantId,
    expires: Timestamp,
    ticket: Ticket,
    /// The cost for which the organisation was charged, see
    /// [`Scheduler::ticket_cost`].
    cost: u64,
    /// The expected time to process the prompt.
    prefill: Duration,
}

struct RunningRequest {
    ticket: Ticket,
    sent_at: Timestamp,
    /// The cost for which the organisation was charged, see
    /// [`Scheduler::ticket_cost`].
    cost: u64,
    /// The uncached prompt tokens that the upstream had to process before the
    /// answer when the request was sent, including its own.
    prefill_backlog: u64,
    /// When the upstream started to answer.
    answer_started: Option<Timestamp>,
}

impl Scheduler {
    /// Creates a scheduler without tickets.
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            queue: Queue::new(config.max_waiting),
            prefix_index: PrefixIndex::new(config.cache_chunks()),
            config,
            grants: HashMap::new(),
            running: HashMap::new(),
            unknown_requests: 0,
            memory: EngineMemory::default(),
            pace: Pace::new(),
            served_share: 1.0,
            tier_load: TierLoad::new(),
            rate_gate: RateGate::default(),
            prefill_pacing: PrefillPacing::default(),
            waits_for_prompt_group: false,
            last_grant_id: 0,
            draining: false,
        }
    }

    /// Replaces the parameters. Granted and sent requests are not affected.
    pub fn set_config(&mut self, config: SchedulerConfig) {
        self.queue.set_capacity(config.max_waiting);
        if config.cache_chunks() != self.config.cache_chunks() {
            self.prefix_index = PrefixIndex::new(config.cache_chunks());
        }
        self.config = config;
    }

    /// Queues, grants or refuses a ticket. Also returns the notices for other
    /// requests that result from it.
    pub fn offer(&mut self, now: Timestamp, mut ticket: Ticket) -> (OfferResult, Vec<Notice>) {
        self.rate_gate.observe(now, ticket.interval);
        ticket.work.cached = self.cached_tokens(&ticket);
        ticket.rank.overdue = ticket.objective <= now;
        if let Some(refusal) = self.refusal_for(now, &ticket) {
            return (OfferResult::Refused(refusal), Vec::new());
        }
        let request = ticket.request;
        let quote = self.quote(now, &ticket);
        let weight = self.weight(&ticket.organisation);
        let cost = self.ticket_cost(&ticket);
        let mut notices = Vec::new();
        match self.queue.push(now, ticket, weight, cost) {
            PushResult::Queued => {}
            PushResult::Evicted(victim) => notices.push(Notice::Returned(
                victim.request,
                self.refusal(RefusalCode::Evicted),
            )),
            PushResult::Full => return (self.refuse_offer(RefusalCode::Overloaded), notices),
            PushResult::Duplicate => return (self.refuse_offer(RefusalCode::Duplicate), notices),
        }
        let mut offered = OfferResult::Queued(quote);
        for notice in self.grant_waiting(now) {
            match notice {
                Notice::Granted(granted, grant) if granted == request => {
                    offered = OfferResult::Granted(grant);
                }
                other => notices.push(other),
            }
        }
        (offered, notices)
    }

    /// Records that a grant was accepted and its request sent. Returns false if
    /// the grant has expired or was withdrawn. The entry sends the request
    /// nonetheless, so it is then counted only through the reports of the
    /// upstream, see [`Scheduler::set_reported_requests`].
    pub fn mark_sent(&mut self, now: Timestamp, request: RequestId, id: GrantId) -> bool {
        self.rate_gate.record_sent(now);
        let is_live = self.grants.get(&request).is_some_and(|g| g.id == id);
        if !is_live {
            return false;
        }
        let prefill_backlog = self.unanswered_prefill();
        let Some(granted) = self.grants.remove(&request) else {
            return false;
        };
        self.served_share += SERVED_SHARE_GAIN * (1.0 - self.served_share);
        self.tier_load
            .record(now, granted.ticket.rank, granted.cost);
        self.prefix_index.touch(&granted.ticket.prefix);
        let running = RunningRequest {
            ticket: granted.ticket,
            sent_at: now,
            cost: granted.cost,
            prefill_backlog,
            answer_started: None,
        };
        self.running.insert(request, running);
        true
    }

    /// Withdraws a ticket or a grant that was not accepted.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        request: RequestId,
        reason: WithdrawReason,
    ) -> Vec<Notice> {
        let was_waiting = self.queue.remove(request).is_some();
        let was_granted = self.revoke_grant(request);
        if reason == WithdrawReason::SentElsewhere && (was_waiting || was_granted) {
            self.served_share -= SERVED_SHARE_GAIN * self.served_share;
        }
        self.grant_waiting(now)
    }

    /// Records that the upstream has started to answer, so the prompt is processed.
    pub fn mark_answering(&mut self, now: Timestamp, request: RequestId) -> Vec<Notice> {
        if let Some(running) = self.running.get_mut(&request)
            && running.answer_started.is_none()
        {
            running.answer_started = Some(now);
            let elapsed = now.since(running.sent_at);
            if running.prefill_backlog > 0 {
                self.pace
                    .record_answer_start(now, running.prefill_backlog, elapsed);
            }
        }
        if self.unanswered_prefill() == 0 {
            self.prefill_pacing.record_idle(now);
        }
        self.grant_waiting(now)
    }

    /// Records the end of a request and its actual work; `None` if it ended
    /// without a complete answer.
    pub fn finish(
        &mut self,
        now: Timestamp,
        request: RequestId,
        work: Option<Work>,
    ) -> Vec<Notice> {
        if let Some(running) = self.running.remove(&request) {
            let elapsed = now.since(running.sent_at);
            let ticket = running.ticket;
            self.memory.release(ticket.work);
            if let Some(work) = work {
                let generating = now.since(running.answer_started.unwrap_or(running.sent_at));
                self.pace
                    .record_finish(now, work.output, generating, elapsed);
            }
            self.queue.adjust_charge(
                ticket.rank,
                &ticket.organisation,
                running.cost,
                as_micros(elapsed),
            );
        }
        self.grant_waiting(now)
    }

    /// Records the number of requests that the upstream reports to hold.
    pub fn set_reported_requests(&mut self, now: Timestamp, reported: usize) -> Vec<Notice> {
        self.unknown_requests = reported.saturating_sub(self.grants.len() + self.running.len());
        self.grant_waiting(now)
    }

    /// Records the tokens generated by the upstream since its last report.
    pub fn record_generated(&mut self, now: Timestamp, generated: Generated) {
        self.pace
            .record_generated(now, generated.tokens, generated.request_time);
    }

    /// Removes the tickets past their wait deadline, revokes the expired grants,
    /// and grants the freed slots.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Notice> {
        self.queue.demote_delayed(now);
        let expired_tickets = self.queue.remove_expired(now);
        let refusal = self.refusal(RefusalCode::Expired);
        let mut notices: Vec<Notice> = expired_tickets
            .into_iter()
            .map(|t| Notice::Returned(t.request, refusal))
            .collect();
        let expired_grants: Vec<RequestId> = self
            .grants
            .iter()
            .filter(|(_, g)| g.expires <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in expired_grants {
            self.revoke_grant(request);
            notices.push(Notice::Returned(request, refusal));
        }
        notices.extend(self.grant_waiting(now));
        notices
    }

    /// Returns when [`Scheduler::tick`] next has to be called.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let grants = self.grants.values().map(|g| g.expires).min();
        let opens_at = self.rate_gate.opens_at(self.grants.len());
        let opens_at = opens_at.filter(|_| !self.queue.is_empty());
        let times = grants.into_iter().chain(self.queue.next_expiry());
        let next_group = self.next_prompt_group();
        let next_group = next_group.filter(|_| self.waits_for_prompt_group);
        times.chain(opens_at).chain(next_group).min()
    }

    /// Returns the number of waiting tickets.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that were sent and have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of slots: the maximum number of granted and sent
    /// requests.
    pub fn slots(&self) -> usize {
        self.config.slots
    }

    /// Returns the expected work of a running request.
    pub fn expected_work(&self, request: RequestId) -> Option<Work> {
        self.running.get(&request).map(|r| r.ticket.work)
    }

    /// Returns the measured pace of the upstream.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Returns why a new ticket must be refused, if it must.
    fn refusal_for(&self, now: Timestamp, ticket: &Ticket) -> Option<Refusal> {
        let request = ticket.request;
        if self.draining {
            return Some(self.refusal(RefusalCode::Draining));
        }
        if self.running.contains_key(&request) || self.grants.contains_key(&request) {
            return Some(self.refusal(RefusalCode::Duplicate));
        }
        if now + self.pace.service_time(ticket.work) > ticket.deadline {
            return Some(self.refusal(RefusalCode::Late));
        }
        None
    }

    /// Returns the prompt tokens of a ticket that are expected to be in the
    /// cache of the engine (an upstream that serves a model).
    fn cached_tokens(&self, ticket: &Ticket) -> u64 {
        let chunks = self.prefix_index.matching_chunks(&ticket.prefix) as u64;
        ticket.work.prefill.min(chunks * CHUNK_TOKENS)
    }

    /// Returns the cost of a ticket: its expected time in a slot in
    /// microseconds, or its cost in uncached prompt tokens while the pace of the
    /// upstream is unknown. Costs in the queue, of grants and of sent requests
    /// have the unit that applied when the ticket was queued; uses of a cost
    /// take it as microseconds.
    fn ticket_cost(&self, ticket: &Ticket) -> u64 {
        match self.pace.is_known() {
            true => as_micros(self.pace.service_time(ticket.work)).max(1),
            false => ticket.work.cost(),
        }
    }

    fn occupied_slots(&self) -> usize {
        self.grants.len() + self.running.len() + self.unknown_requests
    }

    /// Returns whether `ticket` can be granted now: there is a slot for it, and the rate
    /// limit of the upstream leaves room.
    fn has_room_for(&self, now: Timestamp, ticket: &Ticket) -> bool {
        self.has_slot_for(ticket) && self.rate_gate.is_open(now, self.grants.len())
    }

    /// Returns whether a slot and memory are free and the prefill backlog is short. An engine
    /// processes prompts in order of arrival, so the bound on the backlog keeps several
    /// long prompts off the same engine.
    fn has_slot_for(&self, ticket: &Ticket) -> bool {
        let slots = match ticket.rank.delayed {
            true => self.config.slots - self.config.slots / DELAYED_RESERVE_DIVISOR,
            false => self.config.slots,
        };
        if self.occupied_slots() >= slots {
            return false;
        }
        let prefill_delay = self.pace.prefill_time(self.unanswered_prefill());
        prefill_delay <= MAX_PREFILL_BACKLOG && self.missing_memory(ticket) == 0
    }

    /// Grants waiting tickets in order while there is room.
    fn grant_waiting(&mut self, now: Timestamp) -> Vec<Notice> {
        let mut notices = Vec::new();
        self.queue.demote_delayed(now);
        while let Some((ticket, cost)) = self.pop_if_room(now) {
            let request = ticket.request;
            if now + self.pace.service_time(ticket.work) > ticket.deadline {
                self.refund_charge(&ticket, cost);
                let refusal = self.refusal(RefusalCode::Late);
                notices.push(Notice::Returned(request, refusal));
                continue;
            }
            self.last_grant_id += 1;
            let prefill = self.pace.prefill_time(ticket.work.uncached());
            let is_processing = self.unanswered_prefill() > 0;
            self.prefill_pacing
                .record_grant(now, prefill, is_processing);
            let grant = Grant {
                id: GrantId(self.last_grant_id),
                valid_for: self.grant_valid(),
                quote: self.quote(now, &ticket),
            };
            let granted = OutstandingGrant {
                id: grant.id,
                expires: now + grant.valid_for,
                ticket,
                cost,
                prefill,
            };
            self.grants.insert(request, granted);
            notices.push(Notice::Granted(request, grant));
        }
        notices
    }

    /// Revokes a grant that was not accepted, if there is one.
    fn revoke_grant(&mut self, request: RequestId) -> bool {
        let Some(granted) = self.grants.remove(&request) else {
            return false;
        };
        self.prefill_pacing.record_revoked(granted.prefill);
        self.refund_charge(&granted.ticket, granted.cost);
        true
    }

    /// Refunds an organisation the charge for work that did not run.
    fn refund_charge(&mut self, ticket: &Ticket, cost: u64) {
        self.queue
            .adjust_charge(ticket.rank, &ticket.organisation, cost, 0);
    }

    fn pop_if_room(&mut self, now: Timestamp) -> Option<(Ticket, u64)> {
        self.waits_for_prompt_group = false;
        let next = self.queue.get(self.queue.peek()?)?;
        if !self.has_room_for(now, next) {
            return None;
        }
        self.waits_for_prompt_group = !self.spares_streams(now, next);
        match self.waits_for_prompt_group {
            true => None,
            false => self.queue.pop(),
        }
    }

    fn refuse_offer(&self, code: RefusalCode) -> OfferResult {
        OfferResult::Refused(self.refusal(code))
    }

    /// Creates a refusal with the expected time to work off the queue as its retry
    /// delay.
    fn refusal(&self, code: RefusalCode) -> Refusal {
        let backlog = self.backlog_time(self.queue.cost());
        Refusal::new(code, backlog.max(MIN_RETRY_AFTER))
    }

    fn weight(&self, organisation: &Name) -> u32 {
        self.config.weights.get(organisation).copied().unwrap_or(1)
    }
}

/// Converts a duration to microseconds, saturating at `u64::MAX`.
fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
