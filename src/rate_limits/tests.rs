//! Tests of the table of limits that upstreams name.

use std::time::Duration;

use super::Change;
use super::RateLimit;
use super::RateLimits;
use crate::clock::Timestamp;
use crate::name::Name;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("a limit")
}

#[test]
fn text_is_parsed_as_a_decimal_number() {
    assert_eq!(RateLimit::parse(" 5.4 "), Ok(limit(5.4)));
    assert_eq!(RateLimit::parse("0"), Ok(limit(0.0)));
    for text in ["", "-1", "inf", "NaN", "5,4", "5/s"] {
        let error = RateLimit::parse(text).expect_err("no limit");
        assert!(error.to_string().contains(text), "{error}");
    }
}

#[test]
fn limit_begins_changes_and_ends() {
    let mut limits = RateLimits::new();
    let upstream = Name::new("a");
    assert_eq!(limits.record_unnamed(at(0), &upstream), None);
    let began = limits.record_named(at(10), &upstream, limit(5.0));
    assert_eq!(began, Some(Change::Began(limit(5.0))));
    assert_eq!(limits.record_named(at(20), &upstream, limit(5.0)), None);
    let changed = limits.record_named(at(30), &upstream, limit(2.0));
    let expected = Change::Changed {
        from: limit(5.0),
        to: limit(2.0),
    };
    assert_eq!(changed, Some(expected));
    assert_eq!(limits.get(&upstream), Some(limit(2.0)));
    assert_eq!(
        limits.record_unnamed(at(40), &upstream),
        Some(Change::Ended)
    );
    assert_eq!(limits.get(&upstream), None);
    assert!(limits.is_empty());
    let again = limits.record_named(at(50), &upstream, limit(2.0));
    assert_eq!(again, Some(Change::Began(limit(2.0))));
}

// An answer can be older than one that arrived before it.
#[test]
fn answer_to_a_request_from_before_the_limit_does_not_end_it() {
    let mut limits = RateLimits::new();
    let upstream = Name::new("a");
    limits.record_named(at(100), &upstream, limit(5.0));
    assert_eq!(limits.record_unnamed(at(90), &upstream), None);
    assert_eq!(limits.get(&upstream), Some(limit(5.0)));
}
