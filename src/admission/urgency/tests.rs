use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn urgency(tried_for: u64, left: u64) -> Urgency {
    Urgency {
        objective: ms(400),
        deadline: ms(left),
        tried_for: ms(tried_for),
        resumes: false,
    }
}

#[test]
fn fresh_requests_wait_about_as_long_as_their_objective() {
    let fresh = urgency(0, 3_000);
    assert!(!fresh.is_overdue());
    assert_eq!(fresh.max_wait(), ms(520));
    assert_eq!(fresh.max_expected_wait(), ms(160));
    assert_eq!(urgency(0, 300).max_wait(), ms(300));
}

/// Pattern: a caller refused in a burst comes back with part of its time left.
#[test]
fn overdue_requests_have_no_objective_left_and_wait_like_fresh_ones() {
    let overdue = urgency(1_000, 2_000);
    assert!(overdue.is_overdue());
    assert_eq!(overdue.objective_left(), Duration::ZERO);
    assert_eq!(overdue.max_wait(), ms(520));
    assert_eq!(overdue.max_expected_wait(), ms(160));
    assert_eq!(urgency(100, 2_900).objective_left(), ms(300));
}

// Issue 66, LOST (review case 8): streams that found no room at the few upstreams of their version
// at once were refused, and their callers had no other try.
#[test]
fn requests_that_resume_streams_wait_longer() {
    let resumed = Urgency {
        resumes: true,
        ..urgency(0, 3_000)
    };
    assert_eq!(resumed.max_wait(), ms(1_200));
    assert_eq!(resumed.max_expected_wait(), ms(800));
    let late = Urgency {
        resumes: true,
        ..urgency(0, 700)
    };
    assert_eq!(late.max_wait(), ms(700));
}
