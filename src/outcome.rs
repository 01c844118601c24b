//! Outcomes of requests, as counted for the service-level objective.

use prometheus_client::encoding::EncodeLabelValue;
use serde::Deserialize;
use serde::Serialize;

/// The outcome of a request. The variants are spelt as in metrics and JSON.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    EncodeLabelValue,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[allow(non_camel_case_types)]
pub enum Outcome {
    /// A complete, useful answer within the deadline.
    good,
    /// A complete answer after the deadline.
    late,
    /// Not run: too many requests of the same or a higher tier were waiting.
    overloaded,
    /// Not run: the deadline could not be met.
    expired,
    /// Not run: the organisation had reached its quota or concurrency limit.
    limited,
    /// Not run: no upstream could take the request.
    unavailable,
    /// Not valid because of an error of the caller.
    invalid,
    /// Possibly run: the answer was lost or truncated.
    unknown,
    /// The upstream answered with a server error.
    failed,
    /// The caller disconnected.
    cancelled,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Self; 10] = [
        Self::good,
        Self::late,
        Self::overloaded,
        Self::expired,
        Self::limited,
        Self::unavailable,
        Self::invalid,
        Self::unknown,
        Self::failed,
        Self::cancelled,
    ];

    /// Returns whether the outcome counts for the objective. Outcomes that the
    /// caller caused do not.
    pub fn counts_for_objective(self) -> bool {
        !matches!(self, Self::invalid | Self::cancelled | Self::limited)
    }

    /// Returns the name used in metrics, logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::good => "good",
            Self::late => "late",
            Self::overloaded => "overloaded",
            Self::expired => "expired",
            Self::limited => "limited",
            Self::unavailable => "unavailable",
            Self::invalid => "invalid",
            Self::unknown => "unknown",
            Self::failed => "failed",
            Self::cancelled => "cancelled",
        }
    }
}
