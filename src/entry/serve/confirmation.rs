//! Confirms the end of a resumable stream that has ended with its connection, by asking for
//! what follows its last event.

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

/// Largest number of questions of one request.
const MAX_QUESTIONS: u32 = 8;

/// The questions for what follows the events of a stream.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// Until when an upstream is sought that can be asked; `None` while nothing is asked, or
    /// the question was sent.
    search_until: Option<Timestamp>,
    /// The only upstream that is asked; `None` if any can be.
    only: Option<Name>,
    /// The last event before the last question.
    asked_after: Option<u64>,
    /// The upstream that has ended the stream.
    ended_by: Option<Name>,
    /// The number of questions.
    questions: u32,
    /// Whether no end of the stream is believed without a confirmation: more events have
    /// followed an earlier one, or the upstream that has ended it is gone.
    is_doubted: bool,
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

    /// Records that an upstream may have run the question, after which the caller has the
    /// events up to `last_event`. Returns the upstream that has ended the stream, if more events
    /// have followed.
    pub(super) fn record_sent(&mut self, last_event: Option<u64>) -> Option<Name> {
        self.search_until = None;
        self.only = None;
        let asked_after = self.asked_after.take();
        let has_ended_early = asked_after.is_some() && last_event > asked_after;
        self.is_doubted |= has_ended_early;
        self.ended_by.clone().filter(|_| has_ended_early)
    }

    /// Records that `upstream` did not get the question for this reason.
    pub(super) fn record_refused(&mut self, upstream: &Name, code: RefusalCode) {
        let is_gone = matches!(code, RefusalCode::Stale | RefusalCode::Unreachable);
        self.is_doubted |= is_gone && self.ended_by.as_ref() == Some(upstream);
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
    /// Asks for what follows an answer that `upstream` has ended with its connection. Returns
    /// `None` if that can't be asked.
    ///
    /// Another upstream is asked while the route has attempts, since it fails independently.
    /// Otherwise the same one is: attempts limit the number of upstreams.
    pub(super) fn ask_for_rest(&mut self, upstream: &Name) -> Option<Vec<Action>> {
        self.confirmation.ended_by = Some(upstream.clone());
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

    /// Records that an upstream may have run the question, if one was asked.
    pub(super) fn record_answer_to_question(&mut self) {
        let last_event = self.relay.last_event();
        if let Some(upstream) = self.confirmation.record_sent(last_event) {
            info!(self.state.log, "stream of the upstream had ended early";
                "request" => %self.job.logged_id(self.request),
                "upstream" => %upstream);
            let now = self.state.now();
            self.state.early_ends.borrow_mut().record(now, upstream);
        }
    }

    /// Returns whether the end of the stream needs a confirmation. Where streams of an upstream
    /// have ended early, the retry budget is soon used up by questions.
    fn is_end_doubted(&self) -> bool {
        let early_ends = self.state.early_ends.borrow();
        let now = self.state.now();
        let ended_by = self.confirmation.ended_by.as_ref();
        self.confirmation.is_doubted || ended_by.is_some_and(|u| early_ends.contains(now, u))
    }

    /// Ends a stream that nobody could be asked about. Its end is believed unless there is a
    /// reason for doubt: the upstream that has sent it served after it, as the registered run or
    /// as one that does not tell its run.
    pub(super) async fn end_unconfirmed(&mut self) -> Outcome {
        if self.is_end_doubted() || !self.relay.finish().await {
            return self.fail(CallerError::UpstreamFailed).await;
        }
        info!(self.state.log, "end of the stream is believed";
            "request" => %self.job.logged_id(self.request),
            "last_event" => self.relay.last_event());
        self.state.streams.end(self.job.stream(self.request));
        match self.state.now() > self.deadline {
            true => Outcome::late,
            false => Outcome::good,
        }
    }
}
