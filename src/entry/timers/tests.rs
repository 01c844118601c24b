use std::time::Duration;

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

const PATIENCE: u64 = 500;

#[test]
fn what_fell_due_while_the_entry_was_busy_is_still_told() {
    let mut timers = WaitTimers::new();
    timers.collect_until(at(5));
    // Another event was handled until later than that.
    assert!(timers.next(at(PATIENCE)) <= at(40));
    assert_eq!(timers.due(at(40), at(PATIENCE)), Some(Due::Collected));
    assert_eq!(timers.due(at(40), at(PATIENCE)), None);
    assert_eq!(timers.next(at(PATIENCE)), at(PATIENCE));
}

#[test]
fn each_moment_is_told_once_and_in_its_time() {
    let mut timers = WaitTimers::new();
    timers.collect_until(at(5));
    timers.refresh_at(at(50));
    assert_eq!(timers.next(at(PATIENCE)), at(5));
    assert_eq!(timers.due(at(4), at(PATIENCE)), None);
    assert_eq!(timers.due(at(5), at(PATIENCE)), Some(Due::Collected));
    assert_eq!(timers.next(at(PATIENCE)), at(50));
    assert_eq!(timers.due(at(50), at(PATIENCE)), Some(Due::Refresh));
    assert_eq!(timers.due(at(PATIENCE), at(PATIENCE)), Some(Due::Patience));
}
