//! Keeps the requests of an engine within its memory.
//!
//! An engine holds the tokens of the prompts and the outputs of its requests, and crashes
//! or evicts requests if they exceed its memory.

use super::Scheduler;
use crate::clock::Timestamp;
use crate::scheduler::Notice;
use crate::ticket::Ticket;
use crate::ticket::Work;

/// The largest memory that is believed, in tokens. It is far above that of any engine.
const MAX_MEMORY_TOKENS: u64 = 1 << 40;

/// The memory of an engine as it reports it, in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedMemory {
    /// The tokens of the requests that it holds.
    pub used: u64,
    /// The maximum number of tokens.
    pub total: u64,
}

impl ReportedMemory {
    /// Returns whether the numbers can be those of an engine.
    fn is_plausible(self) -> bool {
        (1..=MAX_MEMORY_TOKENS).contains(&self.total) && self.used <= self.total
    }
}

/// The memory of an engine as it last reported it.
#[derive(Debug, Default)]
pub(super) struct EngineMemory {
    /// The last plausible report; its `used` is without the requests that have ended since.
    reported: Option<ReportedMemory>,
}

impl EngineMemory {
    /// Records the end of a request.
    pub(super) fn release(&mut self, work: Work) {
        if let Some(reported) = &mut self.reported {
            reported.used = reported.used.saturating_sub(tokens(work));
        }
    }
}

impl Scheduler {
    /// Records the memory that the upstream reports; `None` if it reports none. Returns
    /// whether the numbers can be those of an engine; others change nothing.
    pub fn set_reported_memory(
        &mut self,
        now: Timestamp,
        reported: Option<ReportedMemory>,
    ) -> (bool, Vec<Notice>) {
        if reported.is_some_and(|r| !r.is_plausible()) {
            return (false, Vec::new());
        }
        self.memory.reported = reported;
        (true, self.grant_waiting(now))
    }

    /// Returns the maximum number of tokens of the upstream's requests; `None` if it is not
    /// known. The lower of the configured and the reported one applies.
    pub fn memory_limit(&self) -> Option<u64> {
        let reported = self.memory.reported.map(|r| r.total);
        let limits = self.config.memory_tokens.into_iter().chain(reported);
        limits.filter(|tokens| *tokens > 0).min()
    }

    /// Returns the tokens for which the upstream needs memory: those of the granted and sent
    /// requests, or more if it reports to hold more than the sent ones.
    pub fn committed_memory(&self) -> u64 {
        let granted = self.grants.values().map(|g| tokens(g.ticket.work));
        let running = self.running.values().map(|r| tokens(r.ticket.work));
        let used = self.memory.reported.map_or(0, |r| r.used);
        sum(granted).saturating_add(sum(running).max(used))
    }

    /// Returns the tokens that have to be released before `ticket` fits in the memory of the
    /// upstream. A request that would never fit is granted while nothing else runs there.
    pub(super) fn missing_memory(&self, ticket: &Ticket) -> u64 {
        match self.memory_limit() {
            Some(limit) if self.occupied_slots() > 0 => {
                let needed = self.committed_memory().saturating_add(tokens(ticket.work));
                needed.saturating_sub(limit)
            }
            Some(_) | None => 0,
        }
    }
}

/// Returns the tokens for which a request needs memory.
fn tokens(work: Work) -> u64 {
    work.prefill.saturating_add(work.output)
}

fn sum<I>(tokens: I) -> u64
where
    I: Iterator<Item = u64>,
{
    tokens.fold(0, u64::saturating_add)
}
