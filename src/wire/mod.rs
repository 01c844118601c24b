//! Conversions between the messages of the protocol and the types in use.

use std::time::Duration;

use bytes::Bytes;
use capnp::Error;

use crate::almondramp_capnp as schema;
use crate::clock::Moment;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::ticket::Grant;
use crate::ticket::Offered;
use crate::ticket::Quote;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::Work;

/// The version of the protocol that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// An HTTP header as bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The name, in lower case.
    pub name: Name,
    /// The value.
    pub value: Bytes,
}

/// A request as the upstream receives it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Name,
    /// The path and query.
    pub path: Name,
    /// Headers for the upstream.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
    /// Whether a server-sent event stream is expected, ended by `[DONE]`.
    pub stream: bool,
}

/// Reads a request's id.
pub fn read_request(reader: schema::request_id::Reader<'_>) -> RequestId {
    RequestId {
        incarnation: Incarnation(reader.get_incarnation()),
        sequence: reader.get_sequence(),
    }
}

/// Writes a request's id.
pub fn write_request(request: RequestId, mut builder: schema::request_id::Builder<'_>) {
    builder.set_incarnation(request.incarnation.0);
    builder.set_sequence(request.sequence);
}

/// Reads a ticket; its deadline is set from `now` on the reader's clock.
pub fn read_ticket(reader: schema::ticket::Reader<'_>, now: Moment) -> Result<Ticket, Error> {
    Ok(Ticket {
        request: read_request(reader.get_request()?),
        organisation: Name::new(reader.get_organisation()?.to_str()?),
        order: reader.get_order(),
        deadline: now + Duration::from_millis(reader.get_remaining_millis()),
        work: Work {
            prefill: reader.get_prefill_tokens(),
            cached: 0,
            output: reader.get_output_tokens(),
        },
        prefix: reader.get_prefix_chunks()?.iter().collect(),
        idempotent: reader.get_idempotent(),
    })
}

/// Writes a ticket; its deadline goes out as the time left after `now`.
pub fn write_ticket(ticket: &Ticket, now: Moment, mut builder: schema::ticket::Builder<'_>) {
    write_request(ticket.request, builder.reborrow().init_request());
    builder.set_organisation(ticket.organisation.as_str());
    builder.set_order(ticket.order);
    builder.set_remaining_millis(millis(now.until(ticket.deadline)));
    builder.set_prefill_tokens(ticket.work.prefill);
    builder.set_output_tokens(ticket.work.output);
    builder.set_idempotent(ticket.idempotent);
    let mut chunks = builder.init_prefix_chunks(length(&ticket.prefix));
    for (i, hash) in (0..).zip(&ticket.prefix) {
        chunks.set(i, *hash);
    }
}

/// Reads a refusal.
pub fn read_refusal(reader: schema::refusal::Reader<'_>) -> Result<Refusal, Error> {
    let code = match reader.get_code()? {
        schema::RefusalCode::Overloaded => RefusalCode::Overloaded,
        schema::RefusalCode::Late => RefusalCode::Late,
        schema::RefusalCode::Draining => RefusalCode::Draining,
        schema::RefusalCode::Expired => RefusalCode::Expired,
        schema::RefusalCode::Stale => RefusalCode::Stale,
        schema::RefusalCode::Unreachable => RefusalCode::Unreachable,
        schema::RefusalCode::Duplicate => RefusalCode::Duplicate,
        schema::RefusalCode::Evicted => RefusalCode::Evicted,
        schema::RefusalCode::NotReady => RefusalCode::NotReady,
    };
    let after = Duration::from_millis(reader.get_retry_after_millis());
    Ok(Refusal::new(code, after))
}

/// Writes a refusal.
pub fn write_refusal(refusal: Refusal, mut builder: schema::refusal::Builder<'_>) {
    builder.set_code(match refusal.code {
        RefusalCode::Overloaded => schema::RefusalCode::Overloaded,
        RefusalCode::Late => schema::RefusalCode::Late,
        RefusalCode::Draining => schema::RefusalCode::Draining,
        RefusalCode::Expired => schema::RefusalCode::Expired,
        RefusalCode::Stale => schema::RefusalCode::Stale,
        RefusalCode::Unreachable => schema::RefusalCode::Unreachable,
        RefusalCode::Duplicate => schema::RefusalCode::Duplicate,
        RefusalCode::Evicted => schema::RefusalCode::Evicted,
        RefusalCode::NotReady => schema::RefusalCode::NotReady,
    });
    builder.set_retry_after_millis(millis(refusal.retry_after));
}

/// Reads a grant.
pub fn read_grant(reader: schema::grant::Reader<'_>) -> Grant {
    Grant {
        id: GrantId(reader.get_id()),
        valid: Duration::from_millis(reader.get_valid_millis()),
    }
}

/// Writes a grant.
pub fn write_grant(grant: Grant, mut builder: schema::grant::Builder<'_>) {
    builder.set_id(grant.id.0);
    builder.set_valid_millis(millis(grant.valid));
}

/// Reads the answer to a ticket.
pub fn read_offered(reader: schema::offered::Reader<'_>) -> Result<Offered, Error> {
    use schema::offered::Which;

    Ok(match reader.which()? {
        Which::Queued(quote) => {
            let quote = quote?;
            Offered::Queued(Quote {
                start: Duration::from_millis(quote.get_start_millis()),
                cached: quote.get_cached_tokens(),
                saving: Duration::from_millis(quote.get_saving_millis()),
            })
        }
        Which::Granted(grant) => Offered::Granted(read_grant(grant?)),
        Which::Refused(refusal) => Offered::Refused(read_refusal(refusal?)?),
    })
}

/// Writes the answer to a ticket.
pub fn write_offered(offered: Offered, builder: schema::offered::Builder<'_>) {
    match offered {
        Offered::Queued(quote) => {
            let mut builder = builder.init_queued();
            builder.set_start_millis(millis(quote.start));
            builder.set_cached_tokens(quote.cached);
            builder.set_saving_millis(millis(quote.saving));
        }
        Offered::Granted(grant) => write_grant(grant, builder.init_granted()),
        Offered::Refused(refusal) => write_refusal(refusal, builder.init_refused()),
    }
}

/// Reads headers.
pub fn read_headers(
    reader: capnp::struct_list::Reader<'_, schema::header::Owned>,
) -> Result<Vec<Header>, Error> {
    let header = |h: schema::header::Reader<'_>| {
        Ok(Header {
            name: Name::new(h.get_name()?.to_str()?),
            value: Bytes::copy_from_slice(h.get_value()?),
        })
    };
    reader.iter().map(header).collect()
}

/// Writes headers.
pub fn write_headers(
    headers: &[Header],
    mut builder: capnp::struct_list::Builder<'_, schema::header::Owned>,
) {
    for (i, header) in (0..).zip(headers) {
        let mut slot = builder.reborrow().get(i);
        slot.set_name(header.name.as_str());
        slot.set_value(&header.value);
    }
}

/// Reads a call.
pub fn read_call(reader: schema::call::Reader<'_>) -> Result<Call, Error> {
    Ok(Call {
        method: Name::new(reader.get_method()?.to_str()?),
        path: Name::new(reader.get_path()?.to_str()?),
        headers: read_headers(reader.get_headers()?)?,
        body: Bytes::copy_from_slice(reader.get_body()?),
        stream: reader.get_stream(),
    })
}

/// Writes a call.
pub fn write_call(call: &Call, mut builder: schema::call::Builder<'_>) {
    builder.set_method(call.method.as_str());
    builder.set_path(call.path.as_str());
    builder.set_body(&call.body);
    builder.set_stream(call.stream);
    write_headers(&call.headers, builder.init_headers(length(&call.headers)));
}

/// Reads what a request really took.
pub fn read_usage(reader: schema::usage::Reader<'_>) -> Work {
    Work {
        prefill: reader.get_prefill_tokens(),
        cached: reader.get_cached_tokens(),
        output: reader.get_output_tokens(),
    }
}

/// Writes what a request really took.
pub fn write_usage(work: Work, mut builder: schema::usage::Builder<'_>) {
    builder.set_prefill_tokens(work.prefill);
    builder.set_cached_tokens(work.cached);
    builder.set_output_tokens(work.output);
}

/// A list's length in the type of the protocol. Messages are bounded far
/// below its range.
pub fn length<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
