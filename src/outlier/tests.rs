use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

#[test]
fn an_upstream_that_fails_most_requests_is_ejected_for_a_limited_time() {
    let upstream = Name::new("failing");
    let mut outliers = Outliers::new();
    let failures_before = (0..9).find(|_| outliers.record_failed(at(0), &upstream).is_some());
    assert_eq!(failures_before, Some(3));
    assert!(outliers.is_ejected(at(499), &upstream));
    assert!(!outliers.is_ejected(at(500), &upstream));
}

#[test]
fn a_service_that_fails_a_sixth_of_its_requests_is_not_ejected() {
    let upstream = Name::new("normal");
    let mut outliers = Outliers::new();
    for i in 0..600 {
        match i % 6 {
            0 => assert_eq!(outliers.record_failed(at(i), &upstream), None),
            _ => outliers.record_served(&upstream),
        }
    }
}

#[test]
fn an_unreachable_upstream_is_ejected_immediately_and_longer_each_time() {
    let upstream = Name::new("unreachable");
    let mut outliers = Outliers::new();
    let first = outliers.record_unreachable(at(0), &upstream);
    assert_eq!(first, Some(MIN_EJECTION_TIME));
    assert_eq!(outliers.record_unreachable(at(100), &upstream), None);
    let second = outliers.record_unreachable(at(600), &upstream);
    assert_eq!(second, Some(MIN_EJECTION_TIME * 2));
}

#[test]
fn an_upstream_that_recovers_starts_with_the_shortest_ejection() {
    let upstream = Name::new("recovered");
    let mut outliers = Outliers::new();
    outliers.record_unreachable(at(0), &upstream);
    (0..20).for_each(|_| outliers.record_served(&upstream));
    assert_eq!(
        outliers.record_unreachable(at(9_000), &upstream),
        Some(MIN_EJECTION_TIME)
    );
}

#[test]
fn a_replaced_upstream_is_excluded_until_its_registration_has_expired() {
    let upstream = Name::new("replaced");
    let mut outliers = Outliers::new();
    outliers.record_replaced(at(0), &upstream);
    assert!(outliers.is_replaced(at(9_999), &upstream));
    assert!(!outliers.is_replaced(at(10_000), &upstream));
}
