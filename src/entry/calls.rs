//! Remote calls from an entry to an agent's scheduler.

use capnp::Error;

use crate::almondramp_capnp::desk;
use crate::clock::Timestamp;
use crate::entry::waiter::TicketListener;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::ticket::OfferResult;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::ticket::Work;
use crate::wire;

/// Offers a ticket and returns the agent's answer. The ticket's times are sent
/// as durations from `now`. `waiter` receives later notices.
pub fn offer(
    scheduler: &desk::Client,
    ticket: &Ticket,
    now: Timestamp,
    waiter: TicketListener,
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

/// Reports that a grant was accepted and the request is being sent. Errors are
/// ignored, here and in the calls below, because the agent detects the end of
/// the connection.
pub fn mark_sent(scheduler: &desk::Client, request: RequestId, grant: GrantId) {
    let mut req = scheduler.begin_request();
    wire::write_request(request, req.get().init_request());
    req.get().set_grant(grant.0);
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Withdraws a ticket or an unused grant.
pub fn withdraw(scheduler: &desk::Client, request: RequestId, reason: WithdrawReason) {
    let mut req = scheduler.withdraw_request();
    req.get()
        .set_sent_elsewhere(reason == WithdrawReason::SentElsewhere);
    wire::write_request(request, req.get().init_request());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Reports that the upstream has started to answer.
pub fn mark_answering(scheduler: &desk::Client, request: RequestId) {
    let mut req = scheduler.answering_request();
    wire::write_request(request, req.get().init_request());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Reports the end of a request, and the work done if its answer is complete.
pub fn finish(scheduler: &desk::Client, request: RequestId, work: Option<Work>) {
    let mut req = scheduler.finish_request();
    wire::write_request(request, req.get().init_request());
    req.get().set_whole(work.is_some());
    wire::write_usage(work.unwrap_or_default(), req.get().init_usage());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}
