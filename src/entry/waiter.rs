//! The callback by which an agent notifies an entry about a waiting ticket.

use std::rc::Rc;

use capnp::Error;
use tokio::sync::mpsc::UnboundedSender;

use crate::almondramp_capnp::waiter;
use crate::dispatch::Event;
use crate::name::Name;
use crate::wire;

/// Forwards an agent's notices about a waiting ticket to the request's events.
pub struct TicketListener {
    upstream: Name,
    events: UnboundedSender<Event>,
}

impl TicketListener {
    /// Creates a listener for a ticket at the agent of `upstream`.
    pub fn new(upstream: Name, events: UnboundedSender<Event>) -> Self {
        Self { upstream, events }
    }

    fn forward(&self, event: Event) {
        // Fails only if the request has already ended.
        let _ = self.events.send(event);
    }
}

impl waiter::Server for TicketListener {
    async fn granted(
        self: Rc<Self>,
        params: waiter::GrantedParams,
        _results: waiter::GrantedResults,
    ) -> Result<(), Error> {
        let grant = wire::read_grant(params.get()?.get_grant()?)?;
        self.forward(Event::Granted(self.upstream.clone(), grant));
        Ok(())
    }

    async fn handed_back(
        self: Rc<Self>,
        params: waiter::HandedBackParams,
        _results: waiter::HandedBackResults,
    ) -> Result<(), Error> {
        let refusal = wire::read_refusal(params.get()?.get_refusal()?)?;
        self.forward(Event::Returned(self.upstream.clone(), refusal));
        Ok(())
    }
}
