//! Commands that connect to agents: `status` and `drain`.

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

/// The maximum time for an agent to answer.
const AGENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval at which a draining agent is polled.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Reasons why an agent could not be drained.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The settings contain no upstream of this name that has an agent.
    #[error("no upstream named {0} with an agent")]
    UnknownUpstream(Name),
    /// The agent could not be reached, the handshake failed or the connection
    /// ended.
    #[error("the agent of {0} cannot be reached or refused the site key")]
    Unreachable(Name),
}

/// The state of one agent. The numbers are 0 if the agent was not reached.
#[derive(Clone, Debug, Serialize)]
pub struct AgentStatus {
    /// The agent's upstream.
    pub upstream: Name,
    /// The agent's incarnation; `None` if the agent was not reached.
    pub incarnation: Option<String>,
    /// The revision of the agent's active settings.
    pub revision: u64,
    /// The number of waiting tickets.
    pub waiting: u64,
    /// The number of requests in flight.
    pub running: u64,
    /// The maximum number of requests in flight.
    pub slots: u64,
    /// Whether the agent is draining and so accepts no new work.
    pub draining: bool,
    /// The measured time per generated token, in seconds.
    pub seconds_per_token: f64,
}

/// Prints the state of every agent in the settings of `folder`. The exit code is
/// `Partial` if an agent was not reached.
pub fn status(folder: &Path, key: &Path, format: ReportFormat) -> Result<ExitCode, Report> {
    let settings = Settings::new(&Document::read(folder)?)?;
    let key = read_site_key(key)?;
    let statuses = actix_rt::System::new().block_on(async {
        let agents = settings.upstreams.iter();
        let agents = agents.filter_map(|(name, upstream)| Some((name, upstream.agent?)));
        let requests = agents.map(|(name, agent)| {
            let key = &key;
            async move { fetch_status(name, agent, key).await }
        });
        futures::future::join_all(requests).await
    });
    match format {
        ReportFormat::Table => print(&table(&statuses))?,
        ReportFormat::Json => print(&format!("{}\n", serde_json::to_string(&statuses)?))?,
    };
    let all_reached = statuses.iter().all(|s| s.incarnation.is_some());
    Ok(if all_reached {
        ExitCode::Success
    } else {
        ExitCode::Partial
    })
}

/// Drains the agent of `upstream` and waits until it has no waiting tickets and
/// no requests in flight.
pub fn drain(folder: &Path, key: &Path, upstream: &str) -> Result<ExitCode, Report> {
    let settings = Settings::new(&Document::read(folder)?)?;
    let key = read_site_key(key)?;
    let name = Name::new(upstream);
    let address = settings.upstreams.get(&name).and_then(|u| u.agent);
    let address = address.ok_or_else(|| AgentError::UnknownUpstream(name.clone()))?;
    actix_rt::System::new().block_on(async {
        let result = with_scheduler(address, &key, |scheduler| {
            drain_scheduler(name.clone(), scheduler)
        });
        result.await.ok_or(AgentError::Unreachable(name.clone()))?
    })?;
    print(&format!("{upstream} is drained\n"))
}

async fn drain_scheduler(name: Name, scheduler: desk::Client) -> Result<(), AgentError> {
    let unreachable = |_| AgentError::Unreachable(name.clone());
    let reply = scheduler.drain_request().send().promise.await;
    reply.map_err(unreachable)?;
    loop {
        let status = read_status(&scheduler).await.map_err(unreachable)?;
        if status.running == 0 && status.waiting == 0 {
            return Ok(());
        }
        eprintln!("{name}: {} requests in flight", status.running);
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn fetch_status(name: &Name, address: SocketAddr, key: &SiteKey) -> AgentStatus {
    let request = with_scheduler(address, key, |scheduler| async move {
        read_status(&scheduler).await
    });
    let result = actix_rt::time::timeout(AGENT_TIMEOUT, request).await;
    let status = result.ok().flatten().and_then(Result::ok);
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

/// Connects to an agent and calls `work` with its scheduler interface. Returns
/// `None` if the connection or the handshake fails, or the connection ends
/// before `work` does.
async fn with_scheduler<F, Fut, T>(address: SocketAddr, key: &SiteKey, work: F) -> Option<T>
where
    F: FnOnce(desk::Client) -> Fut,
    Fut: Future<Output = T>,
{
    let connected = connect(address).await?;
    let session = async {
        let incarnation = Incarnation::new(&mut rand::rng());
        let name = Name::new("operator");
        let handshake = authenticate(&connected.gate, key, &name, incarnation);
        let result = actix_rt::time::timeout(AGENT_TIMEOUT, handshake).await;
        let agent = result.ok()?.ok()?;
        Some(work(agent.scheduler).await)
    };
    tokio::select! {
        _ = connected.rpc => None,
        result = session => result,
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
    for status in statuses {
        let state = match (&status.incarnation, status.draining) {
            (None, _) => "NOT REACHED",
            (Some(_), true) => "draining",
            (Some(_), false) => "serving",
        };
        let _ = writeln!(
            text,
            "{:<20} {:>8} {:>8} {:>8} {:>8} {:>14.6}  {state}",
            status.upstream,
            status.revision,
            status.waiting,
            status.running,
            status.slots,
            status.seconds_per_token
        );
    }
    text
}
