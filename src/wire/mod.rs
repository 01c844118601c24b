//! Conversions between the Cap'n Proto messages of the peer protocol and the
//! crate's own types.

pub mod limits;
pub mod streams;

use std::time::Duration;

use capnp::Error;

use crate::almondramp_capnp as schema;
use crate::clock::Timestamp;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::quota::QuotaReport;
use crate::quota::SpendTotals;
use crate::ticket::Grant;
use crate::ticket::OfferResult;
use crate::ticket::Quote;
use crate::ticket::Rank;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::Work;
use crate::units::millis;

/// The version of the peer protocol that this build implements.
pub const PROTOCOL_VERSION: u32 = 2;

/// Reads a request id.
pub fn read_request(reader: schema::request_id::Reader<'_>) -> RequestId {
    RequestId {
        incarnation: Incarnation(reader.get_incarnation()),
        sequence: reader.get_sequence(),
    }
}

/// Writes a request id.
pub fn write_request(request: RequestId, mut builder: schema::request_id::Builder<'_>) {
    builder.set_incarnation(request.incarnation.0);
    builder.set_sequence(request.sequence);
}

/// Reads a ticket. Its deadline, objective and wait deadline are sent as
/// remaining times and become timestamps relative to `now` on the reader's clock.
pub fn read_ticket(reader: schema::ticket::Reader<'_>, now: Timestamp) -> Result<Ticket, Error> {
    Ok(Ticket {
        request: read_request(reader.get_request()?),
        organisation: Name::new(reader.get_organisation()?.to_str()?),
        rank: Rank::from(reader.get_order()),
        deadline: now + Duration::from_millis(reader.get_remaining_millis()),
        objective: now + Duration::from_millis(reader.get_objective_millis()),
        wait_deadline: now + Duration::from_millis(reader.get_patience_millis()),
        work: Work {
            prefill: reader.get_prefill_tokens(),
            cached: 0,
            output: reader.get_output_tokens(),
        },
        prefix: reader.get_prefix_chunks()?.iter().collect(),
        idempotent: reader.get_idempotent(),
        interval: Some(Duration::from_micros(reader.get_interval_micros()))
            .filter(|i| !i.is_zero()),
        run_start: Some(reader.get_registered_start()).filter(|s| *s != 0),
    })
}

/// Writes a ticket. Its deadline, objective and wait deadline are sent as the
/// times remaining after `now`, so that the two clocks don't have to agree.
pub fn write_ticket(ticket: &Ticket, now: Timestamp, mut builder: schema::ticket::Builder<'_>) {
    write_request(ticket.request, builder.reborrow().init_request());
    builder.set_organisation(ticket.organisation.as_str());
    builder.set_order(ticket.rank.tier);
    builder.set_remaining_millis(millis(now.until(ticket.deadline)));
    builder.set_objective_millis(millis(now.until(ticket.objective)));
    builder.set_patience_millis(millis(now.until(ticket.wait_deadline)));
    builder.set_prefill_tokens(ticket.work.prefill);
    builder.set_output_tokens(ticket.work.output);
    builder.set_idempotent(ticket.idempotent);
    let interval = ticket.interval.map_or(0, |i| i.as_micros());
    builder.set_interval_micros(u64::try_from(interval).unwrap_or(u64::MAX));
    builder.set_registered_start(ticket.run_start.unwrap_or_default());
    let mut chunks = builder.init_prefix_chunks(list_len(&ticket.prefix));
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
    let retry_after = Duration::from_millis(reader.get_retry_after_millis());
    Ok(Refusal::new(code, retry_after))
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
pub fn read_grant(reader: schema::grant::Reader<'_>) -> Result<Grant, Error> {
    Ok(Grant {
        id: GrantId(reader.get_id()),
        valid_for: Duration::from_millis(reader.get_valid_millis()),
        quote: read_quote(reader.get_quote()?),
    })
}

fn read_quote(reader: schema::quote::Reader<'_>) -> Quote {
    Quote {
        wait: Duration::from_millis(reader.get_start_millis()),
        cached: reader.get_cached_tokens(),
        saving: Duration::from_millis(reader.get_saving_millis()),
        answer_start: Duration::from_millis(reader.get_begin_millis()),
        answer_end: Duration::from_millis(reader.get_end_millis()),
    }
}

fn write_quote(quote: Quote, mut builder: schema::quote::Builder<'_>) {
    builder.set_start_millis(millis(quote.wait));
    builder.set_cached_tokens(quote.cached);
    builder.set_saving_millis(millis(quote.saving));
    builder.set_begin_millis(millis(quote.answer_start));
    builder.set_end_millis(millis(quote.answer_end));
}

/// Writes a grant.
pub fn write_grant(grant: Grant, mut builder: schema::grant::Builder<'_>) {
    builder.set_id(grant.id.0);
    builder.set_valid_millis(millis(grant.valid_for));
    write_quote(grant.quote, builder.init_quote());
}

/// Reads the answer to a ticket.
pub fn read_offered(reader: schema::offered::Reader<'_>) -> Result<OfferResult, Error> {
    use schema::offered::Which;

    Ok(match reader.which()? {
        Which::Queued(quote) => OfferResult::Queued(read_quote(quote?)),
        Which::Granted(grant) => OfferResult::Granted(read_grant(grant?)?),
        Which::Refused(refusal) => OfferResult::Refused(read_refusal(refusal?)?),
    })
}

/// Writes the answer to a ticket.
pub fn write_offered(offered: OfferResult, builder: schema::offered::Builder<'_>) {
    match offered {
        OfferResult::Queued(quote) => write_quote(quote, builder.init_queued()),
        OfferResult::Granted(grant) => write_grant(grant, builder.init_granted()),
        OfferResult::Refused(refusal) => write_refusal(refusal, builder.init_refused()),
    }
}

/// Reads the work that a finished request actually took.
pub fn read_usage(reader: schema::usage::Reader<'_>) -> Work {
    Work {
        prefill: reader.get_prefill_tokens(),
        cached: reader.get_cached_tokens(),
        output: reader.get_output_tokens(),
    }
}

/// Writes the work that a finished request actually took.
pub fn write_usage(work: Work, mut builder: schema::usage::Builder<'_>) {
    builder.set_prefill_tokens(work.prefill);
    builder.set_cached_tokens(work.cached);
    builder.set_output_tokens(work.output);
}

/// Reads an entry's report of the quota that it has spent.
pub fn read_report(reader: schema::spend_report::Reader<'_>) -> Result<QuotaReport, Error> {
    let read_spend = |spend: schema::spend::Reader<'_>| {
        Ok::<_, Error>(SpendTotals {
            organisation: Name::new(spend.get_organisation()?.to_str()?),
            spent: spend.get_spent(),
            window_sum: spend.get_window(),
        })
    };
    Ok(QuotaReport {
        from: Incarnation(reader.get_incarnation()),
        age: Duration::from_millis(reader.get_age_millis()),
        totals: reader
            .get_spends()?
            .iter()
            .map(read_spend)
            .collect::<Result<_, _>>()?,
    })
}

/// Writes an entry's report of the quota that it has spent.
pub fn write_report(report: &QuotaReport, mut builder: schema::spend_report::Builder<'_>) {
    builder.set_incarnation(report.from.0);
    builder.set_age_millis(millis(report.age));
    let mut spends = builder.init_spends(list_len(&report.totals));
    for (i, spend) in (0..).zip(&report.totals) {
        let mut item = spends.reborrow().get(i);
        item.set_organisation(spend.organisation.as_str());
        item.set_spent(spend.spent);
        item.set_window(spend.window_sum);
    }
}

/// Returns the length of a list as the protocol's integer type. The limit on
/// the size of messages keeps lengths far below `u32::MAX`.
pub fn list_len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
