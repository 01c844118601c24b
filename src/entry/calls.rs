//! The calls of an entry to an agent's desk.

use capnp::Error;

use crate::almondramp_capnp as schema;
use crate::almondramp_capnp::answer;
use crate::almondramp_capnp::desk;
use crate::clock::Moment;
use crate::entry::waiter::TicketWaiter;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::ticket::Offered;
use crate::ticket::Refusal;
use crate::ticket::Ticket;
use crate::wire;
use crate::wire::Call;

/// Offers a ticket; its deadline goes out as the time left after `now`.
pub fn offer(
    desk: &desk::Client,
    ticket: &Ticket,
    now: Moment,
    waiter: TicketWaiter,
) -> impl Future<Output = Result<Offered, Error>> + use<> {
    let mut req = desk.offer_request();
    wire::write_ticket(ticket, now, req.get().init_ticket());
    req.get().set_waiter(capnp_rpc::new_client(waiter));
    let sent = req.send();
    async move {
        let reply = sent.promise.await?;
        wire::read_offered(reply.get()?.get_offered()?)
    }
}

/// Accepts a grant and sends the request. Gives the refusal, if any.
pub fn accept(
    desk: &desk::Client,
    request: RequestId,
    grant: GrantId,
    call: &Call,
    answer: answer::Client,
) -> impl Future<Output = Result<Option<Refusal>, Error>> + use<> {
    use schema::accepted::Which;

    let mut req = desk.accept_request();
    wire::write_request(request, req.get().init_request());
    req.get().set_grant(grant.0);
    wire::write_call(call, req.get().init_call());
    req.get().set_answer(answer);
    let sent = req.send();
    async move {
        let reply = sent.promise.await?;
        match reply.get()?.get_accepted()?.which()? {
            Which::Dispatched(()) => Ok(None),
            Which::Refused(refusal) => wire::read_refusal(refusal?).map(Some),
        }
    }
}

/// Takes back a ticket. One whose withdrawal is lost ends with its connection.
pub fn withdraw(desk: &desk::Client, request: RequestId) {
    let mut req = desk.withdraw_request();
    wire::write_request(request, req.get().init_request());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Cancels a dispatched request. If the call is lost, the agent stops the
/// request once nobody fetches its answer.
pub fn cancel(desk: &desk::Client, request: RequestId) {
    let mut req = desk.cancel_request();
    wire::write_request(request, req.get().init_request());
    let sent = req.send();
    actix_rt::spawn(async move { sent.promise.await.map(drop) });
}

/// Asks what became of a request. An agent that has not dispatched it never
/// will after this.
pub async fn fate(desk: &desk::Client, request: RequestId) -> Result<schema::Fate, Error> {
    let mut req = desk.fate_request();
    wire::write_request(request, req.get().init_request());
    let reply = req.send().promise.await?;
    Ok(reply.get()?.get_fate()?)
}

/// Has the rest of an answer sent, from `offset` on. Gives whether the agent
/// still holds that part.
pub async fn attach(
    desk: &desk::Client,
    request: RequestId,
    offset: u64,
    answer: answer::Client,
) -> Result<bool, Error> {
    let mut req = desk.attach_request();
    wire::write_request(request, req.get().init_request());
    req.get().set_answer(answer);
    req.get().set_offset(offset);
    let reply = req.send().promise.await?;
    Ok(reply.get()?.get_attached())
}
