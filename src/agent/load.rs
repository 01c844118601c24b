//! Reads the upstream's own report of its load.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Deserialize;

use crate::agent::state::AgentState;
use crate::http_client::new_client;
use crate::progress::Progress;
use crate::progress::RunningRequest;

/// The time between two looks at a report that lags.
const LAGGING_LOOK: Duration = Duration::from_secs(2);

/// The time that the upstream gets to answer.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// What an upstream says of its load.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The requests that it holds.
    pub held: usize,
    /// The requests that it works on, where it tells of each.
    pub running: Vec<RunningRequest>,
}

/// How an upstream tells its load.
pub trait LoadSource {
    /// The report of the upstream at `address`; none if it can't be read.
    fn read(&self, address: SocketAddr) -> LocalBoxFuture<'_, Option<LoadReport>>;

    /// The time between two looks.
    fn interval(&self) -> Duration;

    /// Whether the report is as of now, so that decisions may rest on it.
    fn is_fresh(&self) -> bool;
}

/// The report of an engine at `GET /load`. It lags, so it is only shown.
pub struct EngineLoad {
    client: Client,
}

/// The engine's answer.
#[derive(Deserialize)]
struct Load {
    running: usize,
}

impl EngineLoad {
    /// A reader of reports.
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
    fn read(&self, address: SocketAddr) -> LocalBoxFuture<'_, Option<LoadReport>> {
        let req = self.client.get(format!("http://{address}/load"));
        async move {
            let mut res = req.send().await.ok()?;
            let load = res.json::<Load>().await.ok()?;
            Some(LoadReport {
                held: load.running,
                running: Vec::new(),
            })
        }
        .boxed_local()
    }

    fn interval(&self) -> Duration {
        LAGGING_LOOK
    }

    fn is_fresh(&self) -> bool {
        false
    }
}

/// Reads the report of a model engine until the task ends.
pub async fn follow(state: Rc<AgentState>, source: Rc<dyn LoadSource>) {
    let mut progress = Progress::new();
    loop {
        if let Some(address) = state.address().filter(|_| state.is_model()) {
            let read = actix_rt::time::timeout(ENGINE_TIMEOUT, source.read(address));
            if let Ok(Some(report)) = read.await {
                state.record_report(report.held, source.is_fresh());
                if let Some(generated) = progress.record(state.now(), &report.running) {
                    state.record_generated(generated);
                }
            }
        }
        actix_rt::time::sleep(source.interval()).await;
    }
}
