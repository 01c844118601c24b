//! How a request ended, as it counts for the service-level objective.

use prometheus_client::encoding::EncodeLabelValue;
use serde::Deserialize;
use serde::Serialize;

/// How a request ended.
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
    /// A whole, useful answer within the deadline.
    good,
    /// A whole answer after the deadline.
    late,
    /// Not run: more of the same or a higher tier was waiting.
    overloaded,
    /// Not run: the deadline could not be met.
    expired,
    /// Not run: the organisation had used up its limit.
    limited,
    /// Not run: no upstream could take it.
    unavailable,
    /// Not valid; the caller's own fault.
    invalid,
    /// It may have been run; the answer is lost or broke off.
    unknown,
    /// The upstream answered with a server error.
    failed,
    /// The caller went away.
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

    /// Whether the outcome counts for the objective at all. What the caller
    /// itself caused does not.
    pub fn counts_for_objective(self) -> bool {
        !matches!(self, Self::invalid | Self::cancelled | Self::limited)
    }

    /// The name used in metrics.
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
