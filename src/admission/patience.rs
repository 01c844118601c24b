//! How long callers have been trying.
//!
//! A caller that comes back after a refusal says how much time it has left. What it
//! has used is the difference to the longest time that callers of the same route
//! have lately had left: that of their first attempts.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Time over which the longest remaining time of a route is taken. It follows a route
/// whose callers change their deadlines.
const PERIOD: Duration = Duration::from_secs(10);

/// The longest remaining times of the callers of each route.
#[derive(Debug, Default)]
pub struct Patience {
    routes: HashMap<Name, Longest>,
}

/// The longest remaining time in the current period and in the one before.
#[derive(Debug)]
struct Longest {
    since: Timestamp,
    current: Duration,
    previous: Duration,
}

impl Patience {
    /// Creates a state without any observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a caller of `route` that has `left` until its deadline. Returns how long
    /// it has been trying.
    pub fn record(&mut self, now: Timestamp, route: &Name, left: Duration) -> Duration {
        if !self.routes.contains_key(route) {
            let first = Longest {
                since: now,
                current: left,
                previous: Duration::ZERO,
            };
            self.routes.insert(route.clone(), first);
        }
        let Some(longest) = self.routes.get_mut(route) else {
            return Duration::ZERO;
        };
        if now.since(longest.since) >= PERIOD {
            longest.previous = std::mem::take(&mut longest.current);
            longest.since = now;
        }
        longest.current = longest.current.max(left);
        longest.current.max(longest.previous).saturating_sub(left)
    }

    /// Removes the routes that were not used recently.
    pub fn remove_idle(&mut self, now: Timestamp) {
        self.routes
            .retain(|_, longest| now.since(longest.since) < PERIOD * 4);
    }
}
