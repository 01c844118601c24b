//! Refuses requests with parts of prompts that crash upstreams, and shares what is known
//! of these with the other entries.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use std::time::SystemTime;

use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::crash_suspects::Change;
use crate::crash_suspects::CrashId;
use crate::crash_suspects::CrashSuspects;
use crate::crash_suspects::SuspectReport;
use crate::crash_suspects::Verdict;
use crate::ids::id_of_digest;
use crate::name::Name;
use crate::prompt_parts::PartId;

#[cfg(test)]
mod tests;

/// The number of times that a changed table is sent to all other entries, against losses.
const REPEATS: u32 = 3;

/// The time before the start of the process in which reported events can lie. It is longer
/// than the table keeps them.
const PAST: Duration = Duration::from_secs(2 * 3600);

/// Crashes of one upstream within this period count once: several entries see each of
/// them. An upstream can be back under the same name after about as long.
const CRASH_PERIOD: Duration = Duration::from_secs(2);

/// Whom the table is to be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// All other entries, since the table has changed.
    All,
    /// One other entry, which may have started or missed reports.
    One,
}

/// The parts that were present at crashes.
pub struct Suspects {
    table: RefCell<CrashSuspects>,
    /// How often the table is still to be sent to all other entries.
    unsent: Cell<u32>,
    clock: Clock,
    log: Logger,
}

impl Suspects {
    /// Creates an empty table at the start of the entry.
    pub fn new(clock: Clock, log: Logger) -> Self {
        Self {
            table: RefCell::default(),
            unsent: Cell::new(0),
            clock,
            log,
        }
    }

    /// Returns the current time on the clock of the table, which begins in the past.
    fn now(&self) -> Timestamp {
        self.clock.now() + PAST
    }

    /// Records the complete answer to a prompt with these parts.
    pub fn record_success(&self, parts: &[PartId]) {
        let changes = self.table.borrow_mut().record_success(self.now(), parts);
        if !changes.is_empty() {
            self.unsent.set(REPEATS);
        }
        self.log_changes(&changes);
    }

    /// Records that the upstream `name` crashed under a prompt with these parts.
    pub fn record_crash(&self, name: &Name, parts: &[PartId]) {
        if parts.is_empty() {
            return;
        }
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let crash = crash_id(name, since_epoch.unwrap_or_default());
        let mut table = self.table.borrow_mut();
        let changes = table.record_crash(self.now(), crash, parts);
        self.unsent.set(REPEATS);
        self.log_changes(&changes);
    }

    /// Returns whether a request under which an upstream has crashed must not be sent
    /// again.
    pub fn may_crash_next(&self, parts: &[PartId]) -> bool {
        self.table.borrow().may_crash_next(self.now(), parts)
    }

    /// Decides on a request with these parts. `is_prober` returns whether this entry may
    /// probe a part.
    pub fn verdict<F>(&self, parts: &[PartId], is_prober: F) -> Verdict
    where
        F: Fn(PartId) -> bool,
    {
        self.table.borrow().verdict(self.now(), parts, is_prober)
    }

    /// Records that a request with these parts is sent as a probe.
    pub fn record_probe(&self, parts: &[PartId]) {
        self.table.borrow_mut().record_probe(self.now(), parts);
    }

    /// Returns the numbers of parts in the table and of convicted ones.
    pub fn counts(&self) -> (usize, usize) {
        let table = self.table.borrow();
        (table.len(), table.convicted().len())
    }

    /// Returns the message to send, and to whom; `None` if there is nothing to tell.
    pub fn next_message(&self) -> Option<(Vec<u8>, Audience)> {
        let now = self.now();
        let changes = self.table.borrow_mut().expire(now);
        self.log_changes(&changes);
        let table = self.table.borrow();
        if table.is_empty() {
            return None;
        }
        let audience = match self.unsent.get() {
            0 => Audience::One,
            unsent => {
                self.unsent.set(unsent - 1);
                Audience::All
            }
        };
        match serde_json::to_vec(&table.report(now)) {
            Ok(message) => Some((message, audience)),
            Err(e) => {
                warn!(self.log, "could not encode the report on suspects"; "error" => %e);
                None
            }
        }
    }

    /// Handles the message of another entry.
    pub fn receive(&self, message: &[u8]) {
        let report: SuspectReport = match serde_json::from_slice(message) {
            Ok(report) => report,
            Err(e) => {
                warn!(self.log, "could not decode the report on suspects"; "error" => %e);
                return;
            }
        };
        let (changes, knows_more) = self.table.borrow_mut().merge(self.now(), &report);
        if knows_more {
            self.unsent.set(self.unsent.get().max(1));
        }
        self.log_changes(&changes);
    }

    fn log_changes(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Suspected(part) => {
                    info!(self.log, "part of a prompt suspected of a crash"; "part" => %part);
                }
                Change::Convicted(part) => {
                    warn!(self.log, "requests with a part that crashes upstreams are refused";
                        "part" => %part);
                }
                Change::Cleared(part) => {
                    info!(self.log, "requests with a part are no longer refused";
                        "part" => %part);
                }
            }
        }
    }
}

/// Returns the id of the crash of an upstream that is seen `since_epoch`, by the time of
/// day. It is the same at all entries, but for those that see it at the end of a period.
fn crash_id(name: &Name, since_epoch: Duration) -> CrashId {
    let period = since_epoch.as_secs() / CRASH_PERIOD.as_secs();
    let digest = Sha256::new()
        .chain_update(period.to_le_bytes())
        .chain_update(name.as_bytes())
        .finalize();
    CrashId(id_of_digest(&digest))
}
