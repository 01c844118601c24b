//! The schedulers that an entry offers tickets to: those of agents it is connected
//! to, and its own for upstreams whose agent is absent or can't be reached.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::mpsc::UnboundedSender;

use crate::clock::Timestamp;
use crate::dispatch::Event;
use crate::entry::calls;
use crate::entry::links::Link;
use crate::entry::waiter::TicketWaiter;
use crate::ids::GrantId;
use crate::ids::LinkId;
use crate::ids::RequestId;
use crate::name::Name;
use crate::scheduler::Notice;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerConfig;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::ticket::Work;

/// Where the ticket of a request lies.
#[derive(Clone)]
pub enum SchedulerHandle {
    /// At the agent beside the upstream.
    Agent(Link),
    /// At the entry's own scheduler for the upstream.
    Local(Rc<LocalSchedulers>),
}

/// The entry's own schedulers, by upstream.
#[derive(Default)]
pub struct LocalSchedulers {
    schedulers: RefCell<HashMap<Name, Scheduler>>,
    listeners: RefCell<HashMap<RequestId, UnboundedSender<Event>>>,
}

impl LocalSchedulers {
    /// Removes the schedulers of upstreams that `keep` does not name.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.schedulers.borrow_mut().retain(|name, _| keep(name));
    }

    /// Offers a ticket at the scheduler of `upstream`; `events` hears the answer.
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
        let (offered, notices) = scheduler.offer(now, ticket);
        drop(schedulers);
        // A request that has ended no longer listens.
        let _ = events.send(Event::OfferAnswered(upstream.clone(), offered));
        self.tell(upstream, notices);
    }

    /// Notes that a grant was accepted.
    pub fn mark_sent(&self, now: Timestamp, upstream: &Name, request: RequestId, grant: GrantId) {
        if let Some(scheduler) = self.schedulers.borrow_mut().get_mut(upstream) {
            scheduler.mark_sent(now, request, grant);
        }
    }

    /// Takes back a ticket.
    pub fn withdraw(
        &self,
        now: Timestamp,
        upstream: &Name,
        request: RequestId,
        why: WithdrawReason,
    ) {
        self.with(upstream, |scheduler| scheduler.withdraw(now, request, why));
    }

    /// Notes that an upstream has begun to answer.
    pub fn mark_answering(&self, now: Timestamp, upstream: &Name, request: RequestId) {
        self.with(upstream, |scheduler| scheduler.mark_answering(now, request));
    }

    /// Notes the end of a request.
    pub fn finish(&self, now: Timestamp, upstream: &Name, request: RequestId, work: Option<Work>) {
        self.with(upstream, |scheduler| scheduler.finish(now, request, work));
    }

    /// Hands back tickets that have waited too long.
    pub fn tick(&self, now: Timestamp) {
        let names: Vec<Name> = self.schedulers.borrow().keys().cloned().collect();
        for name in names {
            self.with(&name, |scheduler| scheduler.tick(now));
        }
    }

    /// Has a request that has ended no longer hear of its tickets.
    pub fn forget(&self, request: RequestId) {
        self.listeners.borrow_mut().remove(&request);
    }

    fn with<F>(&self, upstream: &Name, change: F)
    where
        F: FnOnce(&mut Scheduler) -> Vec<Notice>,
    {
        let notices = self.schedulers.borrow_mut().get_mut(upstream).map(change);
        self.tell(upstream, notices.unwrap_or_default());
    }

    fn tell(&self, upstream: &Name, notices: Vec<Notice>) {
        let listeners = self.listeners.borrow();
        for notice in notices {
            let (request, event) = match notice {
                Notice::Granted(request, grant) => {
                    (request, Event::Granted(upstream.clone(), grant))
                }
                Notice::Returned(request, refusal) => {
                    (request, Event::Returned(upstream.clone(), refusal))
                }
            };
            if let Some(events) = listeners.get(&request) {
                // A request that has ended no longer listens.
                let _ = events.send(event);
            }
        }
    }
}

/// The bounds of an entry's own scheduler for `upstream`. An upstream whose agent
/// can't be reached is shared with the other entries.
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

/// Offers a ticket at an agent; `events` hears the answer.
pub fn offer_agent(
    link: &Link,
    upstream: &Name,
    ticket: &Ticket,
    now: Timestamp,
    events: &UnboundedSender<Event>,
) {
    link.usage.touch();
    let waiter = TicketWaiter::new(upstream.clone(), events.clone());
    let offered = calls::offer(&link.scheduler, ticket, now, waiter);
    let events = events.clone();
    let upstream = upstream.clone();
    let id = link.id;
    actix_rt::spawn(async move {
        let event = match offered.await {
            Ok(offered) => Event::OfferAnswered(upstream, offered),
            Err(_) => Event::ConnectionLost(upstream, id),
        };
        // A request that has ended no longer listens.
        let _ = events.send(event);
    });
}

impl SchedulerHandle {
    /// Whether the ticket lay on this connection. A loss that is heard twice
    /// must not take the ticket that was offered elsewhere after the first.
    pub fn is_on(&self, id: LinkId) -> bool {
        match self {
            Self::Agent(link) => link.id == id,
            Self::Local(_) => false,
        }
    }

    /// Notes that a grant was accepted.
    pub fn mark_sent(&self, now: Timestamp, upstream: &Name, request: RequestId, grant: GrantId) {
        match self {
            Self::Agent(link) => calls::mark_sent(&link.scheduler, request, grant),
            Self::Local(schedulers) => schedulers.mark_sent(now, upstream, request, grant),
        }
    }

    /// Takes back a ticket or an unused grant.
    pub fn withdraw(
        &self,
        now: Timestamp,
        upstream: &Name,
        request: RequestId,
        why: WithdrawReason,
    ) {
        match self {
            Self::Agent(link) => calls::withdraw(&link.scheduler, request, why),
            Self::Local(schedulers) => schedulers.withdraw(now, upstream, request, why),
        }
    }

    /// Notes that an upstream has begun to answer.
    pub fn mark_answering(&self, now: Timestamp, upstream: &Name, request: RequestId) {
        match self {
            Self::Agent(link) => calls::mark_answering(&link.scheduler, request),
            Self::Local(schedulers) => schedulers.mark_answering(now, upstream, request),
        }
    }

    /// Notes the end of a request and what it took, if its answer is whole.
    pub fn finish(&self, now: Timestamp, upstream: &Name, request: RequestId, work: Option<Work>) {
        match self {
            Self::Agent(link) => calls::finish(&link.scheduler, request, work),
            Self::Local(schedulers) => schedulers.finish(now, upstream, request, work),
        }
    }
}
