use std::time::Duration;

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

const WAIT_DEADLINE_MILLIS: u64 = 500;

#[test]
fn timer_that_expired_while_the_entry_was_busy_stays_due() {
    let mut timers = WaitTimers::new();
    timers.collect_until(at(5));
    // Handling another event takes until 40 ms, past the end of the collection.
    assert!(timers.next(at(WAIT_DEADLINE_MILLIS)) <= at(40));
    assert_eq!(
        timers.due(at(40), at(WAIT_DEADLINE_MILLIS)),
        Some(Due::CollectionTimedOut)
    );
    assert_eq!(timers.due(at(40), at(WAIT_DEADLINE_MILLIS)), None);
    assert_eq!(
        timers.next(at(WAIT_DEADLINE_MILLIS)),
        at(WAIT_DEADLINE_MILLIS)
    );
}

#[test]
fn each_timer_is_due_once_and_not_before_its_time() {
    let mut timers = WaitTimers::new();
    timers.collect_until(at(5));
    timers.refresh_at(at(50));
    assert_eq!(timers.next(at(WAIT_DEADLINE_MILLIS)), at(5));
    assert_eq!(timers.due(at(4), at(WAIT_DEADLINE_MILLIS)), None);
    assert_eq!(
        timers.due(at(5), at(WAIT_DEADLINE_MILLIS)),
        Some(Due::CollectionTimedOut)
    );
    assert_eq!(timers.next(at(WAIT_DEADLINE_MILLIS)), at(50));
    assert_eq!(
        timers.due(at(50), at(WAIT_DEADLINE_MILLIS)),
        Some(Due::Refresh)
    );
    assert_eq!(
        timers.due(at(WAIT_DEADLINE_MILLIS), at(WAIT_DEADLINE_MILLIS)),
        Some(Due::WaitTimedOut)
    );
}
