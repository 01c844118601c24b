//! The entry's end of a ticket that waits at an agent.

use std::rc::Rc;

use capnp::Error;
use tokio::sync::mpsc::UnboundedSender;

use crate::almondramp_capnp::waiter;
use crate::dispatch::Event;
use crate::name::Name;
use crate::wire;

/// Passes on what an agent says of a waiting ticket.
pub struct TicketWaiter {
    agent: Name,
    events: UnboundedSender<Event>,
}

impl TicketWaiter {
    /// A waiter for the ticket at `agent`.
    pub fn new(agent: Name, events: UnboundedSender<Event>) -> Self {
        Self { agent, events }
    }

    fn pass(&self, event: Event) {
        // A request that has ended no longer listens.
        let _ = self.events.send(event);
    }
}

impl waiter::Server for TicketWaiter {
    async fn granted(
        self: Rc<Self>,
        params: waiter::GrantedParams,
        _results: waiter::GrantedResults,
    ) -> Result<(), Error> {
        let grant = wire::read_grant(params.get()?.get_grant()?)?;
        self.pass(Event::Granted(self.agent.clone(), grant));
        Ok(())
    }

    async fn handed_back(
        self: Rc<Self>,
        params: waiter::HandedBackParams,
        _results: waiter::HandedBackResults,
    ) -> Result<(), Error> {
        let refusal = wire::read_refusal(params.get()?.get_refusal()?)?;
        self.pass(Event::Returned(self.agent.clone(), refusal));
        Ok(())
    }
}
