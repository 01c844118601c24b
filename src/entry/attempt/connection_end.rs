//! The end of an answer that has neither a length nor chunks, and ends with its connection.

use prometheus_client::encoding::EncodeLabelValue;
use slog::info;

use super::Attempt;
use super::run_check::ServingRun;
use super::running::RunningAnswer;
use crate::entry::relay::Relay;

/// What tells whether an answer that ended with its connection is complete. The variants are
/// spelt as in metrics and logs.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
#[allow(non_camel_case_types)]
pub enum EndEvidence {
    /// Nobody listens at the address of the upstream any more.
    refused,
    /// Another process has taken the place of the upstream.
    replaced,
    /// Nobody replies there.
    silent,
    /// A process still serves that may be the one that sent the answer. Its rest can be asked
    /// for, which shows whether there is one.
    asked,
    /// The process that sent the answer still serves.
    serving,
    /// Some process listens there and does not tell its run.
    listening,
}

impl EndEvidence {
    /// Returns the name as in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::refused => "refused",
            Self::replaced => "replaced",
            Self::silent => "silent",
            Self::asked => "asked",
            Self::serving => "serving",
            Self::listening => "listening",
        }
    }
}

impl From<ServingRun> for EndEvidence {
    fn from(run: ServingRun) -> Self {
        match run {
            ServingRun::Registered => Self::serving,
            ServingRun::Other => Self::replaced,
            ServingRun::None => Self::refused,
            ServingRun::Silent => Self::silent,
            ServingRun::Untold => Self::listening,
        }
    }
}

impl Attempt {
    /// Returns what tells whether an answer is complete that may go on after the end of its
    /// connection. A crash looks like the end of such an answer, but leaves no listener, or one
    /// of another process.
    pub(super) async fn end_evidence(&self, running: &RunningAnswer, relay: &Relay) -> EndEvidence {
        let upstream = &running.upstream;
        let evidence = match self.serving_run(upstream).await {
            ServingRun::Registered | ServingRun::Untold if relay.can_ask_for_rest() => {
                EndEvidence::asked
            }
            run => run.into(),
        };
        self.state.metrics.record_connection_end(evidence);
        info!(self.state.log, "answer ended with its connection";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "resumable" => self.job.admission.route.resumable,
            "last_event" => relay.last_event(),
            "evidence" => evidence.name());
        evidence
    }
}
