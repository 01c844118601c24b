//! The pace of an upstream, measured from the work that it has finished.

use std::time::Duration;

use crate::clock::Moment;

/// The weight of the newest sample in the moving averages.
const GAIN: f64 = 0.1;

/// Moving averages of how fast an upstream finishes work.
///
/// The pace is that of the upstream as a whole: cost finished per second
/// while work was running, over all requests that ran at the same time.
#[derive(Debug)]
pub struct Pace {
    /// Seconds for one unit of cost; absent until work has finished.
    seconds_per_cost: Option<f64>,
    /// Seconds from dispatch to the end of a request.
    service_seconds: Option<f64>,
    /// When the last request finished, or the first of a busy period began.
    since: Option<Moment>,
    running: usize,
}

impl Pace {
    /// An upstream of unknown pace.
    pub fn new() -> Self {
        Self {
            seconds_per_cost: None,
            service_seconds: None,
            since: None,
            running: 0,
        }
    }

    /// Notes that a request was dispatched.
    pub fn started(&mut self, now: Moment) {
        if self.running == 0 {
            self.since = Some(now);
        }
        self.running += 1;
    }

    /// Notes that a request of this cost ended, `took` after its dispatch.
    pub fn finished(&mut self, now: Moment, cost: u64, took: Duration) {
        self.running = self.running.saturating_sub(1);
        let since = self.since.replace(now).unwrap_or(now);
        let seconds = now.since(since).as_secs_f64() / cost.max(1) as f64;
        self.seconds_per_cost = Some(average(self.seconds_per_cost, seconds));
        self.service_seconds = Some(average(self.service_seconds, took.as_secs_f64()));
    }

    /// Seconds for one unit of cost; zero while unknown.
    pub fn seconds_per_cost(&self) -> f64 {
        self.seconds_per_cost.unwrap_or_default()
    }

    /// The expected time to finish work of this cost.
    pub fn time_for(&self, cost: u64) -> Duration {
        seconds(self.seconds_per_cost() * cost as f64)
    }

    /// The usual time from dispatch to the end of a request.
    pub fn service_time(&self) -> Duration {
        seconds(self.service_seconds.unwrap_or_default())
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::new()
    }
}

fn average(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + GAIN * (new - old))
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
