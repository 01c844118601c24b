//! Gradual roll-outs of a new version of a service.
//!
//! Each entry splits its requests between the versions with a [`VersionSplit`] and reports
//! totals as [`RolloutEvidence`]. The entry that aggregates the service sums these, and its
//! [`RolloutController`] decides on the share of the new version, the *target*. All entries
//! follow its [`RolloutRow`].

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::name::Name;

mod canary;
mod comparison;
mod controller;
mod evidence;
mod judge;
mod split;
#[cfg(test)]
mod tests;

pub use self::canary::canary_upstreams;
pub use self::controller::RolloutController;
pub use self::evidence::MAX_ROUTES;
pub use self::evidence::OTHER_ROUTES;
pub use self::evidence::RolloutEvidence;
pub use self::evidence::RouteEvidence;
pub use self::evidence::START_BUCKETS;
pub use self::evidence::VersionTotals;
pub use self::split::StopReason;
pub use self::split::VersionChoice;
pub use self::split::VersionSplit;

/// What an operator asked for.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Tells orders for one service apart.
    pub id: Name,
    /// The service.
    pub service: Name,
    /// The version to roll out.
    pub target: Name,
    /// Time from the order to its end.
    #[serde(rename = "ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
}

/// Bounds on the harm that a bad version may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Largest part of all requests of the service that a bad version may get, from 0 to 1.
    pub canary_share: f64,
    /// Requests that a bad version may get beyond that.
    pub canary_slack: u32,
    /// Time after the 50th bad answer from which a bad version gets no requests.
    pub rollback: Duration,
}

/// State of an order. [`Complete`](Self::Complete) and [`Reverted`](Self::Reverted) are final.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The target gets a share of the requests.
    InProgress,
    /// The target gets all requests.
    Complete,
    /// The target gets no requests.
    Reverted,
}

/// Decision that all entries follow.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutRow {
    /// The order.
    #[serde(rename = "o")]
    pub order: RolloutOrder,
    /// Time since the order, as known to the acting entry.
    #[serde(rename = "ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub elapsed: Duration,
    /// Number of changes of the share so far.
    pub step: u32,
    /// Part of the requests that the target gets, from 0 to 1.
    pub share: f64,
    /// The state of the order.
    pub state: RolloutState,
    /// Why the share and state are as they are.
    #[serde(rename = "why")]
    pub reason: Name,
    /// Bad answers of the target known so far.
    pub bad: u64,
}
