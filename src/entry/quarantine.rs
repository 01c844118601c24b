//! Keeps requests that crash upstreams from these.

use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::info;

use crate::crash_suspects::SuspectId;
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

/// The time within which a crashing upstream has stopped listening after its connections
/// were closed.
const CRASH_TIME: Duration = Duration::from_millis(50);

impl Job {
    /// Returns what this request may have in common with others that crash upstreams: the
    /// parts of its prompt, and all of it.
    pub fn suspect_ids(&self) -> Vec<SuspectId> {
        let parts = self.parts.iter().copied().map(SuspectId::Part);
        parts.chain([SuspectId::Request(self.digest)]).collect()
    }
}

impl EntryState {
    /// Sets the other entries. Later calls have no effect.
    pub fn set_peers(&self, peers: &Rc<Peers>) {
        let _ = self.peers.set(Rc::downgrade(peers));
    }

    /// Fails if this request, or others with a part of its prompt, are refused.
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
            Verdict::Probe(suspect) => {
                info!(self.log, "probing what has crashed upstreams"; "suspect" => %suspect);
                self.suspects.record_probe(&job.suspect_ids());
                Ok(())
            }
        }
    }

    fn quarantine_verdict(&self, job: &Job) -> Verdict {
        if self.suspects.is_empty() {
            return Verdict::Sound;
        }
        let ids = job.suspect_ids();
        self.suspects.verdict(&ids, |id| self.may_probe(id))
    }

    fn record_crash(&self, name: &Name, job: &Job) {
        info!(self.log, "upstream crashed";
            "upstream" => %name,
            "digest" => %job.digest,
            "parts" => %LoggedParts(&job.parts));
        self.suspects.record_crash(name, &job.suspect_ids());
    }

    /// Returns whether this entry is the one of all that probes a suspect.
    fn may_probe(&self, id: SuspectId) -> bool {
        let peers = self.peers.get().and_then(Weak::upgrade);
        peers.is_none_or(|peers| peers.is_closest(id))
    }
}

/// Records what the result of an attempt says about its request.
pub async fn record_result(attempt: &Attempt, result: AttemptResult) {
    let (state, job) = (&attempt.state, &attempt.job);
    match result {
        AttemptResult::Completed(Outcome::good | Outcome::late) => {
            state.suspects.record_success(&job.suspect_ids());
        }
        AttemptResult::Interrupted if attempt.is_broken_off.get() => {
            check_for_crash(state, job, &attempt.upstream).await;
        }
        _ => {}
    }
}

/// Records a crash if nobody listens any more at an upstream that broke off an exchange,
/// and that was not about to leave.
async fn check_for_crash(state: &Rc<EntryState>, job: &Rc<Job>, name: &Name) {
    let upstream = state.directory.get(name).filter(|u| !u.leaving);
    let Some(address) = upstream.map(|u| u.address) else {
        return;
    };
    // The caller waits for the answer. A host that is down does not refuse.
    let refuses = exchange::refuses_connections(address);
    if actix_rt::time::timeout(CRASH_TIME, refuses).await == Ok(true) {
        state.record_crash(name, job);
        return;
    }
    // Connections can close before the upstream stops listening.
    let (state, name, job) = (Rc::clone(state), name.clone(), Rc::clone(job));
    actix_rt::spawn(async move {
        actix_rt::time::sleep(CRASH_TIME).await;
        if exchange::refuses_connections(address).await {
            state.record_crash(&name, &job);
        }
    });
}
