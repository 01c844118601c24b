//! Asking agents for their state, and draining them.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::Report;
use serde::Serialize;
use thiserror::Error;

use crate::agent_client::connect;
use crate::almondramp_capnp::desk;
use crate::cli::ReportFormat;
use crate::config::read_site_key;
use crate::exit_codes::ExitCode;
use crate::handshake::authenticate;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::operator::print;
use crate::settings::Document;
use crate::settings::Settings;
use crate::site_key::SiteKey;

/// The time that an agent gets to answer.
const AGENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The time between two looks at a draining agent.
const DRAIN_POLL: Duration = Duration::from_millis(200);

/// Why an agent could not be dealt with.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The settings name no such upstream.
    #[error("no upstream named {0}")]
    UnknownUpstream(Name),
    /// The agent does not answer, or refuses the site's key.
    #[error("the agent of {0} does not answer")]
    Unreachable(Name),
}

/// The state of one agent.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// Its upstream.
    pub upstream: Name,
    /// The life of the agent; absent if it did not answer.
    pub incarnation: Option<String>,
    /// The revision in force.
    pub revision: u64,
    /// Tickets that wait.
    pub waiting: u64,
    /// Requests in flight.
    pub running: u64,
    /// Requests in flight at most.
    pub slots: u64,
    /// Whether it takes no new work.
    pub draining: bool,
    /// The measured pace.
    pub seconds_per_token: f64,
}

/// Shows the state of every agent that the settings of `folder` name.
pub fn status(folder: &Path, key: &Path, format: ReportFormat) -> Result<ExitCode, Report> {
    let settings = Settings::new(&Document::read(folder)?)?;
    let key = read_site_key(key)?;
    let statuses = actix_rt::System::new().block_on(async {
        let agents = settings.upstreams.iter();
        let agents = agents.filter_map(|(name, upstream)| Some((name, upstream.agent?)));
        let asked = agents.map(|(name, agent)| {
            let key = &key;
            async move { ask_status(name, agent, key).await }
        });
        futures::future::join_all(asked).await
    });
    match format {
        ReportFormat::Table => print(&table(&statuses))?,
        ReportFormat::Json => print(&format!("{}\n", serde_json::to_string(&statuses)?))?,
    };
    let all = statuses.iter().all(|s| s.incarnation.is_some());
    Ok(if all {
        ExitCode::Success
    } else {
        ExitCode::Partial
    })
}

/// Drains the agent of `upstream` and waits until nothing runs there.
pub fn drain(folder: &Path, key: &Path, upstream: &str) -> Result<ExitCode, Report> {
    let settings = Settings::new(&Document::read(folder)?)?;
    let key = read_site_key(key)?;
    let name = Name::new(upstream);
    let address = settings.upstreams.get(&name).and_then(|u| u.agent);
    let address = address.ok_or_else(|| AgentError::UnknownUpstream(name.clone()))?;
    actix_rt::System::new().block_on(async {
        let drained = with_scheduler(address, &key, |scheduler| {
            drain_scheduler(name.clone(), scheduler)
        });
        drained.await.ok_or(AgentError::Unreachable(name.clone()))?
    })?;
    print(&format!("{upstream} is drained\n"))
}

async fn drain_scheduler(name: Name, scheduler: desk::Client) -> Result<(), AgentError> {
    let unreachable = |_| AgentError::Unreachable(name.clone());
    let drained = scheduler.drain_request().send().promise.await;
    drained.map_err(unreachable)?;
    loop {
        let status = read_status(&scheduler).await.map_err(unreachable)?;
        if status.running == 0 && status.waiting == 0 {
            return Ok(());
        }
        eprintln!("{name}: {} requests in flight", status.running);
        actix_rt::time::sleep(DRAIN_POLL).await;
    }
}

async fn ask_status(name: &Name, address: SocketAddr, key: &SiteKey) -> AgentStatus {
    let asked = with_scheduler(address, key, |scheduler| async move {
        read_status(&scheduler).await
    });
    let answered = actix_rt::time::timeout(AGENT_TIMEOUT, asked).await;
    let status = answered.ok().flatten().and_then(Result::ok);
    status.unwrap_or_else(|| AgentStatus {
        upstream: name.clone(),
        incarnation: None,
        revision: 0,
        waiting: 0,
        running: 0,
        slots: 0,
        draining: false,
        seconds_per_token: 0.0,
    })
}

/// Connects to an agent and uses its scheduler; none if that fails.
async fn with_scheduler<F, Fut, T>(address: SocketAddr, key: &SiteKey, work: F) -> Option<T>
where
    F: FnOnce(desk::Client) -> Fut,
    Fut: Future<Output = T>,
{
    let connected = connect(address).await?;
    let converse = async {
        let incarnation = Incarnation::new(&mut rand::rng());
        let name = Name::new("operator");
        let introduced = authenticate(&connected.gate, key, &name, incarnation);
        let admitted = actix_rt::time::timeout(AGENT_TIMEOUT, introduced).await;
        let admitted = admitted.ok()?.ok()?;
        Some(work(admitted.scheduler).await)
    };
    tokio::select! {
        _ = connected.rpc => None,
        result = converse => result,
    }
}

async fn read_status(scheduler: &desk::Client) -> Result<AgentStatus, capnp::Error> {
    let reply = scheduler.status_request().send().promise.await?;
    let status = reply.get()?.get_status()?;
    Ok(AgentStatus {
        upstream: Name::new(status.get_upstream()?.to_str()?),
        incarnation: Some(Incarnation(status.get_incarnation()).to_string()),
        revision: status.get_revision(),
        waiting: status.get_waiting(),
        running: status.get_running(),
        slots: status.get_slots(),
        draining: status.get_draining(),
        seconds_per_token: status.get_seconds_per_token(),
    })
}

fn table(statuses: &[AgentStatus]) -> String {
    let mut text = format!(
        "{:<20} {:>8} {:>8} {:>8} {:>8} {:>14}  {}\n",
        "upstream", "revision", "waiting", "running", "slots", "seconds/token", "state"
    );
    for s in statuses {
        let state = match (&s.incarnation, s.draining) {
            (None, _) => "NOT REACHED",
            (Some(_), true) => "draining",
            (Some(_), false) => "serving",
        };
        let _ = writeln!(
            text,
            "{:<20} {:>8} {:>8} {:>8} {:>8} {:>14.6}  {state}",
            s.upstream, s.revision, s.waiting, s.running, s.slots, s.seconds_per_token
        );
    }
    text
}
