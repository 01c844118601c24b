//! Priority queue of waiting tickets.
//!
//! Tickets whose objective passes while they wait are served after the others, and
//! higher tiers before lower ones. Within a tier, callers that come back after a
//! refusal, past their objective, are served after those whose objective can still
//! be met. Organisations within a tier are served by
//! start-time fair queueing over the cost of their work, and tickets within an
//! organisation by earliest deadline. The operations on one ticket take time
//! logarithmic in the number of waiting tickets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::ids::RequestId;
use crate::name::Name;
use crate::ticket::Rank;
use crate::ticket::Ticket;

#[cfg(test)]
mod tests;

/// Units of virtual time for one unit of cost at weight 1.
const VIRTUAL_SCALE: u64 = 1 << 10;

/// The result of pushing a ticket.
#[derive(Debug)]
pub enum PushResult {
    /// The ticket is queued.
    Queued,
    /// The ticket is queued, and this ticket of a lower tier was evicted for it.
    Evicted(Box<Ticket>),
    /// The queue is full of tickets of the same or a higher tier.
    Full,
    /// The queue already holds a ticket of this request.
    Duplicate,
}

/// A bounded queue of waiting tickets.
///
/// Invariants: `tickets` and the queues of the tiers hold the same requests; an
/// organisation is in `ready` of a tier, under its current start tag, exactly
/// while it has tickets waiting in that tier.
pub struct Queue {
    capacity: usize,
    tickets: HashMap<RequestId, QueuedTicket>,
    tiers: BTreeMap<Rank, TierQueue>,
    /// All tickets by their wait deadline, to expire them.
    by_wait_deadline: BTreeSet<(Timestamp, RequestId)>,
    /// The tickets that are not delayed, by objective, to demote them.
    by_objective: BTreeSet<(Timestamp, RequestId)>,
}

struct QueuedTicket {
    ticket: Ticket,
    queued_at: Timestamp,
    weight: u32,
    /// The expected cost, in the unit of the caller of [`Queue::push`].
    cost: u64,
}

#[derive(Default)]
struct TierQueue {
    organisations: HashMap<Name, OrganisationQueue>,
    /// The organisations with waiting tickets, by start tag.
    ready: BTreeSet<(u64, Name)>,
    /// The highest start tag of a served ticket; never decreases.
    virtual_time: u64,
    /// The total cost of the waiting tickets.
    cost: u64,
    /// The total weight of the organisations that have tickets waiting.
    weight: u64,
    count: usize,
    /// All tickets of the tier by deadline, to choose which to evict.
    by_deadline: BTreeSet<(Timestamp, RequestId)>,
    /// All tickets of the tier by the time when they were queued.
    by_arrival: BTreeSet<(Timestamp, RequestId)>,
}

#[derive(Default)]
struct OrganisationQueue {
    /// The virtual time at which the next ticket of the organisation starts.
    start_tag: u64,
    weight: u32,
    /// The total cost of the waiting tickets.
    cost: u64,
    /// The waiting tickets by deadline.
    waiting: BTreeSet<(Timestamp, RequestId)>,
    /// The waiting tickets by the time when they were queued.
    by_arrival: BTreeSet<(Timestamp, RequestId)>,
}

impl Queue {
    /// Creates a queue of at most `capacity` tickets.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tickets: HashMap::new(),
            tiers: BTreeMap::new(),
            by_wait_deadline: BTreeSet::new(),
            by_objective: BTreeSet::new(),
        }
    }

    /// Changes the capacity. Queued tickets stay, even beyond the new capacity.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of waiting tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket is waiting.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the number of waiting tickets of the tier of this rank.
    pub fn tier_len(&self, rank: Rank) -> usize {
        self.tiers.get(&rank).map_or(0, |t| t.count)
    }

    /// Returns the total cost of the waiting tickets.
    pub fn cost(&self) -> u64 {
        self.tiers.values().map(|t| t.cost).sum()
    }

    /// Returns the cost of the work that is served before a new ticket of this
    /// tier, organisation and weight: all work of the higher tiers, and in its own
    /// tier the work of its organisation plus the work of the others that fair
    /// queueing serves meanwhile.
    pub fn cost_ahead(&self, rank: Rank, organisation: &Name, weight: u32) -> u64 {
        let higher: u64 = self.tiers.range(..rank).map(|(_, t)| t.cost).sum();
        let tier = self.tiers.get(&rank);
        higher + tier.map_or(0, |t| t.cost_ahead(organisation, weight))
    }

    /// Returns the number of waiting tickets of this rank and of higher ones.
    pub fn count_ahead(&self, rank: Rank) -> usize {
        self.tiers.range(..=rank).map(|(_, t)| t.count).sum()
    }

    /// Replaces the expected cost that an organisation was charged with the actual
    /// cost.
    pub fn adjust_charge(&mut self, rank: Rank, organisation: &Name, expected: u64, actual: u64) {
        if let Some(tier) = self.tiers.get_mut(&rank) {
            tier.adjust_charge(organisation, expected, actual);
        }
    }

    /// Returns whether a ticket of `request` is waiting.
    pub fn contains(&self, request: RequestId) -> bool {
        self.tickets.contains_key(&request)
    }

    /// Adds a ticket of this weight and cost. If the queue is full, the ticket
    /// with the latest deadline in the lowest tier is evicted, provided that this
    /// tier is lower than that of the new ticket.
    pub fn push(&mut self, now: Timestamp, ticket: Ticket, weight: u32, cost: u64) -> PushResult {
        if self.contains(ticket.request) {
            return PushResult::Duplicate;
        }
        let queued = QueuedTicket {
            ticket,
            queued_at: now,
            weight: weight.max(1),
            cost,
        };
        if self.len() < self.capacity {
            self.insert(queued);
            return PushResult::Queued;
        }
        let rank = queued.ticket.rank;
        match self
            .eviction_candidate()
            .filter(|(victim_rank, _)| *victim_rank > rank)
        {
            None => PushResult::Full,
            Some((_, victim)) => {
                let evicted = self.remove(victim);
                self.insert(queued);
                evicted.map_or(PushResult::Queued, |t| PushResult::Evicted(Box::new(t)))
            }
        }
    }

    /// Removes the next ticket to serve and charges its organisation for its cost.
    /// Returns the ticket and its cost.
    pub fn pop(&mut self) -> Option<(Ticket, u64)> {
        let request = self.peek()?;
        let queued = self.tickets.get(&request)?;
        let (cost, weight) = (queued.cost, queued.weight);
        let ticket = self.remove(request)?;
        let tier = self.tiers.get_mut(&ticket.rank)?;
        tier.charge(&ticket.organisation, virtual_cost(cost, weight));
        Some((ticket, cost))
    }

    /// Returns the next request to serve.
    pub fn peek(&self) -> Option<RequestId> {
        let tier = self.tiers.values().find(|t| t.count > 0)?;
        let (_, name) = tier.ready.first()?;
        let (_, request) = tier.organisations.get(name)?.waiting.first()?;
        Some(*request)
    }

    /// Returns the waiting ticket of `request`.
    pub fn get(&self, request: RequestId) -> Option<&Ticket> {
        self.tickets.get(&request).map(|q| &q.ticket)
    }

    /// Removes the ticket of `request`.
    pub fn remove(&mut self, request: RequestId) -> Option<Ticket> {
        let queued = self.tickets.remove(&request)?;
        self.by_wait_deadline
            .remove(&(queued.ticket.wait_deadline, request));
        self.by_objective
            .remove(&(queued.ticket.objective, request));
        if let Some(tier) = self.tiers.get_mut(&queued.ticket.rank) {
            tier.remove(&queued);
        }
        Some(queued.ticket)
    }

    /// Removes and returns every ticket whose wait deadline has passed by `now`.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut expired = Vec::new();
        while let Some(&(wait_deadline, request)) = self.by_wait_deadline.first() {
            if wait_deadline > now {
                break;
            }
            expired.extend(self.remove(request));
        }
        expired
    }

    /// Moves every ticket whose objective has passed by `now` behind all tickets
    /// whose objective has not.
    pub fn demote_delayed(&mut self, now: Timestamp) {
        while let Some(&(objective, request)) = self.by_objective.first() {
            if objective > now {
                break;
            }
            self.by_objective.pop_first();
            let Some(queued) = self.tickets.remove(&request) else {
                continue;
            };
            if let Some(tier) = self.tiers.get_mut(&queued.ticket.rank) {
                tier.remove(&queued);
            }
            let mut queued = queued;
            queued.ticket.rank.delayed = true;
            self.insert(queued);
        }
    }

    /// Removes and returns every ticket.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let requests: Vec<RequestId> = self.by_wait_deadline.iter().map(|(_, r)| *r).collect();
        requests
            .into_iter()
            .filter_map(|request| self.remove(request))
            .collect()
    }

    /// Returns by how much the start tag of an organisation exceeds the virtual
    /// time of the tier.
    #[cfg(test)]
    pub fn charged(&self, rank: Rank, organisation: &Name) -> u64 {
        let Some(tier) = self.tiers.get(&rank) else {
            return 0;
        };
        let queue = tier.organisations.get(organisation);
        queue.map_or(0, |q| q.start_tag.saturating_sub(tier.virtual_time))
    }

    /// Returns when the oldest ticket ahead of a new one was queued, among the
    /// tickets of higher tiers and those of its own organisation in its tier.
    pub fn oldest_ahead(&self, rank: Rank, organisation: &Name) -> Option<Timestamp> {
        let higher = self.tiers.range(..rank);
        let higher = higher.filter_map(|(_, t)| t.by_arrival.first());
        let tier = self.tiers.get(&rank);
        let own = tier.and_then(|t| t.organisations.get(organisation));
        let own = own.and_then(|o| o.by_arrival.first());
        higher.chain(own).map(|(queued_at, _)| *queued_at).min()
    }

    /// Returns the earliest wait deadline of a waiting ticket.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.by_wait_deadline
            .first()
            .map(|(wait_deadline, _)| *wait_deadline)
    }

    fn eviction_candidate(&self) -> Option<(Rank, RequestId)> {
        let (rank, tier) = self.tiers.iter().rev().find(|(_, t)| t.count > 0)?;
        let (_, request) = tier.by_deadline.last()?;
        Some((*rank, *request))
    }

    fn insert(&mut self, queued: QueuedTicket) {
        let request = queued.ticket.request;
        self.by_wait_deadline
            .insert((queued.ticket.wait_deadline, request));
        let rank = queued.ticket.rank;
        if !rank.delayed && !rank.overdue {
            self.by_objective.insert((queued.ticket.objective, request));
        }
        let tier = self.tiers.entry(queued.ticket.rank).or_default();
        tier.insert(&queued);
        self.tickets.insert(request, queued);
    }
}

impl TierQueue {
    fn insert(&mut self, queued: &QueuedTicket) {
        let ticket = &queued.ticket;
        let name = &ticket.organisation;
        let queue = self.organisations.entry(name.clone()).or_default();
        if queue.waiting.is_empty() {
            // An idle organisation accumulates no credit.
            queue.start_tag = queue.start_tag.max(self.virtual_time);
            queue.weight = queued.weight;
            self.weight += u64::from(queued.weight);
            self.ready.insert((queue.start_tag, name.clone()));
        }
        queue.waiting.insert((ticket.deadline, ticket.request));
        queue.by_arrival.insert((queued.queued_at, ticket.request));
        queue.cost += queued.cost;
        self.by_deadline.insert((ticket.deadline, ticket.request));
        self.by_arrival.insert((queued.queued_at, ticket.request));
        self.cost += queued.cost;
        self.count += 1;
    }

    fn remove(&mut self, queued: &QueuedTicket) {
        let ticket = &queued.ticket;
        let name = &ticket.organisation;
        let Some(queue) = self.organisations.get_mut(name) else {
            return;
        };
        queue.waiting.remove(&(ticket.deadline, ticket.request));
        queue.by_arrival.remove(&(queued.queued_at, ticket.request));
        queue.cost -= queued.cost;
        self.by_deadline.remove(&(ticket.deadline, ticket.request));
        self.by_arrival.remove(&(queued.queued_at, ticket.request));
        self.cost -= queued.cost;
        self.count -= 1;
        if queue.waiting.is_empty() {
            self.weight -= u64::from(queue.weight);
            self.ready.remove(&(queue.start_tag, name.clone()));
        }
    }

    fn cost_ahead(&self, organisation: &Name, weight: u32) -> u64 {
        let queue = self.organisations.get(organisation);
        let (own, others) = match queue.filter(|q| !q.waiting.is_empty()) {
            Some(queue) => (queue.cost, self.weight - u64::from(queue.weight)),
            None => (0, self.weight),
        };
        // While the work of this organisation is served, the others are served
        // in proportion to their weights.
        let others_served = own.saturating_mul(others) / u64::from(weight.max(1));
        own + others_served.min(self.cost - own)
    }

    fn adjust_charge(&mut self, name: &Name, expected: u64, actual: u64) {
        let Some(queue) = self.organisations.get_mut(name) else {
            return;
        };
        let is_waiting = !queue.waiting.is_empty();
        if is_waiting {
            self.ready.remove(&(queue.start_tag, name.clone()));
        }
        let charged = queue
            .start_tag
            .saturating_add(virtual_cost(actual, queue.weight));
        queue.start_tag = charged.saturating_sub(virtual_cost(expected, queue.weight));
        if is_waiting {
            self.ready.insert((queue.start_tag, name.clone()));
        }
    }

    /// Charges an organisation for served work and advances the virtual time.
    fn charge(&mut self, name: &Name, virtual_cost: u64) {
        let Some(queue) = self.organisations.get_mut(name) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        self.ready.remove(&(queue.start_tag, name.clone()));
        queue.start_tag = queue.start_tag.saturating_add(virtual_cost);
        if !queue.waiting.is_empty() {
            self.ready.insert((queue.start_tag, name.clone()));
        }
        if self.count == 0 {
            self.drop_caught_up();
        }
    }

    /// Drops the organisations whose start tag does not exceed the virtual time.
    /// Called when no ticket waits in the tier: their state then has no effect.
    fn drop_caught_up(&mut self) {
        let virtual_time = self.virtual_time;
        self.organisations
            .retain(|_, queue| queue.start_tag > virtual_time);
    }
}

/// Returns the virtual time of work of this cost at this weight.
fn virtual_cost(cost: u64, weight: u32) -> u64 {
    cost.saturating_mul(VIRTUAL_SCALE) / u64::from(weight.max(1))
}
