//! Orders to the engine: it is to load the models that the settings name.
//!
//! Orders are few. A lease is taken only where an order is due, and each
//! order carries its fencing number. For engines that ignore the number, the
//! lease is checked on the agent's own clock as the last step before sending.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use bytes::Bytes;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;
use thiserror::Error;

use crate::agent::state::AgentState;
use crate::clock::Timestamp;
use crate::http_client::new_client;
use crate::lease::FencingNumber;
use crate::lease::Lease;
use crate::lease::LeaseAction;
use crate::lease::LeaseRecord;
use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::settings::Fencing;

/// The time between two looks at what the engine has loaded.
const LOOK: Duration = Duration::from_secs(5);

/// The time between two orders of one agent; loading reads from the weight
/// store, which limits its rate.
const ORDER_PAUSE: Duration = Duration::from_secs(10);

/// The time that the engine gets to answer.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an order was not given.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The engine does not answer.
    #[error("the engine does not answer")]
    Engine,
    /// The engine refused the order, for instance for its fencing number.
    #[error("the engine refused the order with status {0}")]
    Refused(u16),
    /// The lease could not be taken.
    #[error("the lease cannot be taken")]
    Store(#[from] StoreError),
    /// The lease's object can't be read or written.
    #[error("the lease is malformed")]
    Malformed(#[from] serde_json::Error),
    /// Another process holds the lease.
    #[error("another process holds the lease")]
    Held,
    /// The lease lapsed before the order was sent.
    #[error("the lease has lapsed")]
    Lapsed,
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

/// Gives the orders of one agent.
pub struct Orders<S> {
    state: Rc<AgentState>,
    store: S,
    client: Client,
    lease: Lease,
}

impl<S> Orders<S>
where
    S: ObjectStore,
{
    /// Orders to the engine beside the agent, under a lease in `store`.
    pub fn new(state: Rc<AgentState>, store: S) -> Self {
        let me = format!("{}-{}", state.config.name, state.incarnation);
        Self {
            lease: Lease::new(Name::new(&me)),
            client: new_client(),
            state,
            store,
        }
    }

    /// Gives orders as they are due until the task ends.
    pub async fn run(mut self) {
        loop {
            let spread = rand::rng().random_range(0.75..1.0);
            actix_rt::time::sleep(LOOK.mul_f64(spread)).await;
            let Some(address) = self.state.address() else {
                continue;
            };
            let Some(model) = self.missing(address).await else {
                continue;
            };
            match self.order(address, &model).await {
                Ok(()) => {
                    info!(self.state.log, "model ordered"; "model" => %model);
                    actix_rt::time::sleep(ORDER_PAUSE).await;
                }
                Err(OrderError::Held) => {}
                Err(e) => {
                    warn!(self.state.log, "order not given"; "model" => %model, "error" => %e)
                }
            }
        }
    }

    /// A model that the engine should have loaded and has not.
    async fn missing(&self, address: SocketAddr) -> Option<Name> {
        let wanted = self.state.wanted_models();
        if wanted.is_empty() {
            return None;
        }
        let asked = self.client.get(format!("http://{address}/v1/models"));
        let asked = async {
            let mut res = asked.send().await.ok()?;
            res.json::<Models>().await.ok()
        };
        let models = actix_rt::time::timeout(ENGINE_TIMEOUT, asked)
            .await
            .ok()??;
        let loaded = |model: &Name| models.data.iter().any(|m| m.id == *model);
        wanted.into_iter().find(|model| !loaded(model))
    }

    async fn order(&mut self, address: SocketAddr, model: &Name) -> Result<(), OrderError> {
        if self.lease.fencing_number(self.needed_until()).is_none() {
            self.take_lease().await?;
        }
        let url = format!("http://{address}/orders");
        let req = self.client.post(url).force_close();
        // Nothing is awaited between this check and the start of the call.
        let number = self.lease.fencing_number(self.needed_until());
        let fencing = number.ok_or(OrderError::Lapsed)?;
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

    /// Until when the lease has to last for an order that is given now. An
    /// engine that ignores the number may act on an order as long as it can be
    /// on its way.
    fn needed_until(&self) -> Timestamp {
        match self.state.fencing() {
            Fencing::Checked => self.state.now(),
            Fencing::Ignored => self.state.now() + ENGINE_TIMEOUT,
        }
    }

    async fn take_lease(&mut self) -> Result<(), OrderError> {
        let name = Name::new(&format!("almondramp-lease-{}", self.state.config.upstream));
        let object = self.store.get(name.clone()).await?;
        let record = match &object {
            Some(object) => Some(serde_json::from_slice::<LeaseRecord>(&object.value)?),
            None => None,
        };
        let version = object.map(|o| o.version);
        let began = self.state.now();
        let step = self.lease.observe(began, version.as_ref(), record.as_ref());
        let LeaseAction::Write(next) = step else {
            return Err(OrderError::Held);
        };
        let expected = version.map_or(Expected::Absent, Expected::Version);
        let value = Bytes::from(serde_json::to_vec(&next)?);
        self.store.put(name, value, expected).await?;
        self.lease.record_write(began, &next);
        Ok(())
    }
}
