//! The schedulers that an entry offers tickets to: those of connected agents,
//! and local ones for upstreams without an agent or with an unreachable agent.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc::UnboundedSender;

use crate::clock::Timestamp;
use crate::dispatch::Event;
use crate::entry::calls;
use crate::entry::links::Link;
use crate::entry::reported_loads::ReportedLoads;
use crate::entry::waiter::TicketListener;
use crate::ids::GrantId;
use crate::ids::LinkId;
use crate::ids::RequestId;
use crate::name::Name;
use crate::scheduler::Notice;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerConfig;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::ticket::OfferResult;
use crate::ticket::Quote;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::ticket::Work;

#[cfg(test)]
mod tests;

/// The scheduler that holds the ticket of a request.
#[derive(Clone)]
pub enum SchedulerHandle {
    /// The scheduler of the upstream's agent, by connection.
    Agent(Link),
    /// The entry's local schedulers, for all upstreams. Each call names the
    /// upstream.
    Local(Rc<LocalSchedulers>),
}

/// The schedulers that run in the entry's process, by upstream.
pub struct LocalSchedulers {
    /// The loads that upstreams report, which replace the times in quotes.
    loads: Rc<ReportedLoads>,
    schedulers: RefCell<HashMap<Name, Scheduler>>,
    listeners: RefCell<HashMap<RequestId, UnboundedSender<Event>>>,
}

impl LocalSchedulers {
    /// Creates an empty table.
    pub fn new(loads: Rc<ReportedLoads>) -> Self {
        Self {
            loads,
            schedulers: RefCell::default(),
            listeners: RefCell::default(),
        }
    }

    /// Removes the schedulers of upstreams for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.schedulers.borrow_mut().retain(|name, _| keep(name));
    }

    /// Offers a ticket to the scheduler of `upstream`, which is created if
    /// absent. `events` receives the answer and later notices.
    pub fn offer(
        &self,
        now: Timestamp,
        upstream: &Name,
        config: SchedulerConfig,
        ticket: Ticket,
        events: &UnboundedSender<Event>,
    ) {
        let request = ticket.request;
        self.listeners.borrow_mut().insert(request, events.clone());
        let mut schedulers = self.schedulers.borrow_mut();
        let scheduler = schedulers
            .entry(upstream.clone())
            .or_insert_with(|| Scheduler::new(config.clone()));
        scheduler.set_config(config);
        let (mut offered, notices) = scheduler.offer(now, ticket);
        drop(schedulers);
        match &mut offered {
            OfferResult::Granted(grant) => self.requote(now, upstream, &mut grant.quote),
            OfferResult::Queued(quote) => self.requote(now, upstream, quote),
            OfferResult::Refused(_) => {}
        }
        // Fails only if the request has already ended.
        let _ = events.send(Event::OfferReplied(upstream.clone(), offered));
        self.notify(now, upstream, notices);
    }

    /// Records that a grant was accepted.
    pub fn mark_sent(&self, now: Timestamp, upstream: &Name, request: RequestId, grant: GrantId) {
        self.loads.record_sent(upstream);
        if let Some(scheduler) = self.schedulers.borrow_mut().get_mut(upstream) {
            scheduler.mark_sent(now, request, grant);
        }
    }

    /// Withdraws a ticket or an unused grant.
    pub fn withdraw(
        &self,
        now: Timestamp,
        upstream: &Name,
        request: RequestId,
        reason: WithdrawReason,
    ) {
        self.update(now, upstream, |scheduler| {
            scheduler.withdraw(now, request, reason)
        });
    }

    /// Records that the upstream has started to answer.
    pub fn mark_answering(&self, now: Timestamp, upstream: &Name, request: RequestId) {
        self.update(now, upstream, |scheduler| {
            scheduler.mark_answering(now, request)
        });
    }

    /// Records the end of a request, and the work done if its answer is
    /// complete.
    pub fn finish(&self, now: Timestamp, upstream: &Name, request: RequestId, work: Option<Work>) {
        self.loads.record_ended(upstream);
        self.update(now, upstream, |scheduler| {
            scheduler.finish(now, request, work)
        });
    }

    /// Returns expired tickets to their requests.
    pub fn tick(&self, now: Timestamp) {
        let names: Vec<Name> = self.schedulers.borrow().keys().cloned().collect();
        for name in names {
            self.update(now, &name, |scheduler| scheduler.tick(now));
        }
    }

    /// Removes the event channel of a request that has ended.
    pub fn remove_listener(&self, request: RequestId) {
        self.listeners.borrow_mut().remove(&request);
    }

    /// Applies `change` to the scheduler of `upstream`, if it exists, and sends
    /// the resulting notices.
    fn update<F>(&self, now: Timestamp, upstream: &Name, change: F)
    where
        F: FnOnce(&mut Scheduler) -> Vec<Notice>,
    {
        let notices = self.schedulers.borrow_mut().get_mut(upstream).map(change);
        self.notify(now, upstream, notices.unwrap_or_default());
    }

    /// Replaces the expected times in a quote where the load of the upstream is known.
    fn requote(&self, now: Timestamp, upstream: &Name, quote: &mut Quote) {
        if let Some(time) = self.loads.expected_time(now, upstream) {
            quote.answer_start = time;
            quote.answer_end = time;
        }
    }

    fn notify(&self, now: Timestamp, upstream: &Name, notices: Vec<Notice>) {
        let listeners = self.listeners.borrow();
        for notice in notices {
            let (request, event) = match notice {
                Notice::Granted(request, mut grant) => {
                    self.requote(now, upstream, &mut grant.quote);
                    (request, Event::Granted(upstream.clone(), grant))
                }
                Notice::Returned(request, refusal) => {
                    (request, Event::Returned(upstream.clone(), refusal))
                }
            };
            if let Some(events) = listeners.get(&request) {
                // Fails only if the request has already ended.
                let _ = events.send(event);
            }
        }
    }
}

/// Returns the configuration of the local scheduler for `upstream`. The slots of
/// an upstream whose agent can't be reached are divided among all entries.
pub fn local_scheduler_config(
    settings: &Settings,
    upstream: &Upstream,
    entries: usize,
) -> SchedulerConfig {
    let slots = upstream.slots as usize;
    let slots = match upstream.agent {
        None => slots,
        Some(_) => slots.div_ceil(entries.max(1)),
    };
    SchedulerConfig::new(settings, Some(upstream), slots)
}

/// Offers a ticket to an agent's scheduler. `events` receives the answer and
/// later notices.
pub fn offer_to_agent(
    link: &Link,
    upstream: &Name,
    ticket: &Ticket,
    now: Timestamp,
    events: &UnboundedSender<Event>,
) {
    link.usage.record_offer();
    let waiter = TicketListener::new(upstream.clone(), events.clone());
    let offering = calls::offer(&link.scheduler, ticket, now, waiter);
    let events = events.clone();
    let upstream = upstream.clone();
    let id = link.id;
    let usage = Rc::clone(&link.usage);
    actix_rt::spawn(async move {
        let offered = offering.await;
        usage.record_reply();
        let event = match offered {
            Ok(offered) => Event::OfferReplied(upstream, offered),
            Err(_) => Event::ConnectionLost(upstream, id),
        };
        // Fails only if the request has already ended.
        let _ = events.send(event);
    });
}

impl SchedulerHandle {
    /// Returns whether the ticket was offered over the connection `id`. The loss
    /// of a connection can be reported twice, and the second report must not
    /// affect a ticket that has been offered elsewhere since the first.
    pub fn uses_link(&self, id: LinkId) -> bool {
        match self {
            Self::Agent(link) => link.id == id,
            Self::Local(_) => false,
        }
    }

    /// Records that a grant was accepted.
    pub fn mark_sent(&self, now: Timestamp, upstream: &Name, request: RequestId, grant: GrantId) {
        match self {
            Self::Agent(link) => calls::mark_sent(&link.scheduler, request, grant),
            Self::Local(schedulers) => schedulers.mark_sent(now, upstream, request, grant),
        }
    }

    /// Withdraws a ticket or an unused grant.
    pub fn withdraw(
        &self,
        now: Timestamp,
        upstream: &Name,
        request: RequestId,
        reason: WithdrawReason,
    ) {
        match self {
            Self::Agent(link) => calls::withdraw(&link.scheduler, request, reason),
            Self::Local(schedulers) => schedulers.withdraw(now, upstream, request, reason),
        }
    }

    /// Records that the upstream has started to answer.
    pub fn mark_answering(&self, now: Timestamp, upstream: &Name, request: RequestId) {
        match self {
            Self::Agent(link) => calls::mark_answering(&link.scheduler, request),
            Self::Local(schedulers) => schedulers.mark_answering(now, upstream, request),
        }
    }

    /// Records the end of a request, and the work done if its answer is
    /// complete.
    pub fn finish(&self, now: Timestamp, upstream: &Name, request: RequestId, work: Option<Work>) {
        match self {
            Self::Agent(link) => calls::finish(&link.scheduler, request, work),
            Self::Local(schedulers) => schedulers.finish(now, upstream, request, work),
        }
    }
}
