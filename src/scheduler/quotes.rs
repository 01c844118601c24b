//! The expected times of a ticket at one upstream.

use std::time::Duration;

use super::Scheduler;
use crate::clock::Timestamp;
use crate::ticket::Quote;
use crate::ticket::Ticket;

/// The smallest share of an upstream assumed to be available to a tier.
const MIN_AVAILABLE_SHARE: f64 = 0.05;

impl Scheduler {
    /// Returns the expected times of a ticket that is offered now.
    pub(super) fn quote(&self, now: Timestamp, ticket: &Ticket) -> Quote {
        let prefill_delay = self.pace.prefill_time(self.unanswered_prefill());
        Quote {
            wait: self.wait_for(now, ticket),
            cached: ticket.work.cached,
            saving: self.pace.prefill_time(ticket.work.cached),
            answer_start: prefill_delay + self.pace.answer_start_time(ticket.work.uncached()),
            answer_end: prefill_delay + self.pace.service_time(ticket.work),
        }
    }

    /// Returns the expected time until a ticket is granted.
    fn wait_for(&self, now: Timestamp, ticket: &Ticket) -> Duration {
        let wait_for_slot = match self.has_slot_for(ticket) {
            true => Duration::ZERO,
            false => self.wait_for_slot(now, ticket),
        };
        wait_for_slot
            .max(self.wait_for_memory(ticket))
            .max(self.wait_for_rate(now, ticket))
            .max(self.wait_for_prompt_group(now, ticket))
    }

    /// Returns the expected time until a ticket's prompt does not stall the running streams.
    /// The prompts ahead in the queue are taken to be as long as its own.
    fn wait_for_prompt_group(&self, now: Timestamp, ticket: &Ticket) -> Duration {
        if self.config.stream_pauses.is_none() {
            return Duration::ZERO;
        }
        let ahead = self.queue.count_ahead(ticket.rank) as f64 * self.served_share;
        let own = self.pace.prefill_time(ticket.work.uncached());
        let behind = own.mul_f64(ahead);
        if self.spares_streams(now, ticket) {
            return behind;
        }
        let group = match self.next_prompt_group() {
            Some(at) => now.until(at),
            None => self.pace.prefill_time(self.unanswered_prefill()),
        };
        group + behind
    }

    /// Returns the expected time until the upstream has memory for a ticket: the requests
    /// there end evenly spread over the mean time of one.
    fn wait_for_memory(&self, ticket: &Ticket) -> Duration {
        let missing = self.missing_memory(ticket) as f64;
        let committed = self.committed_memory().max(1) as f64;
        let fraction = (missing / committed).min(1.0);
        self.pace.mean_service_time().mul_f64(fraction)
    }

    /// Returns the expected time until the rate limit of the upstream leaves room for a
    /// ticket behind those that are granted or ahead of it in the queue.
    fn wait_for_rate(&self, now: Timestamp, ticket: &Ticket) -> Duration {
        let ahead = self.queue.count_ahead(ticket.rank) as f64;
        let served_here = (ahead * self.served_share).round() as usize;
        let opens_at = self.rate_gate.opens_at(self.grants.len() + served_here);
        opens_at.map_or(Duration::ZERO, |at| now.until(at))
    }

    /// Returns the expected time until there is a slot for a ticket. It is estimated from
    /// the work ahead and the share of the slots that higher tiers leave, since
    /// their work keeps arriving. It is at least the time that the oldest ticket
    /// ahead has waited: the estimate includes only as much later work of higher
    /// tiers as was sent recently.
    fn wait_for_slot(&self, now: Timestamp, ticket: &Ticket) -> Duration {
        let weight = self.weight(&ticket.organisation);
        let cost_ahead = self
            .queue
            .cost_ahead(ticket.rank, &ticket.organisation, weight);
        let time_to_next_slot = self.pace.mean_service_time() / self.slots_divisor();
        let oldest = self.queue.oldest_ahead(ticket.rank, &ticket.organisation);
        let waited = oldest.map_or(Duration::ZERO, |queued_at| now.since(queued_at));
        let slots = self.config.slots as f64;
        let available = 1.0 - self.tier_load.slots_above(now, ticket.rank) / slots;
        let expected = (time_to_next_slot + self.backlog_time(cost_ahead))
            .div_f64(available.max(MIN_AVAILABLE_SHARE));
        waited.max(expected)
    }

    /// Returns the expected time until waiting work of this cost has left the
    /// queue. The cost is taken as microseconds of slot time, so the result is a
    /// rough value for a cost in tokens, see [`Scheduler::ticket_cost`].
    pub(super) fn backlog_time(&self, cost: u64) -> Duration {
        let served_here = Duration::from_micros(cost).mul_f64(self.served_share);
        served_here / self.slots_divisor()
    }

    /// Returns the number of slots, but at least 1, as a divisor of durations.
    pub(super) fn slots_divisor(&self) -> u32 {
        u32::try_from(self.config.slots).unwrap_or(u32::MAX).max(1)
    }
}
