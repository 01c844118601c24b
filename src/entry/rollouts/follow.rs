//! Keeps the orders, rows and reports of an entry up to date.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::Rollouts;
use crate::discovery::Answer;
use crate::discovery::Backoff;
use crate::discovery::RolloutStore;
use crate::gossip::Topic;
use crate::rollout::RolloutRow;

/// Time between two looks at the rows of other entries. It is as long as the shortest
/// interval at which entries exchange them.
const ROUND: Duration = Duration::from_millis(50);

/// Rounds between two reports.
const REPORT_ROUNDS: u32 = 2;

/// Shortest time between the starts of two calls that list or watch orders: the platform
/// allows three a second.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(340);

impl Rollouts {
    /// Follows orders and rows and reports on them, until the task is aborted. Returns at
    /// once if this process follows no orders.
    pub async fn run(self: Rc<Self>) {
        let Some(store) = self.store.clone() else {
            return;
        };
        self.wait_until_enabled().await;
        futures::future::join(self.follow_orders(store), self.follow_rows()).await;
    }

    /// Waits until the settings ask for roll-outs.
    async fn wait_until_enabled(&self) {
        let mut revisions = self.active_settings.subscribe();
        while self.limits().is_none() {
            if revisions.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    async fn follow_orders(self: &Rc<Self>, store: Rc<dyn RolloutStore>) {
        let mut backoff = Backoff::new("roll-outs", self.log.clone());
        loop {
            let started = Instant::now();
            backoff.begin_call();
            match store.rollouts().await {
                Ok(answer) => {
                    backoff.record_success();
                    if let Answer::State(listed) = answer {
                        self.adopt_listed(listed);
                    }
                }
                Err(e) => backoff.wait_after_failure(&e).await,
            }
            actix_rt::time::sleep_until(started + MIN_CALL_INTERVAL).await;
        }
    }

    async fn follow_rows(self: &Rc<Self>) {
        let mut round = 0_u32;
        loop {
            actix_rt::time::sleep(ROUND).await;
            self.observe_versions(self.clock.now());
            for (service, row) in self.gossip.all::<RolloutRow>(Topic::Rollout) {
                self.follow_row(&service, row);
            }
            round = round.wrapping_add(1);
            if round.is_multiple_of(REPORT_ROUNDS) {
                self.report();
                self.drop_ended();
            }
        }
    }
}
