//! The status of an order, which tells others that it has ended.

use std::rc::Rc;
use std::time::Duration;

use slog::info;

use super::Acting;
use super::RETRY_INTERVAL;
use crate::discovery::RolloutStatus;
use crate::discovery::RolloutStore;
use crate::entry::rollouts::Rollouts;
use crate::rollout::RolloutState;

/// Time before the end of an order at which the status no longer waits for requests that run
/// at old upstreams. It covers an interval between decisions and a call of the store, which
/// usually takes a few milliseconds.
const STATUS_MARGIN: Duration = Duration::from_millis(250);

impl Rollouts {
    /// Writes the status of the order where it differs from the recorded state.
    pub(super) async fn write_status(&self, store: &Rc<dyn RolloutStore>, acting: &mut Acting) {
        let state = acting.row.state;
        let now = self.clock.now();
        if !acting.is_recorded || now < acting.store_after {
            return;
        }
        let Some(found) = self.found(&acting.order) else {
            self.find_again(store, acting).await;
            return;
        };
        if found.state() == Some(state) || !self.is_status_due(acting) {
            return;
        }
        let status = RolloutStatus {
            state,
            target: acting.order.target.clone(),
        };
        let written = store.write_status(found, status.clone()).await;
        info!(self.log, "status of a roll-out written";
            "service" => %acting.order.service,
            "state" => ?state,
            "error" => written.as_ref().err().map(ToString::to_string));
        if written.is_err() {
            acting.store_after = self.clock.now() + RETRY_INTERVAL;
        }
        // The object has another revision now, or its state is open.
        self.find_again(store, acting).await;
    }

    /// Returns whether the status may be written. `complete` ends the old upstreams, and so
    /// waits until nothing runs there, for as long as the order allows.
    fn is_status_due(&self, acting: &mut Acting) -> bool {
        if acting.row.state != RolloutState::Complete {
            return true;
        }
        let end = acting.order.duration.saturating_sub(STATUS_MARGIN);
        let now = self.clock.now();
        let known_since = self.known_since(&acting.order);
        let known_for = known_since.map_or(Duration::ZERO, |at| now.since(at));
        acting.row.elapsed.max(known_for) >= end || self.sum(acting).evidence.running_old == 0
    }

    /// Reads the order from the store.
    async fn find_again(&self, store: &Rc<dyn RolloutStore>, acting: &mut Acting) {
        match store.rollout(acting.order.service.clone()).await {
            Ok(found) => {
                let found = found.filter(|f| f.order.id == acting.order.id);
                acting.is_failure_logged = false;
                if found.is_none() {
                    // The watch of orders tells what has become of it.
                    acting.store_after = self.clock.now() + RETRY_INTERVAL;
                }
                let mut services = self.services.borrow_mut();
                if let Some(rollout) = services.get_mut(&acting.order.service)
                    && rollout.order.id == acting.order.id
                {
                    rollout.found = found;
                }
            }
            Err(e) => self.log_failure(acting, &e.into()),
        }
    }
}
