//! Findings of a review.

use std::fmt;

use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;
use thiserror::Error;

use crate::name::Name;
use crate::settings::Problem;
use crate::settings::Reason;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The configuration is accepted, but a part has no effect or contradicts another.
    Warning,
    /// The processes reject the configuration.
    Error,
}

/// What was found.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Cause {
    /// The settings are not valid.
    #[error("{0}")]
    Invalid(Reason),
    /// Another route takes every request of the route.
    #[error("never matches: routes.{0} takes its requests")]
    ShadowedRoute(Name),
    /// No request has such a host or path.
    #[error("never matches: {0}")]
    ImpossibleRoute(&'static str),
    /// The organisation has no API keys.
    #[error("no request can belong to this organisation")]
    OrganisationWithoutKeys,
    /// No upstream of the kind of the route serves the service.
    #[error("no upstream of its kind serves {0}")]
    UnservedService(Name),
    /// No route sends requests to the service.
    #[error("no route sends requests to {0}")]
    UnroutedService(Name),
    /// The service of a split has the weight 0.
    #[error("gets no requests, its weight is 0")]
    NoWeight,
    /// No organisation or route uses the tier.
    #[error("no organisation or route uses this tier")]
    UnusedTier,
    /// The value has no effect because of another one.
    #[error("has no effect because of {0}")]
    NoEffect(String),
    /// The quota of a window is smaller than a request.
    #[error("a window allows {allowed} units, less than one request of {request}")]
    QuotaBelowRequest {
        /// Units that a window allows.
        allowed: f64,
        /// Units of a request.
        request: f64,
    },
    /// A time is longer than the one that limits it.
    #[error("is longer than {0}")]
    Longer(String),
    /// The retry budget never allows as many attempts.
    #[error("the retry budget allows at most {0} retries")]
    AttemptsAboveBudget(u64),
    /// The object store does not accept a value of this size.
    #[error("{bytes} bytes of settings are more than the {limit} that the store accepts")]
    AboveStoreLimit {
        /// Size of all files.
        bytes: usize,
        /// Size that the store accepts.
        limit: usize,
    },
}

impl Cause {
    /// Returns the identifier of the cause for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Invalid(_) => "invalid",
            Self::ShadowedRoute(_) => "shadowed-route",
            Self::ImpossibleRoute(_) => "impossible-route",
            Self::OrganisationWithoutKeys => "organisation-without-keys",
            Self::UnservedService(_) => "unserved-service",
            Self::UnroutedService(_) => "unrouted-service",
            Self::NoWeight => "no-weight",
            Self::UnusedTier => "unused-tier",
            Self::NoEffect(_) => "no-effect",
            Self::QuotaBelowRequest { .. } => "quota-below-request",
            Self::Longer(_) => "longer-than-limit",
            Self::AttemptsAboveBudget(_) => "attempts-above-budget",
            Self::AboveStoreLimit { .. } => "above-store-limit",
        }
    }
}

/// Finding about one key, and the file that set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// File that set the key last; absent for a finding about the whole folder.
    pub file: Option<Name>,
    /// Key as a dotted path; empty for a finding about a whole file.
    pub key: String,
    /// What was found.
    pub cause: Cause,
}

impl Finding {
    /// Returns the severity.
    pub fn severity(&self) -> Severity {
        match self.cause {
            Cause::Invalid(_) => Severity::Error,
            _ => Severity::Warning,
        }
    }
}

impl From<Problem> for Finding {
    fn from(problem: Problem) -> Self {
        Self {
            file: problem.file,
            key: problem.key,
            cause: Cause::Invalid(problem.reason),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.as_ref().map_or("settings", Name::as_str);
        match self.key.is_empty() {
            true => write!(f, "{file}: {}", self.cause),
            false => write!(f, "{file}: {}: {}", self.key, self.cause),
        }
    }
}

impl Serialize for Finding {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut fields = serializer.serialize_struct("Finding", 5)?;
        fields.serialize_field("severity", &self.severity())?;
        fields.serialize_field("file", &self.file)?;
        fields.serialize_field("key", &self.key)?;
        fields.serialize_field("code", self.cause.code())?;
        fields.serialize_field("message", &self.cause.to_string())?;
        fields.end()
    }
}
