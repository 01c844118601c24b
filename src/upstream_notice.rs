//! What an upstream says of itself in the head of an answer.
//!
//! The [`Dialect`](crate::dialect::Dialect) reads a notice once from each answer. All that
//! sends requests follows it.

use std::num::ParseFloatError;
use std::time::Duration;
use std::time::SystemTime;

use thiserror::Error;

use crate::rate_limits::InvalidRateLimit;
use crate::rate_limits::RateLimit;
use crate::upstream_load::InvalidLoad;
use crate::upstream_load::ReportedLoad;

#[cfg(test)]
mod tests;

/// The longest time for which an upstream is believed to want no requests. It is asked
/// again after that.
const MAX_HOLD_OFF: Duration = Duration::from_secs(300);

/// What an upstream says of itself in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Whether it is leaving: it will end, and wants no new requests.
    pub leaving: bool,
    /// The time for which it wants no requests from this entry.
    pub hold_off: Option<Result<Duration, InvalidRetryAfter>>,
    /// The number of requests that it takes from all entries together.
    pub rate_limit: Option<Result<RateLimit, InvalidRateLimit>>,
    /// Its load when it answered.
    pub load: Option<Result<ReportedLoad, InvalidLoad>>,
}

/// Text that is no time to come back.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is neither a number of seconds nor a date")]
pub struct InvalidRetryAfter(String);

/// Parses the value of `Retry-After` (RFC 9110, section 10.2.3), a number of seconds or a
/// date. Fractions of seconds are accepted; long times are shortened.
///
/// # Errors
///
/// Fails if the text is neither.
pub fn parse_retry_after(text: &str, now: SystemTime) -> Result<Duration, InvalidRetryAfter> {
    let text = text.trim();
    let invalid = || InvalidRetryAfter(text.to_owned());
    let seconds: Result<f64, ParseFloatError> = text.parse();
    let time = match seconds {
        Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
            Duration::from_secs_f64(seconds.min(MAX_HOLD_OFF.as_secs_f64()))
        }
        Ok(_) => return Err(invalid()),
        Err(_) => {
            let date = httpdate::parse_http_date(text).map_err(|_| invalid())?;
            // A date that has passed asks for no pause.
            date.duration_since(now).unwrap_or_default()
        }
    };
    Ok(time.min(MAX_HOLD_OFF))
}
