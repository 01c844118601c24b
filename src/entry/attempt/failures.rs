//! Failures of an attempt: their log lines, and what they say of the upstream.

use std::error::Error;

use slog::info;

use super::Attempt;
use super::AttemptResult;
use super::UNREACHABLE_RETRY_AFTER;
use super::running::AnswerProgress;
use super::running::RunningAnswer;
use crate::answer_verdict::AnswerMarks;
use crate::entry::relay::Relay;
use crate::exchange::ExchangeError;
use crate::exchange::Framing;
use crate::outlier::UpstreamResult;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::units::millis;

impl Attempt {
    pub(super) fn report_silence(&self, running: &RunningAnswer) -> AttemptResult {
        info!(self.state.log, "upstream sent nothing within the idle timeout";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "silent_ms" => millis(running.silence.silent()),
            "stalled_ms" => millis(running.silence.stalled()));
        AttemptResult::Silent
    }

    pub(super) fn fail_incomplete(&self, relay: &Relay) -> AttemptResult {
        info!(self.state.log, "answer of the upstream ended before it was complete";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "framing" => relay.framing().map(Framing::name),
            "partial_bytes" => relay.partial_bytes());
        self.is_broken_off.set(true);
        self.state
            .record_result(&self.upstream, UpstreamResult::Failed);
        AttemptResult::Interrupted
    }

    pub(super) fn fail_foreign(&self, status: u16, marks: Option<AnswerMarks>) -> AttemptResult {
        info!(self.state.log, "answer is not the upstream's own";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "status" => status,
            "marks" => ?marks);
        self.state
            .record_result(&self.upstream, UpstreamResult::Failed);
        AttemptResult::Interrupted
    }

    pub(super) fn fail_doubtful(&self, status: u16) -> AttemptResult {
        info!(self.state.log, "upstream refused a request that may have run";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "status" => status);
        self.state
            .record_result(&self.upstream, UpstreamResult::Failed);
        AttemptResult::Interrupted
    }

    pub(super) fn fail_exchange(
        &self,
        e: &ExchangeError,
        progress: AnswerProgress,
    ) -> AttemptResult {
        info!(self.state.log, "exchange with the upstream failed";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "answer" => progress.name(),
            "cause" => e.source().map(ToString::to_string),
            "error" => %e);
        if e.is_not_sent() {
            return self.fail_unreachable();
        }
        self.is_broken_off.set(true);
        self.state
            .record_result(&self.upstream, UpstreamResult::Failed);
        AttemptResult::Interrupted
    }

    pub(super) fn fail_unreachable(&self) -> AttemptResult {
        self.state
            .record_result(&self.upstream, UpstreamResult::Unreachable);
        AttemptResult::NotRun(Refusal::new(
            RefusalCode::Unreachable,
            UNREACHABLE_RETRY_AFTER,
        ))
    }
}
