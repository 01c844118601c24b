//! Orders the engine to load the models that the settings name.
//!
//! Orders are rare, so the agent acquires a lease only when an order is due.
//! Each order carries the lease's fencing number. For engines that ignore the
//! number, the lease is checked against the agent's own clock as the last step
//! before sending.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;
use thiserror::Error;

use crate::agent::state::AgentState;
use crate::clock::Timestamp;
use crate::http_client::new_client;
use crate::lease;
use crate::lease::FencingNumber;
use crate::lease::Lease;
use crate::lease::LeaseError;
use crate::name::Name;
use crate::object_store::ObjectStore;
use crate::settings::Fencing;

/// The longest pause before a check of the models that the engine has loaded.
const MODEL_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The pause after each accepted order of one agent. Loading a model reads from
/// the weight store, which limits its rate.
const ORDER_PAUSE: Duration = Duration::from_secs(10);

/// The time within which the engine has to answer.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reasons why an order failed.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The engine did not answer in time.
    #[error("the engine did not answer")]
    Engine,
    /// The engine refused the order with this HTTP status, for example because
    /// of its fencing number.
    #[error("the engine refused the order with status {0}")]
    Refused(u16),
    /// The lease could not be acquired.
    #[error("the lease cannot be acquired")]
    Lease(#[from] LeaseError),
    /// The lease expired before the order was sent.
    #[error("the lease has expired")]
    Expired,
}

#[derive(Deserialize)]
struct Models {
    data: Vec<Model>,
}

#[derive(Deserialize)]
struct Model {
    id: Name,
}

#[derive(Serialize)]
struct Order<'a> {
    load: &'a Name,
    fencing: FencingNumber,
}

/// Sends the load orders of one agent.
pub struct OrderSender<S> {
    state: Rc<AgentState>,
    store: S,
    client: Client,
    lease: Lease,
}

impl<S> OrderSender<S>
where
    S: ObjectStore,
{
    /// Creates a sender of orders to the agent's own engine, under a lease in
    /// `store`.
    pub fn new(state: Rc<AgentState>, store: S) -> Self {
        let holder = format!("{}-{}", state.config.name, state.incarnation);
        Self {
            lease: Lease::new(Name::new(&holder)),
            client: new_client(),
            state,
            store,
        }
    }

    /// Sends an order whenever a model is missing. Never returns.
    pub async fn run(mut self) {
        loop {
            let jitter = rand::rng().random_range(0.75..1.0);
            actix_rt::time::sleep(MODEL_CHECK_INTERVAL.mul_f64(jitter)).await;
            let Some(address) = self.state.upstream_address() else {
                continue;
            };
            let Some(model) = self.find_missing_model(address).await else {
                continue;
            };
            match self.send_order(address, &model).await {
                Ok(()) => {
                    info!(self.state.log, "model load ordered"; "model" => %model);
                    actix_rt::time::sleep(ORDER_PAUSE).await;
                }
                Err(OrderError::Lease(LeaseError::Held)) => {}
                Err(e) => {
                    warn!(self.state.log, "model load order failed"; "model" => %model, "error" => %e)
                }
            }
        }
    }

    /// Returns a model that the settings name and the engine has not loaded.
    async fn find_missing_model(&self, address: SocketAddr) -> Option<Name> {
        let configured = self.state.models_to_load();
        if configured.is_empty() {
            return None;
        }
        let req = self.client.get(format!("http://{address}/v1/models"));
        let models = async {
            let mut res = req.send().await.ok()?;
            res.json::<Models>().await.ok()
        };
        let models = actix_rt::time::timeout(ENGINE_TIMEOUT, models)
            .await
            .ok()??;
        let loaded = |model: &Name| models.data.iter().any(|m| m.id == *model);
        configured.into_iter().find(|model| !loaded(model))
    }

    async fn send_order(&mut self, address: SocketAddr, model: &Name) -> Result<(), OrderError> {
        if self
            .lease
            .fencing_number(self.lease_needed_until())
            .is_none()
        {
            self.acquire_lease().await?;
        }
        let url = format!("http://{address}/orders");
        let req = self.client.post(url).force_close();
        // No await is allowed between this check and the start of the call: the
        // lease could expire in between.
        let number = self.lease.fencing_number(self.lease_needed_until());
        let fencing = number.ok_or(OrderError::Expired)?;
        let sent = req.send_json(&Order {
            load: model,
            fencing,
        });
        let sent = actix_rt::time::timeout(ENGINE_TIMEOUT, sent).await;
        let res = sent.ok().and_then(Result::ok).ok_or(OrderError::Engine)?;
        match res.status().is_success() {
            true => Ok(()),
            false => Err(OrderError::Refused(res.status().as_u16())),
        }
    }

    /// Returns until when the lease has to be valid for an order sent now. An
    /// engine that ignores the fencing number can receive and execute the order
    /// until the call times out.
    fn lease_needed_until(&self) -> Timestamp {
        match self.state.fencing() {
            Fencing::Checked => self.state.now(),
            Fencing::Ignored => self.state.now() + ENGINE_TIMEOUT,
        }
    }

    async fn acquire_lease(&mut self) -> Result<(), OrderError> {
        let name = Name::new(&format!("almondramp-lease-{}", self.state.config.upstream));
        let state = &self.state;
        lease::acquire(&mut self.lease, &self.store, name, || state.now()).await?;
        Ok(())
    }
}
