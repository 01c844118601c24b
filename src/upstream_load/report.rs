//! The load that an upstream reports in the head of an answer.

use thiserror::Error;

/// The largest plausible number of requests or slots of one upstream. Larger values are
/// taken for faults of the upstream.
const MAX_REQUESTS: u32 = 100_000;

/// The largest plausible factor of the service time.
const MAX_SLOWNESS: f64 = 100.0;

/// The value of the slowness field at which work takes its usual time.
const USUAL_SLOWNESS: f64 = 100.0;

/// The load of an upstream when it sent an answer.
///
/// Invariants: `running` and `waiting` are at most 100,000, `slots` is from 1 to 100,000,
/// and `slowness` is above 0 and at most 100.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// The number of requests in slots.
    pub running: u32,
    /// The number of requests that wait for a slot at the upstream.
    pub waiting: u32,
    /// The number of requests that run at once.
    pub slots: u32,
    /// The current service time as a multiple of the usual one.
    pub slowness: Option<f64>,
}

/// Text that is no load of an upstream.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not a load: running, waiting, slots and optionally slowness")]
pub struct InvalidLoad(String);

impl ReportedLoad {
    /// Parses the comma-separated numbers of requests running, requests waiting and slots,
    /// and optionally the service time in hundredths of the usual one.
    ///
    /// # Errors
    ///
    /// Fails if a number is missing, malformed or implausible.
    pub fn parse(text: &str) -> Result<Self, InvalidLoad> {
        Self::parse_fields(text).ok_or_else(|| InvalidLoad(text.to_owned()))
    }

    fn parse_fields(text: &str) -> Option<Self> {
        let mut fields = text.split(',').map(str::trim);
        let running = parse_count(fields.next()?)?;
        let waiting = parse_count(fields.next()?)?;
        let slots = parse_count(fields.next()?).filter(|slots| *slots > 0)?;
        let slowness = match fields.next() {
            None => None,
            Some(field) => Some(parse_slowness(field)?),
        };
        let load = Self {
            running,
            waiting,
            slots,
            slowness,
        };
        fields.next().is_none().then_some(load)
    }

    /// Returns the number of requests at the upstream.
    pub fn requests(&self) -> u32 {
        self.running + self.waiting
    }
}

fn parse_count(field: &str) -> Option<u32> {
    field.parse().ok().filter(|count| *count <= MAX_REQUESTS)
}

fn parse_slowness(field: &str) -> Option<f64> {
    let hundredths: f64 = field.parse().ok()?;
    let slowness = hundredths / USUAL_SLOWNESS;
    (slowness > 0.0 && slowness <= MAX_SLOWNESS).then_some(slowness)
}
