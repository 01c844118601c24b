//! Permits to send requests to upstreams with a rate limit: issuing them to all entries,
//! and asking for them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use super::UpstreamLimits;
use crate::clock::Timestamp;
use crate::datagram::DatagramKind;
use crate::name::Name;
use crate::quota::REPORT_TIMEOUT;
use crate::rate_limits::PermitAnswer;
use crate::rate_limits::PermitId;
use crate::rate_limits::PermitIssuer;
use crate::rate_limits::PermitRequest;
use crate::wire::limits::LimitMessage;
use crate::wire::limits::NamedReport;
use crate::wire::limits::PermitReply;
use crate::wire::limits::encode;

/// The time after which a request for a permit is repeated.
const REQUEST_RETRY: Duration = Duration::from_millis(60);

/// The time after which a request that waits for its permit is repeated.
const QUEUED_RETRY: Duration = Duration::from_millis(200);

/// The number of times that a request for a permit is sent without a reply.
const REQUEST_ATTEMPTS: u32 = 3;

/// Time after which to ask again if the entry that issues the permits does not reply.
const NO_REPLY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Weight of one reply in the moving average of the number of waiting entries.
const REPLY_WEIGHT: f64 = 0.3;

/// The requests of this entry that wait for permits.
#[derive(Default)]
pub(super) struct PendingPermits {
    answers: RefCell<HashMap<u64, watch::Sender<Option<PermitAnswer>>>>,
    last_number: Cell<u64>,
    /// The average number of other entries that wait for permits of an upstream.
    other_entries: RefCell<HashMap<Name, f64>>,
}

impl PendingPermits {
    /// Returns the average number of other entries that wait for permits of an upstream.
    pub(super) fn other_entries(&self, upstream: &Name) -> f64 {
        let other_entries = self.other_entries.borrow();
        other_entries.get(upstream).copied().unwrap_or_default()
    }

    /// Forgets the upstreams for which `keep` returns false.
    pub(super) fn retain<F>(&self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.other_entries
            .borrow_mut()
            .retain(|upstream, _| keep(upstream));
    }

    fn record_other_entries(&self, upstream: &Name, count: usize) {
        let mut other_entries = self.other_entries.borrow_mut();
        let average = other_entries.entry(upstream.clone()).or_default();
        *average += REPLY_WEIGHT * (count as f64 - *average);
    }

    fn begin(&self) -> PendingPermit<'_> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (answer_tx, answer_rx) = watch::channel(None);
        self.answers.borrow_mut().insert(number, answer_tx);
        PendingPermit {
            permits: self,
            number,
            answer_rx,
        }
    }

    fn answer(&self, number: u64, answer: PermitAnswer) {
        if let Some(answer_tx) = self.answers.borrow().get(&number) {
            answer_tx.send_replace(Some(answer));
        }
    }
}

/// A request for a permit, which is forgotten on drop.
struct PendingPermit<'a> {
    permits: &'a PendingPermits,
    number: u64,
    answer_rx: watch::Receiver<Option<PermitAnswer>>,
}

impl PendingPermit<'_> {
    /// Waits for a new answer. Returns the last one, or `None` if none came in time.
    async fn next_answer(&mut self, time: Duration) -> Option<PermitAnswer> {
        let changed = actix_rt::time::timeout(time, self.answer_rx.changed());
        changed.await.ok()?.ok()?;
        *self.answer_rx.borrow_and_update()
    }
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        self.permits.answers.borrow_mut().remove(&self.number);
    }
}

impl UpstreamLimits {
    /// Waits for the permit to send a request to an upstream, for `max_wait` at most.
    /// Without a limit, none is needed.
    ///
    /// # Errors
    ///
    /// Fails with the expected time until there is a permit.
    pub async fn acquire(
        &self,
        upstream: &Name,
        rank: u8,
        max_wait: Duration,
    ) -> Result<(), Duration> {
        let until = self.clock.now() + max_wait;
        let mut pending = self.pending.begin();
        let mut unanswered = 0;
        let mut retry = REQUEST_RETRY;
        while self.get(upstream).is_some() {
            let left = self.clock.now().until(until);
            if left.is_zero() {
                return Err(self.own_interval(upstream).unwrap_or_default());
            }
            if unanswered == REQUEST_ATTEMPTS {
                return Err(NO_REPLY_RETRY_AFTER);
            }
            let request = PermitRequest {
                id: PermitId {
                    entry: self.incarnation,
                    number: pending.number,
                },
                rank,
                max_wait: left,
            };
            self.ask(upstream, request).await;
            match pending.next_answer(retry.min(left)).await {
                // A stalled entry would send what it was granted meanwhile all at once.
                Some(PermitAnswer::Granted) if self.clock.now() <= until + REQUEST_RETRY => {
                    return Ok(());
                }
                Some(PermitAnswer::Granted) => return Err(NO_REPLY_RETRY_AFTER),
                Some(PermitAnswer::Denied(wait)) => return Err(wait),
                Some(PermitAnswer::Queued) => (unanswered, retry) = (0, QUEUED_RETRY),
                None => unanswered += 1,
            }
        }
        Ok(())
    }

    /// Sends a request for a permit to the entry that issues those of the upstream.
    async fn ask(&self, upstream: &Name, request: PermitRequest) {
        let peers = self.peers();
        let issuer = peers
            .as_ref()
            .and_then(|p| p.issuer_of(upstream, self.is_leaving.get()));
        let (Some(peers), Some(issuer)) = (peers, issuer) else {
            if let Some(answer) = self.issue(upstream, request) {
                self.pending.answer(request.id.number, answer);
            }
            return;
        };
        if let Some(report) = self.report(upstream) {
            let message = encode(&LimitMessage::Request(request, report));
            peers.send(DatagramKind::Limits, &message, &[issuer]).await;
        }
    }

    /// Handles the message of another entry and returns the reply to send, if any.
    pub fn receive(&self, message: LimitMessage, peer: SocketAddr) -> Option<Vec<u8>> {
        match message {
            LimitMessage::Limits(reports) => {
                reports.iter().for_each(|report| self.merge(report));
                None
            }
            LimitMessage::Request(request, report) => {
                self.merge(&report);
                let upstream = &report.0;
                let peers = self.peers()?;
                // Entries can disagree for a moment on who issues the permits.
                if peers.issuer_of(upstream, self.is_leaving.get()).is_some() {
                    return None;
                }
                let answer = self.issue(upstream, request)?;
                self.askers.borrow_mut().insert(request.id.entry, peer);
                Some(encode(&self.reply(
                    request.id,
                    answer,
                    self.report(upstream)?,
                )))
            }
            LimitMessage::Reply(reply) => {
                self.merge(&reply.report);
                self.pending
                    .record_other_entries(&reply.report.0, reply.other_entries);
                self.pending.answer(reply.number, reply.answer);
                None
            }
            LimitMessage::Leaving(_) => None,
        }
    }

    /// Answers a request for a permit that this entry issues. `None` shortly after its
    /// start, when another one may still issue the permits of the upstream.
    fn issue(&self, upstream: &Name, request: PermitRequest) -> Option<PermitAnswer> {
        let Some(interval) = self.interval(upstream) else {
            return Some(PermitAnswer::Granted);
        };
        if self.peers().is_some() && self.clock.now() < Timestamp::new(REPORT_TIMEOUT) {
            return None;
        }
        let now = self.clock.now();
        let mut issuers = self.issuers.borrow_mut();
        let issuer = issuers
            .entry(upstream.clone())
            .or_insert_with(|| PermitIssuer::new(now, interval));
        issuer.set_interval(interval);
        let answer = issuer.request(now, request);
        if request.id.entry == self.incarnation {
            let others = issuer.other_entries(self.incarnation);
            self.pending.record_other_entries(upstream, others);
        }
        if answer == PermitAnswer::Queued {
            self.waiting.notify_one();
        }
        Some(answer)
    }

    fn reply(&self, id: PermitId, answer: PermitAnswer, report: NamedReport) -> LimitMessage {
        let issuers = self.issuers.borrow();
        let issuer = issuers.get(&report.0);
        LimitMessage::Reply(PermitReply {
            number: id.number,
            answer,
            other_entries: issuer.map_or(0, |i| i.other_entries(id.entry)),
            report,
        })
    }

    /// Issues permits as they become due, until the task is aborted.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next_due = self
                .issuers
                .borrow()
                .values()
                .filter_map(PermitIssuer::next_due)
                .min();
            match next_due {
                None => self.waiting.notified().await,
                Some(at) => {
                    let at = self.clock.instant(at);
                    tokio::select! {
                        () = self.waiting.notified() => {}
                        () = actix_rt::time::sleep_until(at.into()) => self.issue_due().await,
                    }
                }
            }
        }
    }

    async fn issue_due(&self) {
        let now = self.clock.now();
        let mut granted: Vec<(Name, PermitId)> = Vec::new();
        for (upstream, issuer) in self.issuers.borrow_mut().iter_mut() {
            if let Some(interval) = self.interval(upstream) {
                issuer.set_interval(interval);
            }
            let ids = issuer.issue(now).into_iter();
            granted.extend(ids.map(|id| (upstream.clone(), id)));
        }
        for (upstream, id) in granted {
            if id.entry == self.incarnation {
                self.pending.answer(id.number, PermitAnswer::Granted);
            } else {
                self.send_grant(&upstream, id).await;
            }
        }
    }

    async fn send_grant(&self, upstream: &Name, id: PermitId) {
        let asker = self.askers.borrow().get(&id.entry).copied();
        let (Some(peers), Some(asker)) = (self.peers(), asker) else {
            return;
        };
        if let Some(report) = self.report(upstream) {
            let message = encode(&self.reply(id, PermitAnswer::Granted, report));
            peers.send(DatagramKind::Limits, &message, &[asker]).await;
        }
    }
}
