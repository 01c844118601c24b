use std::time::Duration;

use super::*;

const MINUTE: Duration = Duration::from_secs(60);

fn key() -> BurnKey {
    BurnKey {
        tier: Name::new("urgent"),
        organisation: Name::new("small"),
    }
}

fn at(minutes: u32) -> Timestamp {
    Timestamp::default() + MINUTE * minutes
}

#[test]
fn burn_is_one_when_the_budget_is_used_up_exactly() {
    let count = RequestCount { total: 100, bad: 1 };
    assert!((count.burn(0.99) - 1.0).abs() < 1e-9);
}

#[test]
fn fast_alert_starts_with_a_burst_of_bad_requests_and_ends_after_it() {
    let mut log = BurnLog::new();
    for minute in 0..60 {
        log.record(at(minute), key(), Outcome::unknown);
    }
    let rows = log.rows(at(60));
    assert_eq!(alert(&rows[0].windows, 0.99), Alert::Fast);
    for minute in 60..75 {
        log.record(at(minute), key(), Outcome::good);
    }
    let rows = log.rows(at(75));
    assert_ne!(alert(&rows[0].windows, 0.99), Alert::Fast);
}

#[test]
fn outcomes_caused_by_the_caller_do_not_count() {
    let mut log = BurnLog::new();
    log.record(at(0), key(), Outcome::invalid);
    log.record(at(0), key(), Outcome::cancelled);
    let rows = log.rows(at(1));
    assert_eq!(rows[0].windows[&Window::Hour], RequestCount::default());
}

#[test]
fn windows_exclude_expired_buckets() {
    let mut log = BurnLog::new();
    log.record(at(0), key(), Outcome::unknown);
    log.record(at(400), key(), Outcome::good);
    let rows = log.rows(at(400));
    let expected = RequestCount { total: 1, bad: 0 };
    assert!(rows[0].windows.values().all(|c| *c == expected));
}
