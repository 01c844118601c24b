//! Loans of quota between entries: asking for units, and lending them to others.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use slog::Logger;
use slog::warn;
use tokio::sync::oneshot;

use crate::active_settings::ActiveSettings;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::datagram::DatagramKind;
use crate::entry::peers::Peers;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::quota::Borrower;
use crate::quota::Quota;
use crate::quota::QuotaBounds;
use crate::quota::REPORT_TIMEOUT;
use crate::quota::SpendError;
use crate::settings::QuotaRate;
use crate::settings::Settings;
use crate::units::millis;

#[cfg(test)]
mod tests;

/// The time after which a request for a loan is repeated.
const REQUEST_RETRY: Duration = Duration::from_millis(60);

/// The number of times that a request for a loan is sent without a reply.
const REQUEST_ATTEMPTS: u32 = 2;

/// Message between entries about loans.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum LoanMessage {
    /// Asks for units of an organisation's quota.
    Ask {
        /// Repeated in the reply.
        number: u64,
        organisation: Name,
        units: f64,
        /// The entry that asks, and its age from which its reports include the loan.
        entry: u64,
        reports_from_millis: u64,
    },
    /// The answer to the request with this number.
    Reply { number: u64, answer: LoanAnswer },
}

/// Answer to a request for a loan.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum LoanAnswer {
    Lent,
    /// Holds the time after which to ask again.
    Denied(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration),
}

/// The loans of one entry.
pub struct Loans {
    quota: Rc<RefCell<Quota>>,
    active_settings: Rc<ActiveSettings>,
    /// The requests of this entry that wait for a reply, by number.
    pending: RefCell<HashMap<u64, oneshot::Sender<LoanAnswer>>>,
    last_number: Cell<u64>,
    is_leaving: Cell<bool>,
    incarnation: Incarnation,
    /// The other entries; not set if this entry has no address for them.
    peers: OnceCell<Weak<Peers>>,
    clock: Clock,
    log: Logger,
}

impl Loans {
    /// Creates the state of an entry that starts.
    pub fn new(
        quota: Rc<RefCell<Quota>>,
        active_settings: Rc<ActiveSettings>,
        incarnation: Incarnation,
        clock: Clock,
        log: Logger,
    ) -> Self {
        Self {
            quota,
            active_settings,
            pending: RefCell::default(),
            last_number: Cell::default(),
            is_leaving: Cell::default(),
            incarnation,
            peers: OnceCell::new(),
            clock,
            log,
        }
    }

    /// Sets the other entries. Later calls have no effect.
    pub fn set_peers(&self, peers: &Rc<Peers>) {
        let _ = self.peers.set(Rc::downgrade(peers));
    }

    /// Records that this entry is stopping: others lend from now on.
    pub fn set_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Spends units that the entry has no credit for, if another one lends them.
    ///
    /// # Errors
    ///
    /// Fails with the time after which to try again.
    pub async fn borrow(&self, organisation: &Name, units: f64) -> Result<(), Duration> {
        let Some((_, bounds)) = quota_of(&self.active_settings.settings(), organisation) else {
            return Ok(());
        };
        let mut answer = None;
        for _ in 0..REQUEST_ATTEMPTS {
            answer = self.ask(organisation, units).await;
            if answer.is_some() {
                break;
            }
        }
        match answer {
            Some(LoanAnswer::Lent) => {
                let mut quota = self.quota.borrow_mut();
                quota.spend_lent(self.clock.now(), organisation, bounds, units);
                Ok(())
            }
            Some(LoanAnswer::Denied(retry_after)) => Err(retry_after),
            None => Err(SpendError::NoCredit.retry_after()),
        }
    }

    /// Asks the entry that lends the units of an organisation. `None` without a reply.
    async fn ask(&self, organisation: &Name, units: f64) -> Option<LoanAnswer> {
        let peers = self.peers.get().and_then(Weak::upgrade)?;
        let Some(lender) = peers.lender_of(organisation, self.is_leaving.get()) else {
            return self.lend(organisation, units, self.as_borrower());
        };
        let (pending, answer_rx) = self.begin();
        let borrower = self.as_borrower();
        let ask = LoanMessage::Ask {
            number: pending.number,
            organisation: organisation.clone(),
            units,
            entry: borrower.entry.0,
            reports_from_millis: millis(borrower.reports_from),
        };
        if let Some(message) = self.encode(&ask) {
            peers.send(DatagramKind::Loans, &message, &[lender]).await;
        }
        let answer = actix_rt::time::timeout(REQUEST_RETRY, answer_rx).await;
        answer.ok()?.ok()
    }

    /// Registers a request that waits for its reply until the result is dropped.
    fn begin(&self) -> (PendingAsk<'_>, oneshot::Receiver<LoanAnswer>) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (answer_tx, answer_rx) = oneshot::channel();
        self.pending.borrow_mut().insert(number, answer_tx);
        let pending = PendingAsk {
            loans: self,
            number,
        };
        (pending, answer_rx)
    }

    /// Returns this entry as it asks for a loan, which it spends or gives up within
    /// [`REQUEST_RETRY`].
    fn as_borrower(&self) -> Borrower {
        Borrower {
            entry: self.incarnation,
            reports_from: self.quota.borrow().age(self.clock.now()) + REQUEST_RETRY,
        }
    }

    /// Lends units to an entry. `None` shortly after the start of this one, when another
    /// may still lend.
    fn lend(&self, organisation: &Name, units: f64, borrower: Borrower) -> Option<LoanAnswer> {
        let now = self.clock.now();
        if now < Timestamp::new(REPORT_TIMEOUT) {
            return None;
        }
        let settings = self.active_settings.settings();
        let Some((rate, bounds)) = quota_of(&settings, organisation) else {
            // Settings may differ for a moment; without a quota there is nothing to lend.
            return Some(LoanAnswer::Lent);
        };
        let mut quota = self.quota.borrow_mut();
        let lent = quota.lend(now, organisation, rate, bounds, units, borrower);
        Some(match lent {
            Ok(()) => LoanAnswer::Lent,
            Err(retry_after) => LoanAnswer::Denied(retry_after),
        })
    }

    /// Handles the message of another entry and returns the reply to send, if any.
    pub fn receive(&self, message: &[u8], peer: SocketAddr) -> Option<Vec<u8>> {
        match serde_json::from_slice(message) {
            Ok(LoanMessage::Ask {
                number,
                organisation,
                units,
                entry,
                reports_from_millis,
            }) => {
                if !units.is_finite() || units < 0.0 {
                    warn!(self.log, "request for an invalid loan ignored";
                        "peer" => %peer,
                        "units" => units);
                    return None;
                }
                let peers = self.peers.get().and_then(Weak::upgrade)?;
                // Entries can disagree for a moment on who lends.
                if peers
                    .lender_of(&organisation, self.is_leaving.get())
                    .is_some()
                {
                    return None;
                }
                let borrower = Borrower {
                    entry: Incarnation(entry),
                    reports_from: Duration::from_millis(reports_from_millis),
                };
                let answer = self.lend(&organisation, units, borrower)?;
                self.encode(&LoanMessage::Reply { number, answer })
            }
            Ok(LoanMessage::Reply { number, answer }) => {
                if let Some(answer_tx) = self.pending.borrow_mut().remove(&number) {
                    // Fails only if the request was given up meanwhile.
                    let _ = answer_tx.send(answer);
                }
                None
            }
            Err(e) => {
                warn!(self.log, "could not decode a message on loans";
                    "peer" => %peer,
                    "error" => %e);
                None
            }
        }
    }

    fn encode(&self, message: &LoanMessage) -> Option<Vec<u8>> {
        serde_json::to_vec(message)
            .inspect_err(|e| {
                warn!(self.log, "could not encode a message on loans"; "error" => %e);
            })
            .ok()
    }
}

/// A request for a loan, which is forgotten on drop: its caller may leave meanwhile.
struct PendingAsk<'a> {
    loans: &'a Loans,
    number: u64,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        self.loans.pending.borrow_mut().remove(&self.number);
    }
}

/// Returns the quota of an organisation and the bounds that apply to it; `None` without
/// one.
pub fn quota_of(settings: &Settings, organisation: &Name) -> Option<(QuotaRate, QuotaBounds)> {
    let rate = settings.organisations.get(organisation)?.quota?;
    // `over` and `slack` are the tolerated use beyond the quota, as a fraction of it and in
    // tokens.
    let bounds = QuotaBounds {
        window: settings.limits.quota_window,
        over: settings.limits.quota_over,
        slack: settings.limits.quota_slack,
    };
    Some((rate, bounds))
}
