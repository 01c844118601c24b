//! Paces the prompts that an engine processes, so that they don't stall its streams.
//!
//! An engine that batches processes prompts in chunks between the tokens of the requests that
//! it runs. While one prompt follows another, each event of a stream takes several chunks; on
//! an engine that is slow, or slowed down for a moment, all its streams then pause for longer
//! than their callers accept. So prompts are granted in groups that take a part of the longest
//! pause, and each stream can send an event between two groups.

use std::time::Duration;

use super::Scheduler;
use super::config::StreamPauses;
use crate::clock::Timestamp;
use crate::ticket::Ticket;

/// Part of the longest pause that a group of prompts may take. An engine whose host is shared
/// is some 2.5 times slower for a moment, so a group that takes this part still ends in time.
const GROUP_FRACTION: f64 = 0.4;

/// Longest time between two groups, as a part of the longest pause. Measured times for a token
/// include stalls, so the time for an event can be overestimated.
const MAX_GAP_FRACTION: f64 = 0.25;

/// The expected prefill of an engine.
#[derive(Debug, Default)]
pub(super) struct PrefillPacing {
    /// When the current group of prompts began.
    group_began: Timestamp,
    /// When the prompts that were granted are expected to be processed.
    busy_until: Timestamp,
}

impl PrefillPacing {
    /// Returns whether a prompt that takes `prefill` may be granted beside streams that may
    /// pause for at most `pauses`. `token_time` is the time for a token of a stream, and
    /// `is_processing` says whether a prompt was not answered yet: times for prompts that
    /// overlap are underestimated.
    pub(super) fn is_open(
        &self,
        now: Timestamp,
        prefill: Duration,
        pauses: StreamPauses,
        token_time: Duration,
        is_processing: bool,
    ) -> bool {
        if !is_processing && now >= self.opens_at(pauses, token_time) {
            return true;
        }
        let ends = now.max(self.busy_until) + prefill;
        ends.since(self.group_began) <= pauses.longest.mul_f64(GROUP_FRACTION)
    }

    /// Returns when the next group may begin.
    pub(super) fn opens_at(&self, pauses: StreamPauses, token_time: Duration) -> Timestamp {
        let events = u32::try_from(pauses.event_tokens).unwrap_or(u32::MAX);
        let gap = token_time.saturating_mul(events);
        self.busy_until + gap.min(pauses.longest.mul_f64(MAX_GAP_FRACTION))
    }

    /// Records the grant of a prompt, given whether another one was not answered yet.
    pub(super) fn record_grant(&mut self, now: Timestamp, prefill: Duration, is_processing: bool) {
        if !is_processing && now >= self.busy_until {
            self.group_began = now;
        }
        self.busy_until = now.max(self.busy_until) + prefill;
    }

    /// Records that a grant was not used.
    pub(super) fn record_revoked(&mut self, prefill: Duration) {
        self.busy_until = self.busy_until.before(prefill).max(self.group_began);
    }

    /// Records that all prompts are processed.
    pub(super) fn record_idle(&mut self, now: Timestamp) {
        self.busy_until = self.busy_until.min(now);
    }
}

impl Scheduler {
    /// Returns the uncached prompt tokens of the requests that are granted, or
    /// sent and not answered yet.
    pub(super) fn unanswered_prefill(&self) -> u64 {
        let granted = self.grants.values().map(|g| &g.ticket);
        let running = self.running.values().filter(|r| r.answer_started.is_none());
        let unanswered = granted.chain(running.map(|r| &r.ticket));
        unanswered.map(|t| t.work.uncached()).sum()
    }

    /// Returns whether the prompt of a ticket does not stall the running streams for too long.
    pub(super) fn spares_streams(&self, now: Timestamp, ticket: &Ticket) -> bool {
        let Some(pauses) = self.config.stream_pauses else {
            return true;
        };
        let prefill = self.pace.prefill_time(ticket.work.uncached());
        let streams = self.running.values().any(|r| r.answer_started.is_some());
        let token_time = self.token_time();
        let is_processing = self.unanswered_prefill() > 0;
        !streams
            || self
                .prefill_pacing
                .is_open(now, prefill, pauses, token_time, is_processing)
    }

    /// Returns when the next group of prompts may begin; `None` while a prompt was not
    /// answered yet, whose answer is waited for.
    pub(super) fn next_prompt_group(&self) -> Option<Timestamp> {
        let pauses = self.config.stream_pauses?;
        let is_processing = self.unanswered_prefill() > 0;
        (!is_processing).then(|| self.prefill_pacing.opens_at(pauses, self.token_time()))
    }

    /// Returns the time in which a running stream gets a token.
    fn token_time(&self) -> Duration {
        let (_, seconds) = self.pace.seconds_per_token();
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}
