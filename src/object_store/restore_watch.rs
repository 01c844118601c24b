//! Notices that a store was restored from an older copy.

use crate::object_store::Timeline;
use crate::object_store::TimelineReceiver;

/// Compares the timeline of a store with the one that a task has worked in.
pub struct RestoreWatch {
    timelines: TimelineReceiver,
    /// The timeline that the task has worked in; `None` until the store has named
    /// one. The first one that becomes known is no restore.
    known: Option<Timeline>,
}

impl RestoreWatch {
    /// Creates a watch that starts in the current timeline.
    pub fn new(timelines: TimelineReceiver) -> Self {
        let known = *timelines.borrow();
        Self { timelines, known }
    }

    /// Notes the timeline if none was known before. Called after the first call to
    /// the store, so that a restore right after it is noticed.
    pub fn start(&mut self) {
        if self.known.is_none() {
            self.known = *self.timelines.borrow();
        }
    }

    /// Returns whether the store was restored since the last call that returned
    /// true.
    pub fn is_restored(&mut self) -> bool {
        let current = *self.timelines.borrow_and_update();
        let before = self.known;
        self.known = current.or(before);
        before.is_some() && before != self.known
    }

    /// Waits until `is_restored` returns true and returns the new timeline.
    pub async fn restored(&mut self) -> Timeline {
        while !self.is_restored() {
            if self.timelines.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
        self.known.unwrap_or_default()
    }
}
