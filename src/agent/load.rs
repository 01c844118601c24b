//! Reads the engine's own report of its load.
//!
//! The report lags, so no decision rests on it; it is shown beside what the
//! agent knows, where a difference points to callers that go past the agent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use serde::Deserialize;

use crate::agent::state::AgentState;
use crate::http_client::new_client;

/// The time between two looks.
const LOOK: Duration = Duration::from_secs(2);

/// The time that the engine gets to answer.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// The engine's answer to `GET /load`.
#[derive(Deserialize)]
struct Load {
    running: u64,
}

/// Reads the report of a model engine until the task ends.
pub async fn follow(state: Rc<AgentState>) {
    let client = new_client();
    loop {
        if let Some(address) = state.address().filter(|_| state.is_model())
            && let Some(load) = read(&client, address).await
        {
            state.metrics.reported(load.running);
        }
        actix_rt::time::sleep(LOOK).await;
    }
}

async fn read(client: &Client, address: SocketAddr) -> Option<Load> {
    let asked = async {
        let mut res = client
            .get(format!("http://{address}/load"))
            .send()
            .await
            .ok()?;
        res.json::<Load>().await.ok()
    };
    let answered = actix_rt::time::timeout(ENGINE_TIMEOUT, asked).await;
    answered.ok().flatten()
}
