//! Polls the load that the upstream reports about itself.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Deserialize;

use crate::agent::observed_run::ObservedRun;
use crate::agent::state::AgentState;
use crate::http_client::new_client;
use crate::progress::Progress;
use crate::progress::RunningRequest;
use crate::scheduler::ReportedMemory;

/// The interval between two reads of an engine's lagging report.
const ENGINE_LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The time within which the upstream has to answer.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// The load of an upstream, as it reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of requests that the upstream holds, waiting or running.
    pub held: usize,
    /// Whether the upstream is leaving and wants no new requests.
    pub leaving: bool,
    /// When its run has started, in Unix milliseconds by its own clock; `None` if it tells
    /// no start.
    pub started: Option<u64>,
    /// The memory of the upstream; `None` if it reports none.
    pub memory: Option<ReportedMemory>,
    /// The requests that are running; empty if the upstream reports only their
    /// number.
    pub running: Vec<RunningRequest>,
}

/// Why a report could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The connection was refused: no run of the upstream is there.
    Refused,
    /// The upstream did not answer, or with something that is no report.
    Unreadable,
}

impl From<SendRequestError> for ReadError {
    fn from(e: SendRequestError) -> Self {
        match e {
            SendRequestError::Connect(ConnectError::Io(e))
                if e.kind() == io::ErrorKind::ConnectionRefused =>
            {
                Self::Refused
            }
            _ => Self::Unreadable,
        }
    }
}

/// A source of load reports of an upstream.
pub trait LoadSource {
    /// Reads the report of the upstream at `address`.
    fn read(&self, address: SocketAddr) -> LocalBoxFuture<'_, Result<LoadReport, ReadError>>;

    /// Returns the interval between two reads.
    fn interval(&self) -> Duration;

    /// Returns whether reports are current, so that the scheduler can use them.
    /// A lagging report is only exported as a metric.
    fn is_fresh(&self) -> bool;
}

/// Reads an engine's report at `GET /load`. The report lags, so it is only
/// exported as a metric.
pub struct EngineLoad {
    client: Client,
}

/// The body of the engine's answer.
#[derive(Deserialize)]
struct Load {
    running: usize,
}

impl EngineLoad {
    /// Creates a reader with its own HTTP client.
    pub fn new() -> Self {
        Self {
            client: new_client(),
        }
    }
}

impl Default for EngineLoad {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadSource for EngineLoad {
    fn read(&self, address: SocketAddr) -> LocalBoxFuture<'_, Result<LoadReport, ReadError>> {
        let req = self.client.get(format!("http://{address}/load"));
        async move {
            let mut res = req.send().await?;
            let load = res.json::<Load>().await;
            let load = load.map_err(|_| ReadError::Unreadable)?;
            Ok(LoadReport {
                held: load.running,
                ..LoadReport::default()
            })
        }
        .boxed_local()
    }

    fn interval(&self) -> Duration {
        ENGINE_LOAD_INTERVAL
    }

    fn is_fresh(&self) -> bool {
        false
    }
}

/// Polls `source` for the load of a model engine and records it in `state`.
/// Never returns.
pub async fn poll_reports(state: Rc<AgentState>, source: Rc<dyn LoadSource>) {
    let mut progress = Progress::new();
    loop {
        if let Some(address) = state.upstream_address().filter(|_| state.is_model_engine()) {
            let report = actix_rt::time::timeout(ENGINE_TIMEOUT, source.read(address));
            let report = report.await.unwrap_or(Err(ReadError::Unreadable));
            state.record_run(ObservedRun::from_report(&report));
            if let Ok(report) = report {
                state.set_leaving(report.leaving);
                state.record_report(report.held, source.is_fresh());
                if source.is_fresh() {
                    state.record_memory(report.memory);
                }
                if let Some(generated) = progress.record(state.now(), &report.running) {
                    state.record_generated(generated);
                }
            }
        }
        actix_rt::time::sleep(source.interval()).await;
    }
}
