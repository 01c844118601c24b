//! Keeps requests with parts that crash upstreams from these.

use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::info;

use crate::crash_suspects::Verdict;
use crate::entry::attempt::Attempt;
use crate::entry::attempt::AttemptResult;
use crate::entry::error::CallerError;
use crate::entry::peers::Peers;
use crate::entry::request::Job;
use crate::entry::state::EntryState;
use crate::exchange;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::prompt_parts::LoggedParts;
use crate::prompt_parts::PartId;

/// The time within which a crashing upstream has stopped listening after its connections
/// were closed.
const CRASH_TIME: Duration = Duration::from_millis(50);

impl EntryState {
    /// Sets the other entries. Later calls have no effect.
    pub fn set_peers(&self, peers: &Rc<Peers>) {
        let _ = self.peers.set(Rc::downgrade(peers));
    }

    /// Fails if requests with a part of this prompt are refused.
    ///
    /// # Errors
    ///
    /// `CallerError::Quarantined` with the time to the next probe.
    pub fn check_quarantine(&self, job: &Job) -> Result<(), CallerError> {
        match self.quarantine_verdict(job) {
            Verdict::Refused(_, wait) => Err(CallerError::Quarantined(wait)),
            Verdict::Sound | Verdict::Probe(_) => Ok(()),
        }
    }

    /// Decides for the last time whether a request is sent. Returns the time to the next
    /// probe if it is not.
    pub fn admit_to_upstream(&self, job: &Job) -> Result<(), Duration> {
        match self.quarantine_verdict(job) {
            Verdict::Sound => Ok(()),
            Verdict::Refused(_, wait) => Err(wait),
            Verdict::Probe(part) => {
                info!(self.log, "probing a part that crashes upstreams"; "part" => %part);
                self.suspects.record_probe(&job.parts);
                Ok(())
            }
        }
    }

    fn quarantine_verdict(&self, job: &Job) -> Verdict {
        self.suspects
            .verdict(&job.parts, |part| self.may_probe(part))
    }

    fn record_crash(&self, name: &Name, parts: &[PartId]) {
        info!(self.log, "upstream crashed";
            "upstream" => %name,
            "parts" => %LoggedParts(parts));
        self.suspects.record_crash(name, parts);
    }

    /// Returns whether this entry is the one of all that probes a part.
    fn may_probe(&self, part: PartId) -> bool {
        let peers = self.peers.get().and_then(Weak::upgrade);
        peers.is_none_or(|peers| peers.is_closest(part))
    }
}

/// Records what the result of an attempt says about the parts of the prompt.
pub async fn record_result(attempt: &Attempt, result: AttemptResult) {
    let (state, job) = (&attempt.state, &attempt.job);
    match result {
        AttemptResult::Completed(Outcome::good | Outcome::late) => {
            state.suspects.record_success(&job.parts);
        }
        AttemptResult::Interrupted if attempt.is_broken_off.get() => {
            check_for_crash(state, job, &attempt.upstream).await;
        }
        _ => {}
    }
}

/// Records a crash if nobody listens any more at an upstream that broke off an exchange,
/// and that was not about to leave.
async fn check_for_crash(state: &Rc<EntryState>, job: &Job, name: &Name) {
    let upstream = state.directory.get(name).filter(|u| !u.leaving);
    let Some(upstream) = upstream.filter(|_| !job.parts.is_empty()) else {
        return;
    };
    if exchange::refuses_connections(upstream.address).await {
        state.record_crash(name, &job.parts);
        return;
    }
    // Connections can close before the upstream stops listening.
    let (state, name, parts) = (Rc::clone(state), name.clone(), job.parts.clone());
    actix_rt::spawn(async move {
        actix_rt::time::sleep(CRASH_TIME).await;
        if exchange::refuses_connections(upstream.address).await {
            state.record_crash(&name, &parts);
        }
    });
}
