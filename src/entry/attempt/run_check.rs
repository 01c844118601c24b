//! Which run of an upstream serves at its address: a process can have taken the place of
//! another one, also under its name, before its registration tells so.

use std::net::SocketAddr;
use std::time::Duration;

use slog::info;
use tokio::net::TcpStream;

use super::Attempt;
use super::AttemptResult;
use super::UNREACHABLE_RETRY_AFTER;
use crate::entry::reply_queue::Collection;
use crate::event_loop;
use crate::exchange;
use crate::name::Name;
use crate::settings::Upstream;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

/// Time in which an upstream has to reply: a sound one may say nothing for about a second.
const RUN_REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before a report that broke off is asked for again.
const REPORT_PAUSE: Duration = Duration::from_millis(50);

/// The number of reports that break off before a process counts as one that does not tell
/// its run.
const BROKEN_REPORTS: u32 = 3;

/// Nobody listens at the address of an upstream.
#[derive(Clone, Copy, Debug)]
struct NoListener;

/// Which run of an upstream serves at its address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServingRun {
    /// The registered one.
    Registered,
    /// Another one, which has started since or before.
    Other,
    /// None: nobody listens.
    None,
    /// Some process listens, or the host is not reached, and nobody replies.
    Silent,
    /// A process listens that does not tell its run, or the registration does not.
    Untold,
}

impl ServingRun {
    fn name(self) -> &'static str {
        match self {
            Self::Registered => "registered",
            Self::Other => "other",
            Self::None => "none",
            Self::Silent => "silent",
            Self::Untold => "untold",
        }
    }
}

impl Attempt {
    /// Fails if another run than the registered one serves at the address of `upstream`, which
    /// is to begin or continue a stream: its software version is not known.
    pub(super) async fn check_run(&self, upstream: &Upstream) -> Result<(), AttemptResult> {
        if upstream.started.is_none() {
            return Ok(());
        }
        match self.serving_run(upstream).await {
            ServingRun::Registered | ServingRun::Untold => Ok(()),
            ServingRun::Other => Err(AttemptResult::NotRun(Refusal::new(
                RefusalCode::Unreachable,
                UNREACHABLE_RETRY_AFTER,
            ))),
            ServingRun::None | ServingRun::Silent => Err(self.fail_unreachable()),
        }
    }

    /// Waits until the process that has accepted `stream` has registered, if it does not tell
    /// its run: while the connection is open, it is the same one. Its version then is that of
    /// the registration, which the caller compares.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends meanwhile.
    pub(super) async fn wait_for_registration(
        &self,
        upstream: &Upstream,
        stream: &TcpStream,
    ) -> Result<(), AttemptResult> {
        let tells_run = self.state.dialect.run_report_path(upstream.kind).is_some();
        let time = self.state.directory.registration_time();
        let Some(time) = time.filter(|_| !tells_run) else {
            return Ok(());
        };
        // Nothing was asked for, so that only an end makes it readable.
        match event_loop::timeout(time, stream.readable()).await {
            Ok(_) => Err(self.fail_unreachable()),
            Err(_) => Ok(()),
        }
    }

    /// Returns which run serves at the address of `upstream`, as it tells itself.
    pub(super) async fn serving_run(&self, upstream: &Upstream) -> ServingRun {
        let path = self.state.dialect.run_report_path(upstream.kind);
        let (Some(path), Some(registered)) = (path, upstream.started) else {
            return match exchange::refuses_connections(upstream.address).await {
                true => ServingRun::None,
                false => ServingRun::Untold,
            };
        };
        let asking = self.ask_for_start(upstream.address, &path);
        let started = match event_loop::timeout(RUN_REPORT_TIMEOUT, asking).await {
            Ok(Ok(started)) => started,
            Ok(Err(NoListener)) => return ServingRun::None,
            Err(_) => return ServingRun::Silent,
        };
        let run = match started {
            Some(started) if started == registered => ServingRun::Registered,
            Some(_) => ServingRun::Other,
            None => ServingRun::Untold,
        };
        info!(self.state.log, "upstream was asked for its run";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "registered" => registered,
            "started" => started,
            "run" => run.name());
        run
    }

    /// Returns the start of the run that serves at `address`, or `None` if it is not told. A
    /// process that dies can close its connections before it stops listening, so a report
    /// that breaks off is asked for again.
    async fn ask_for_start(
        &self,
        address: SocketAddr,
        path: &Name,
    ) -> Result<Option<u64>, NoListener> {
        let mut broken = 0;
        loop {
            let mut collection = Collection::new(&self.state.answers);
            let has_room = |length| collection.resize(length);
            match exchange::get(address, path, has_room).await {
                Ok((200, report)) => return Ok(self.state.dialect.read_run_start(&report)),
                Ok(_) => return Ok(None),
                Err(e) if e.is_refused() => return Err(NoListener),
                // The attempt to connect was lost.
                Err(e) if e.is_not_sent() => {}
                // A sound process can have too many connections for a report.
                Err(_) if broken == BROKEN_REPORTS => return Ok(None),
                Err(_) => broken += 1,
            }
            actix_rt::time::sleep(REPORT_PAUSE).await;
        }
    }
}
