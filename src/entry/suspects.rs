//! What is known of requests and parts of prompts that crash upstreams, which the entries
//! share.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

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
use crate::crash_suspects::SuspectId;
use crate::crash_suspects::SuspectReport;
use crate::crash_suspects::Verdict;
use crate::ids::id_of_digest;
use crate::name::Name;
use crate::units::since_epoch;

#[cfg(test)]
mod tests;

/// The number of times that a changed table is sent to a few other entries, which tell
/// others.
const REPEATS: u32 = 3;

/// The time before the start of the process in which reported events can lie. It is longer
/// than the table keeps them.
const PAST: Duration = Duration::from_secs(48 * 3600);

/// Crashes of one upstream within this period count once: several entries see each of
/// them. An upstream can be back under the same name after about as long.
const CRASH_PERIOD: Duration = Duration::from_secs(2);

/// Whom the table is to be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// All other entries, since the table has changed.
    All,
    /// A few other entries, which pass on what is new to them.
    Few,
    /// One other entry, which may have started or missed reports.
    One,
}

/// The requests and parts of prompts that were present at crashes.
pub struct Suspects {
    table: RefCell<CrashSuspects>,
    /// How often the table is still to be sent to a few other entries.
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

    /// Returns whether nothing was present at a crash.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Records the complete answer to a request with these ids.
    pub fn record_success(&self, ids: &[SuspectId]) {
        let changes = self.table.borrow_mut().record_success(self.now(), ids);
        if !changes.is_empty() {
            self.unsent.set(REPEATS);
        }
        self.log_changes(&changes);
    }

    /// Records that the upstream `name` crashed under a request with these ids.
    pub fn record_crash(&self, name: &Name, ids: &[SuspectId]) {
        let crash = crash_id(name, since_epoch());
        let mut table = self.table.borrow_mut();
        let changes = table.record_crash(self.now(), crash, ids);
        self.unsent.set(REPEATS);
        self.log_changes(&changes);
    }

    /// Returns whether a request under which an upstream has crashed must not be sent
    /// again.
    pub fn may_crash_next(&self, ids: &[SuspectId]) -> bool {
        self.table.borrow().may_crash_next(self.now(), ids)
    }

    /// Decides on a request with these ids. `is_prober` returns whether this entry may
    /// probe a suspect.
    pub fn verdict<F>(&self, ids: &[SuspectId], is_prober: F) -> Verdict
    where
        F: Fn(SuspectId) -> bool,
    {
        self.table.borrow().verdict(self.now(), ids, is_prober)
    }

    /// Records that a request with these ids is sent as a probe.
    pub fn record_probe(&self, ids: &[SuspectId]) {
        self.table.borrow_mut().record_probe(self.now(), ids);
    }

    /// Returns the numbers of suspects and of convicted ones.
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
                Audience::Few
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
        let (changes, has_news) = self.table.borrow_mut().merge(self.now(), &report);
        if has_news {
            self.unsent.set(REPEATS);
        }
        self.log_changes(&changes);
    }

    /// Returns a report on what is convicted.
    pub fn convicted(&self) -> SuspectReport {
        self.table.borrow().convicted_report(self.now())
    }

    /// Restores what was convicted before this entry started.
    pub fn restore(&self, convicted: &SuspectReport) {
        let (changes, _) = self.table.borrow_mut().merge(self.now(), convicted);
        self.log_changes(&changes);
    }

    fn log_changes(&self, changes: &[Change]) {
        for change in changes {
            match change {
                // Each crash takes sound requests along, which are suspected once.
                Change::Suspected(SuspectId::Request(_)) => {}
                Change::Suspected(suspect) => {
                    info!(self.log, "part of a prompt suspected of a crash";
                        "suspect" => %suspect);
                }
                Change::Convicted(suspect) => {
                    warn!(self.log, "requests that crash upstreams are refused";
                        "suspect" => %suspect);
                }
                Change::Cleared(suspect) => {
                    info!(self.log, "requests that had crashed upstreams are no longer refused";
                        "suspect" => %suspect);
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
