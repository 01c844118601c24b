//! Upstreams that want no requests from this entry until a time that they have named.
//!
//! After that time, one request shows whether the upstream takes requests again. Entries
//! that were told at the same time return at different times.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The time for which the first request after a hold-off is the only one, unless it is
/// answered sooner.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// The longest random extension of a hold-off, as a fraction of it.
const SPREAD_FRACTION: f64 = 0.1;

/// The longest random extension of a hold-off.
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// The upstreams that want no requests from this entry.
#[derive(Debug, Default)]
pub struct HoldOffs {
    upstreams: BTreeMap<Name, HoldOff>,
}

#[derive(Clone, Copy, Debug)]
struct HoldOff {
    /// When the upstream may get a request again.
    until: Timestamp,
    /// When the first request after that was sent.
    probed_at: Option<Timestamp>,
}

impl HoldOffs {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream wants no requests for `time`. `draw` is a random number
    /// from 0 to 1. Returns whether the upstream was in use before.
    pub fn begin(&mut self, now: Timestamp, upstream: &Name, time: Duration, draw: f64) -> bool {
        let spread = time.mul_f64(SPREAD_FRACTION).min(MAX_SPREAD).mul_f64(draw);
        let until = now + time + spread;
        let held_off = HoldOff {
            until,
            probed_at: None,
        };
        let before = self.upstreams.get(upstream).copied();
        // An answer to an earlier request can name an earlier time.
        if before.is_none_or(|b| b.until < until) {
            self.upstreams.insert(upstream.clone(), held_off);
        }
        before.is_none()
    }

    /// Returns the time until an upstream may get a request; `None` if it may now.
    pub fn wait(&self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let hold_off = self.upstreams.get(upstream)?;
        let at = hold_off.next_at();
        (now < at).then(|| now.until(at))
    }

    /// Records that a request is about to be sent.
    ///
    /// # Errors
    ///
    /// Fails with the time until the upstream may get a request, if it may not now.
    pub fn try_send(&mut self, now: Timestamp, upstream: &Name) -> Result<(), Duration> {
        if let Some(wait) = self.wait(now, upstream) {
            return Err(wait);
        }
        if let Some(hold_off) = self.upstreams.get_mut(upstream) {
            match hold_off.probed_at {
                None => hold_off.probed_at = Some(now),
                Some(_) => {
                    self.upstreams.remove(upstream);
                }
            }
        }
        Ok(())
    }

    /// Records that an upstream took a request that was sent at `sent_at`. Returns whether
    /// this ends its hold-off.
    pub fn record_taken(&mut self, sent_at: Timestamp, upstream: &Name) -> bool {
        let hold_off = self.upstreams.get(upstream);
        let ends = hold_off.is_some_and(|h| sent_at >= h.until);
        if ends {
            self.upstreams.remove(upstream);
        }
        ends
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.upstreams.retain(|name, _| keep(name));
    }
}

impl HoldOff {
    fn next_at(&self) -> Timestamp {
        match self.probed_at {
            None => self.until,
            Some(at) => at + PROBE_TIME,
        }
    }
}
