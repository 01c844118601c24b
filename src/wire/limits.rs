//! Messages by which entries share the rate limits of upstreams and the permits under them.

use std::time::Duration;

use capnp::Error;
use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;

use crate::almondramp_capnp::limit_message;
use crate::almondramp_capnp::limit_report;
use crate::almondramp_capnp::permit_reply;
use crate::almondramp_capnp::permit_request;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::rate_limits::LimitReport;
use crate::rate_limits::PermitAnswer;
use crate::rate_limits::PermitId;
use crate::rate_limits::PermitRequest;
use crate::rate_limits::RateLimit;
use crate::units::millis;
use crate::wire::list_len;

#[cfg(test)]
mod tests;

/// Report on the limit of a named upstream.
pub type NamedReport = (Name, LimitReport);

/// Message between entries about rate limits.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitMessage {
    /// What the sender knows of some limits.
    Limits(Vec<NamedReport>),
    /// The sender asks for a permit for the upstream of the report.
    Request(PermitRequest, NamedReport),
    /// The answer to a request for a permit.
    Reply(PermitReply),
    /// The sender is stopping and issues no more permits.
    Leaving(Incarnation),
}

/// Answer to a request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitReply {
    /// The number of the request.
    pub number: u64,
    /// The answer.
    pub answer: PermitAnswer,
    /// The number of other entries that wait for permits of the upstream.
    pub other_entries: usize,
    /// What the issuing entry knows of the limit.
    pub report: NamedReport,
}

/// Encodes a message.
pub fn encode(message: &LimitMessage) -> Vec<u8> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<limit_message::Builder<'_>>();
    match message {
        LimitMessage::Limits(reports) => {
            let mut list = root.init_limits(list_len(reports));
            for (i, report) in (0..).zip(reports) {
                write_limit(report, list.reborrow().get(i));
            }
        }
        LimitMessage::Request(request, report) => {
            write_permit_request(request, report, root.init_request());
        }
        LimitMessage::Reply(reply) => write_reply(reply, root.init_reply()),
        LimitMessage::Leaving(incarnation) => root.set_leaving(incarnation.0),
    }
    serialize::write_message_to_words(&builder)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message is not valid.
pub fn decode(mut words: &[u8]) -> Result<LimitMessage, Error> {
    let reader = serialize::read_message(&mut words, ReaderOptions::new())?;
    let root = reader.get_root::<limit_message::Reader<'_>>()?;
    Ok(match root.which()? {
        limit_message::Which::Limits(list) => {
            let reports = list?.iter().map(read_limit);
            LimitMessage::Limits(reports.collect::<Result<_, _>>()?)
        }
        limit_message::Which::Request(request) => {
            let (request, report) = read_permit_request(request?)?;
            LimitMessage::Request(request, report)
        }
        limit_message::Which::Reply(reply) => LimitMessage::Reply(read_reply(reply?)?),
        limit_message::Which::Leaving(incarnation) => {
            LimitMessage::Leaving(Incarnation(incarnation))
        }
    })
}

fn write_limit((upstream, report): &NamedReport, mut out: limit_report::Builder<'_>) {
    out.set_upstream(upstream.as_str());
    out.set_per_second(report.limit.per_second());
    out.set_named_millis(millis(report.named_age));
    match report.unnamed_age {
        None => out.init_unnamed().set_never(()),
        Some(age) => out.init_unnamed().set_millis(millis(age)),
    }
}

fn read_limit(reader: limit_report::Reader<'_>) -> Result<NamedReport, Error> {
    let limit = RateLimit::new(reader.get_per_second());
    let unnamed_age = match reader.get_unnamed().which()? {
        limit_report::unnamed::Which::Never(()) => None,
        limit_report::unnamed::Which::Millis(millis) => Some(Duration::from_millis(millis)),
    };
    let report = LimitReport {
        limit: limit.map_err(|e| Error::failed(e.to_string()))?,
        named_age: Duration::from_millis(reader.get_named_millis()),
        unnamed_age,
    };
    Ok((Name::new(reader.get_upstream()?.to_str()?), report))
}

fn write_permit_request(
    request: &PermitRequest,
    report: &NamedReport,
    mut out: permit_request::Builder<'_>,
) {
    out.set_number(request.id.number);
    out.set_incarnation(request.id.entry.0);
    out.set_rank(request.rank);
    out.set_max_wait_millis(millis(request.max_wait));
    write_limit(report, out.init_limit());
}

fn read_permit_request(
    reader: permit_request::Reader<'_>,
) -> Result<(PermitRequest, NamedReport), Error> {
    let request = PermitRequest {
        id: PermitId {
            entry: Incarnation(reader.get_incarnation()),
            number: reader.get_number(),
        },
        rank: reader.get_rank(),
        max_wait: Duration::from_millis(reader.get_max_wait_millis()),
    };
    Ok((request, read_limit(reader.get_limit()?)?))
}

fn write_reply(reply: &PermitReply, mut out: permit_reply::Builder<'_>) {
    out.set_number(reply.number);
    out.set_other_entries(u32::try_from(reply.other_entries).unwrap_or(u32::MAX));
    write_limit(&reply.report, out.reborrow().init_limit());
    match reply.answer {
        PermitAnswer::Granted => out.set_granted(()),
        PermitAnswer::Queued => out.set_queued(()),
        PermitAnswer::Denied(wait) => out.set_denied(millis(wait)),
    }
}

fn read_reply(reader: permit_reply::Reader<'_>) -> Result<PermitReply, Error> {
    let answer = match reader.which()? {
        permit_reply::Which::Granted(()) => PermitAnswer::Granted,
        permit_reply::Which::Queued(()) => PermitAnswer::Queued,
        permit_reply::Which::Denied(millis) => PermitAnswer::Denied(Duration::from_millis(millis)),
    };
    Ok(PermitReply {
        number: reader.get_number(),
        answer,
        other_entries: reader.get_other_entries() as usize,
        report: read_limit(reader.get_limit()?)?,
    })
}
