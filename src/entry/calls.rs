//! The calls of an entry to an agent's scheduler.

use capnp::Error;

use crate::almondramp_capnp::desk;
use crate::clock::Timestamp;
use crate::entry::waiter::TicketWaiter;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::ticket::OfferResult;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::ticket::Work;
use crate::wire;

/// Offers a ticket; its times go out as what is left after `now`.
pub fn offer(
    scheduler: &desk::Client,
    ticket: &Ticket,
    now: Timestamp,
    waiter: TicketWaiter,
) -> impl Future<Output = Result<OfferResult, Error>> + use<> {
    let mut req = scheduler.offer_request();
    wire::write_ticket(ticket, now, req.get().init_ticket());
    req.get().set_waiter(capnp_rpc::new_client(waiter));
    let sent = req.send();
    async move {
        let reply = sent.promise.await?;
        wire::read_offered(reply.get()?.get_offered()?)
    }
}

/// Tells that a grant was accepted. What an agent can't be told it learns
/// from the end of the connection.
pub fn mark_sent(scheduler: &desk::Client, request: RequestId, grant: GrantId) {
    let mut req = scheduler.begin_request();
    wire::write_request(request, req.get().init_request());
    req.get().set_grant(grant.0);
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Takes back a ticket or an unused grant.
pub fn withdraw(scheduler: &desk::Client, request: RequestId, why: WithdrawReason) {
    let mut req = scheduler.withdraw_request();
    req.get()
        .set_sent_elsewhere(why == WithdrawReason::SentElsewhere);
    wire::write_request(request, req.get().init_request());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Tells that the upstream has begun to answer.
pub fn mark_answering(scheduler: &desk::Client, request: RequestId) {
    let mut req = scheduler.answering_request();
    wire::write_request(request, req.get().init_request());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Tells that a request has ended, and what it took if its answer is whole.
pub fn finish(scheduler: &desk::Client, request: RequestId, work: Option<Work>) {
    let mut req = scheduler.finish_request();
    wire::write_request(request, req.get().init_request());
    req.get().set_whole(work.is_some());
    wire::write_usage(work.unwrap_or_default(), req.get().init_usage());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}
