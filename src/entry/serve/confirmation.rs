//! Confirms the end of a resumable stream that has ended with its connection, by asking for
//! what follows its last event.

use std::ops::ControlFlow;
use std::time::Duration;

use slog::info;

use super::RequestTask;
use crate::clock::Timestamp;
use crate::dispatch::Action;
use crate::entry::error::CallerError;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::ticket::RefusalCode;

/// Longest time for which an upstream is sought that can be asked. The caller has all events
/// by then, and waits for the end.
const SEARCH_TIME: Duration = Duration::from_millis(500);

/// Longest time to the head of the reply to a question.
const REPLY_TIME: Duration = Duration::from_secs(1);

/// Largest number of questions of one request.
const MAX_QUESTIONS: u32 = 8;

/// The number of answers without events after which a stream counts as complete, if they have
/// ended with their connections too: each can have broken off after its head.
const CONFIRMING_REPLIES: usize = 2;

/// The questions for what follows the events of a stream.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// Until when an upstream is sought that can be asked; `None` while nothing is asked, or
    /// the question was sent.
    search_until: Option<Timestamp>,
    /// The only upstream that is asked; `None` if any can be.
    only: Option<Name>,
    /// The last event before the last question, while no more events have followed.
    asked_after: Option<u64>,
    /// The upstreams that have ended the stream after its last event. The first one has sent
    /// that event, unless the caller had it before.
    ended_by: Vec<Name>,
    /// The number of answers that have ended with their connection before any event, since the
    /// last event.
    empty_replies: usize,
    /// The number of questions.
    questions: u32,
    /// Whether more events have followed an end of the stream.
    has_ended_early: bool,
    /// Whether an upstream that has ended the stream after its last event is gone.
    is_sender_gone: bool,
}

impl Confirmation {
    /// Returns the time until which an upstream is sought that can be asked.
    pub(super) fn search_until(&self) -> Option<Timestamp> {
        self.search_until
    }

    /// Returns the only upstream that can be asked, if there is one.
    pub(super) fn only(&self) -> Option<&Name> {
        self.only.as_ref()
    }

    /// Returns whether a question was asked and no event has followed.
    pub(super) fn is_open(&self) -> bool {
        self.asked_after.is_some()
    }

    /// Records that `upstream` has ended the stream with its connection.
    fn record_end(&mut self, upstream: &Name, has_events: bool) {
        match has_events {
            true => {
                self.ended_by.clear();
                self.empty_replies = 0;
                self.is_sender_gone = false;
            }
            false => self.empty_replies += 1,
        }
        self.ended_by.push(upstream.clone());
    }

    /// Records that an upstream may have run the question, after which the caller has the
    /// events up to `last_event`. Returns whether more events have followed the end.
    fn record_sent(&mut self, last_event: Option<u64>) -> bool {
        self.end_search();
        let has_ended_early = self.is_open() && last_event != self.asked_after;
        if has_ended_early {
            self.has_ended_early = true;
            self.asked_after = None;
        }
        has_ended_early
    }

    /// Records that `upstream` did not get the question for this reason.
    pub(super) fn record_refused(&mut self, upstream: &Name, code: RefusalCode) {
        let is_gone = matches!(code, RefusalCode::Stale | RefusalCode::Unreachable);
        self.is_sender_gone |= is_gone && self.ended_by.contains(upstream);
    }

    /// Ends the search for an upstream that can be asked, since the one that is asked has
    /// begun to answer and is silent.
    pub(super) fn end_search(&mut self) {
        self.search_until = None;
        self.only = None;
    }

    fn record_question(&mut self, last_event: Option<u64>, until: Timestamp) {
        self.search_until = Some(until);
        self.asked_after = last_event;
        self.questions += 1;
    }
}

impl RequestTask {
    /// Handles the end of an answer of `upstream` with its connection: the rest is asked for
    /// until the end is confirmed, or can't be. Returns the outcome of the request, or the
    /// actions with which it goes on.
    pub(super) async fn confirm_end(
        &mut self,
        upstream: &Name,
    ) -> ControlFlow<Outcome, Vec<Action>> {
        let has_events = self.relay.has_answer_events();
        self.confirmation.record_end(upstream, has_events);
        if self.confirmation.empty_replies >= CONFIRMING_REPLIES {
            return ControlFlow::Break(self.end_stream().await);
        }
        match self.ask_for_rest(upstream) {
            Some(actions) => ControlFlow::Continue(actions),
            None => ControlFlow::Break(self.end_unconfirmed().await),
        }
    }

    /// Asks again after a question to `upstream` has failed. If that is not possible, the stream
    /// is cut off unless another reply had no events: a failure is no word that nothing follows.
    pub(super) async fn ask_again(&mut self, upstream: &Name) -> ControlFlow<Outcome, Vec<Action>> {
        if let Some(actions) = self.ask_for_rest(upstream) {
            return ControlFlow::Continue(actions);
        }
        let outcome = match self.confirmation.empty_replies {
            0 => self.fail(CallerError::UpstreamFailed).await,
            _ => self.end_unconfirmed().await,
        };
        ControlFlow::Break(outcome)
    }

    /// Asks for what follows an answer that `upstream` has ended with its connection. Returns
    /// `None` if that can't be asked.
    ///
    /// Another upstream is asked while the route has attempts, since it fails independently.
    /// Otherwise the same one is: attempts limit the number of upstreams.
    fn ask_for_rest(&mut self, upstream: &Name) -> Option<Vec<Action>> {
        if !self.can_fail_over()
            || self.confirmation.questions >= MAX_QUESTIONS
            || !self.state.may_confirm(&self.job.target)
        {
            return None;
        }
        let is_other_allowed = self.attempts < self.job.admission.route.attempts;
        let mut choices = match is_other_allowed {
            true => self.candidates_without(upstream),
            false => Vec::new(),
        };
        let only = choices.is_empty().then(|| upstream.clone());
        if only.is_some() {
            choices = self.candidates();
            choices.retain(|choice| choice.upstream == *upstream);
        }
        if choices.is_empty() || !self.state.try_retry(&self.job.target) {
            return None;
        }
        info!(self.state.log, "rest of the stream is asked for";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %upstream,
            "of_same" => only.is_some(),
            "attempts" => self.attempts);
        let until = self.state.now() + SEARCH_TIME;
        let last_event = self.relay.last_event();
        self.confirmation.record_question(last_event, until);
        self.confirmation.only = only;
        self.state.mark_waiting(self.request);
        self.begin_search();
        self.dispatch = Self::new_dispatch(&self.state, &self.job, choices);
        Some(self.dispatch.start())
    }

    /// Returns the time until which an upstream that is asked for the rest has to reply.
    pub(super) fn reply_until(&self) -> Option<Timestamp> {
        let is_question = self.confirmation.is_open();
        is_question.then(|| self.state.now() + REPLY_TIME)
    }

    /// Records that an upstream may have run the question, if one was asked.
    pub(super) fn record_answer_to_question(&mut self) {
        if self.confirmation.record_sent(self.relay.last_event()) {
            info!(self.state.log, "stream had ended early";
                "request" => %self.job.logged_id(self.request),
                "ended_by" => ?self.confirmation.ended_by,
                "last_event" => self.relay.last_event());
            let mut early_ends = self.state.early_ends.borrow_mut();
            early_ends.record(self.state.now(), &self.job.target);
        }
    }

    /// Returns whether there is a reason to believe no end of the stream without a confirmation.
    fn is_end_doubted(&self) -> bool {
        let early_ends = self.state.early_ends.borrow();
        self.confirmation.has_ended_early
            || self.confirmation.is_sender_gone
            || early_ends.contains(self.state.now(), &self.job.target)
    }

    /// Ends a stream that nobody could be asked about. Its end is believed unless there is a
    /// reason for doubt: the upstream that has sent it served after it, as the registered run or
    /// as one that does not tell its run. A doubted stream is cut off, so that its caller resumes
    /// it; one that is told of a whole stream does not come back.
    pub(super) async fn end_unconfirmed(&mut self) -> Outcome {
        match self.is_end_doubted() {
            true => self.fail(CallerError::UpstreamFailed).await,
            false => self.end_stream().await,
        }
    }

    /// Tells the caller that the stream is complete, unless a part of it is known to lack.
    async fn end_stream(&mut self) -> Outcome {
        if !self.relay.finish().await {
            return self.fail(CallerError::UpstreamFailed).await;
        }
        info!(self.state.log, "end of the stream is believed";
            "request" => %self.job.logged_id(self.request),
            "empty_replies" => self.confirmation.empty_replies,
            "last_event" => self.relay.last_event());
        self.state.streams.end(self.job.stream(self.request));
        match self.state.now() > self.deadline {
            true => Outcome::late,
            false => Outcome::good,
        }
    }
}
