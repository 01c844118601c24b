//! Orders to roll out a version, as a store outside of this process keeps them.

use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::discovery::Answer;
use crate::name::Name;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Version;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutState;

/// What became of an order, for operators and for the start and stop of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutStatus {
    /// How far the order is.
    pub state: RolloutState,
    /// The version of the order to which the state belongs.
    pub target: Name,
}

/// An order as found in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundRollout {
    /// The order.
    pub order: RolloutOrder,
    /// Its status, which can belong to an earlier order for the service; `None` if there
    /// is none or it is malformed.
    pub status: Option<RolloutStatus>,
    /// The version of the object, on which a write of the status depends.
    pub version: Version,
}

impl FoundRollout {
    /// Returns the state that the status gives the order; `None` if it gives none.
    pub fn state(&self) -> Option<RolloutState> {
        let status = self.status.as_ref()?;
        (status.target == self.order.target).then_some(status.state)
    }
}

/// Orders to roll out versions, and what is kept about them.
pub trait RolloutStore {
    /// Returns all valid orders, at most one for each service. The first call returns at
    /// once; later calls wait some time for a change.
    fn rollouts(&self) -> LocalBoxFuture<'_, Result<Answer<Vec<FoundRollout>>, StoreError>>;

    /// Reads the order for one service; `None` if there is no valid one.
    fn rollout(
        &self,
        service: Name,
    ) -> LocalBoxFuture<'_, Result<Option<FoundRollout>, StoreError>>;

    /// Replaces the status of an order if its object has not changed since it was found.
    /// Fails with [`StoreError::Conflict`] if it has.
    fn write_status(
        &self,
        found: FoundRollout,
        status: RolloutStatus,
    ) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Returns the store of the records from which a roll-out is taken over.
    fn records(&self) -> &dyn ObjectStore;
}
