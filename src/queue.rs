//! The order in which waiting tickets are served.
//!
//! Tickets that can still begin within their objective go before those that
//! can't, and then the higher tier goes first. Within a tier organisations are served by
//! start-time fair queueing over the cost of their work, and within an
//! organisation the earliest deadline goes first. Every operation takes time
//! logarithmic in the number of waiting tickets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::ids::RequestId;
use crate::name::Name;
use crate::ticket::Ticket;

#[cfg(test)]
mod tests;

/// Virtual time units for one unit of cost at weight 1.
const VIRTUAL_SCALE: u64 = 1 << 10;

/// Added to the rank of a tier for tickets whose objective has passed.
const DELAYED: u8 = 128;

/// What became of a ticket that was pushed.
#[derive(Debug)]
pub enum PushResult {
    /// It waits.
    Queued,
    /// It waits, and this ticket of a lower tier was pushed out for it.
    Evicted(Box<Ticket>),
    /// The queue is full of tickets of the same or a higher tier.
    Full,
    /// A ticket of this request waits already.
    Duplicate,
}

/// Waiting tickets.
///
/// Invariants: `tickets` and the tiers' queues hold the same requests; an
/// organisation stands in `ready` of its tier exactly while it has tickets
/// waiting there, under its present virtual time.
pub struct Queue {
    capacity: usize,
    tickets: HashMap<RequestId, Waiting>,
    tiers: BTreeMap<u8, TierQueue>,
    /// All tickets by the end of their patience, to expire them.
    patience: BTreeSet<(Timestamp, RequestId)>,
    /// The tickets of undelayed tiers by objective, to delay them.
    objectives: BTreeSet<(Timestamp, RequestId)>,
}

struct Waiting {
    ticket: Ticket,
    since: Timestamp,
    weight: u32,
    cost: u64,
}

#[derive(Default)]
struct TierQueue {
    organisations: HashMap<Name, OrganisationQueue>,
    ready: BTreeSet<(u64, Name)>,
    /// The virtual time of the last ticket served; never falls.
    now: u64,
    /// The cost of all waiting tickets.
    cost: u64,
    /// The weights of the organisations that have tickets waiting.
    weight: u64,
    count: usize,
    /// Every ticket of the tier by deadline, to choose whom to evict.
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Every ticket of the tier by the moment since which it waits.
    arrivals: BTreeSet<(Timestamp, RequestId)>,
}

#[derive(Default)]
struct OrganisationQueue {
    /// The virtual time up to which the organisation has been served.
    served: u64,
    weight: u32,
    cost: u64,
    waiting: BTreeSet<(Timestamp, RequestId)>,
    /// The waiting tickets by the moment since which they wait.
    arrivals: BTreeSet<(Timestamp, RequestId)>,
}

impl Queue {
    /// A queue of at most `capacity` tickets.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tickets: HashMap::new(),
            tiers: BTreeMap::new(),
            patience: BTreeSet::new(),
            objectives: BTreeSet::new(),
        }
    }

    /// Changes the capacity; tickets that wait already stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The number of waiting tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// The number of tickets waiting in the tier of rank `order`.
    pub fn count_of(&self, order: u8) -> usize {
        self.tiers.get(&order).map_or(0, |t| t.count)
    }

    /// The cost of all waiting work.
    pub fn cost(&self) -> u64 {
        self.tiers.values().map(|t| t.cost).sum()
    }

    /// The cost of the waiting work that goes before a new ticket of this
    /// tier, organisation and weight: all of the higher tiers, and of its own
    /// tier what fair queueing lets pass while its organisation's own waiting
    /// work is served.
    pub fn cost_ahead(&self, order: u8, organisation: &Name, weight: u32) -> u64 {
        let higher: u64 = self.tiers.range(..order).map(|(_, t)| t.cost).sum();
        let tier = self.tiers.get(&order);
        higher + tier.map_or(0, |t| t.cost_ahead(organisation, weight))
    }

    /// Charges an organisation for cost beyond what was expected of its work,
    /// or returns what was not needed.
    pub fn adjust_charge(&mut self, order: u8, organisation: &Name, expected: u64, real: u64) {
        if let Some(tier) = self.tiers.get_mut(&order) {
            tier.adjust_charge(organisation, expected, real);
        }
    }

    /// Whether a ticket of `request` waits.
    pub fn contains(&self, request: RequestId) -> bool {
        self.tickets.contains_key(&request)
    }

    /// Adds a ticket of this weight and cost. When the queue is full, the ticket with the latest
    /// deadline in the lowest tier gives way, if that tier is lower.
    pub fn push(&mut self, now: Timestamp, ticket: Ticket, weight: u32, cost: u64) -> PushResult {
        if self.contains(ticket.request) {
            return PushResult::Duplicate;
        }
        let waiting = Waiting {
            ticket,
            since: now,
            weight: weight.max(1),
            cost,
        };
        if self.len() < self.capacity {
            self.insert(waiting);
            return PushResult::Queued;
        }
        let order = waiting.ticket.order;
        match self.lowest().filter(|(lowest, _)| *lowest > order) {
            None => PushResult::Full,
            Some((_, victim)) => {
                let evicted = self.remove(victim);
                self.insert(waiting);
                evicted.map_or(PushResult::Queued, |t| PushResult::Evicted(Box::new(t)))
            }
        }
    }

    /// Takes out the ticket that is to be served next and charges its
    /// organisation for its cost, which is given too.
    pub fn pop(&mut self) -> Option<(Ticket, u64)> {
        let request = self.peek()?;
        let waiting = self.tickets.get(&request)?;
        let (cost, weight) = (waiting.cost, waiting.weight);
        let ticket = self.remove(request)?;
        let tier = self.tiers.get_mut(&ticket.order)?;
        tier.advance(&ticket.organisation, step(cost, weight));
        Some((ticket, cost))
    }

    /// The request that is to be served next.
    pub fn peek(&self) -> Option<RequestId> {
        let tier = self.tiers.values().find(|t| t.count > 0)?;
        let (_, name) = tier.ready.first()?;
        let (_, request) = tier.organisations.get(name)?.waiting.first()?;
        Some(*request)
    }

    /// The waiting ticket of `request`.
    pub fn get(&self, request: RequestId) -> Option<&Ticket> {
        self.tickets.get(&request).map(|w| &w.ticket)
    }

    /// Takes out the ticket of `request`.
    pub fn remove(&mut self, request: RequestId) -> Option<Ticket> {
        let waiting = self.tickets.remove(&request)?;
        self.patience.remove(&(waiting.ticket.patience, request));
        self.objectives.remove(&(waiting.ticket.objective, request));
        if let Some(tier) = self.tiers.get_mut(&waiting.ticket.order) {
            tier.remove(&waiting);
        }
        Some(waiting.ticket)
    }

    /// Takes out every ticket whose patience has ended by `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut expired = Vec::new();
        while let Some(&(patience, request)) = self.patience.first() {
            if patience > now {
                break;
            }
            expired.extend(self.remove(request));
        }
        expired
    }

    /// Moves every ticket whose objective has passed by `now` behind all those
    /// that can still meet theirs.
    pub fn delay(&mut self, now: Timestamp) {
        while let Some(&(objective, request)) = self.objectives.first() {
            if objective > now {
                break;
            }
            self.objectives.pop_first();
            let Some(waiting) = self.tickets.remove(&request) else {
                continue;
            };
            if let Some(tier) = self.tiers.get_mut(&waiting.ticket.order) {
                tier.remove(&waiting);
            }
            let mut waiting = waiting;
            let order = waiting.ticket.order;
            waiting.ticket.order = order.saturating_add(DELAYED);
            self.insert(waiting);
        }
    }

    /// Takes out every ticket.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let requests: Vec<RequestId> = self.patience.iter().map(|(_, r)| *r).collect();
        requests
            .into_iter()
            .filter_map(|request| self.remove(request))
            .collect()
    }

    /// The virtual time for which an organisation was charged in a tier beyond
    /// the tier's own.
    #[cfg(test)]
    pub fn charged(&self, order: u8, organisation: &Name) -> u64 {
        let Some(tier) = self.tiers.get(&order) else {
            return 0;
        };
        let queue = tier.organisations.get(organisation);
        queue.map_or(0, |q| q.served.saturating_sub(tier.now))
    }

    /// Since when the oldest ticket that goes before a new one waits: of any
    /// higher tier, or of its own organisation in its tier.
    pub fn oldest(&self, order: u8, organisation: &Name) -> Option<Timestamp> {
        let higher = self.tiers.range(..order);
        let higher = higher.filter_map(|(_, t)| t.arrivals.first());
        let tier = self.tiers.get(&order);
        let own = tier.and_then(|t| t.organisations.get(organisation));
        let own = own.and_then(|o| o.arrivals.first());
        higher.chain(own).map(|(since, _)| *since).min()
    }

    /// Whether a ticket is past its objective.
    pub fn is_delayed(ticket: &Ticket) -> bool {
        ticket.order >= DELAYED
    }

    /// When the patience of a waiting ticket ends next.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.patience.first().map(|(patience, _)| *patience)
    }

    fn lowest(&self) -> Option<(u8, RequestId)> {
        let (order, tier) = self.tiers.iter().rev().find(|(_, t)| t.count > 0)?;
        let (_, request) = tier.deadlines.last()?;
        Some((*order, *request))
    }

    fn insert(&mut self, waiting: Waiting) {
        let request = waiting.ticket.request;
        self.patience.insert((waiting.ticket.patience, request));
        if waiting.ticket.order < DELAYED {
            self.objectives.insert((waiting.ticket.objective, request));
        }
        let tier = self.tiers.entry(waiting.ticket.order).or_default();
        tier.insert(&waiting);
        self.tickets.insert(request, waiting);
    }
}

impl TierQueue {
    fn insert(&mut self, waiting: &Waiting) {
        let ticket = &waiting.ticket;
        let name = &ticket.organisation;
        let queue = self.organisations.entry(name.clone()).or_default();
        if queue.waiting.is_empty() {
            // An organisation that was away gets no credit for that time.
            queue.served = queue.served.max(self.now);
            queue.weight = waiting.weight;
            self.weight += u64::from(waiting.weight);
            self.ready.insert((queue.served, name.clone()));
        }
        queue.waiting.insert((ticket.deadline, ticket.request));
        queue.arrivals.insert((waiting.since, ticket.request));
        queue.cost += waiting.cost;
        self.deadlines.insert((ticket.deadline, ticket.request));
        self.arrivals.insert((waiting.since, ticket.request));
        self.cost += waiting.cost;
        self.count += 1;
    }

    fn remove(&mut self, waiting: &Waiting) {
        let ticket = &waiting.ticket;
        let name = &ticket.organisation;
        let Some(queue) = self.organisations.get_mut(name) else {
            return;
        };
        queue.waiting.remove(&(ticket.deadline, ticket.request));
        queue.arrivals.remove(&(waiting.since, ticket.request));
        queue.cost -= waiting.cost;
        self.deadlines.remove(&(ticket.deadline, ticket.request));
        self.arrivals.remove(&(waiting.since, ticket.request));
        self.cost -= waiting.cost;
        self.count -= 1;
        if queue.waiting.is_empty() {
            self.weight -= u64::from(queue.weight);
            self.ready.remove(&(queue.served, name.clone()));
        }
    }

    fn cost_ahead(&self, organisation: &Name, weight: u32) -> u64 {
        let queue = self.organisations.get(organisation);
        let (own, others) = match queue.filter(|q| !q.waiting.is_empty()) {
            Some(queue) => (queue.cost, self.weight - u64::from(queue.weight)),
            None => (0, self.weight),
        };
        // While its own work is served, every other organisation is served
        // in the proportion of the weights.
        let passing = own.saturating_mul(others) / u64::from(weight.max(1));
        own + passing.min(self.cost - own)
    }

    fn adjust_charge(&mut self, name: &Name, expected: u64, real: u64) {
        let Some(queue) = self.organisations.get_mut(name) else {
            return;
        };
        let waits = !queue.waiting.is_empty();
        if waits {
            self.ready.remove(&(queue.served, name.clone()));
        }
        let charged = queue.served.saturating_add(step(real, queue.weight));
        queue.served = charged.saturating_sub(step(expected, queue.weight));
        if waits {
            self.ready.insert((queue.served, name.clone()));
        }
    }

    /// Charges one organisation for served work and moves virtual time on.
    fn advance(&mut self, name: &Name, step: u64) {
        let Some(queue) = self.organisations.get_mut(name) else {
            return;
        };
        self.now = self.now.max(queue.served);
        self.ready.remove(&(queue.served, name.clone()));
        queue.served = queue.served.saturating_add(step);
        if !queue.waiting.is_empty() {
            self.ready.insert((queue.served, name.clone()));
        }
        if self.count == 0 {
            self.forget_served();
        }
    }

    /// With nobody waiting, only organisations that are ahead of the virtual
    /// time need to be remembered.
    fn forget_served(&mut self) {
        let now = self.now;
        self.organisations.retain(|_, queue| queue.served > now);
    }
}

/// The virtual time that work of this cost takes at this weight.
fn step(cost: u64, weight: u32) -> u64 {
    cost.saturating_mul(VIRTUAL_SCALE) / u64::from(weight.max(1))
}
