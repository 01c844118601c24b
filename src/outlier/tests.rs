use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

#[test]
fn an_upstream_that_fails_most_requests_is_left_out_for_a_while() {
    let upstream = Name::new("grey");
    let mut outliers = Outliers::new();
    let failures = (0..9).find(|_| outliers.record_failed(at(0), &upstream).is_some());
    assert_eq!(failures, Some(3));
    assert!(outliers.is_ejected(at(499), &upstream));
    assert!(!outliers.is_ejected(at(500), &upstream));
}

#[test]
fn a_service_that_fails_a_sixth_is_not_an_outlier() {
    let upstream = Name::new("usual");
    let mut outliers = Outliers::new();
    for i in 0..600 {
        match i % 6 {
            0 => assert_eq!(outliers.record_failed(at(i), &upstream), None),
            _ => outliers.record_served(&upstream),
        }
    }
}

#[test]
fn one_that_cannot_be_reached_is_left_out_at_once_and_longer_each_time() {
    let upstream = Name::new("dark");
    let mut outliers = Outliers::new();
    let first = outliers.record_unreachable(at(0), &upstream);
    assert_eq!(first, Some(EJECTED_MIN));
    assert_eq!(outliers.record_unreachable(at(100), &upstream), None);
    let second = outliers.record_unreachable(at(600), &upstream);
    assert_eq!(second, Some(EJECTED_MIN * 2));
}

#[test]
fn one_that_serves_again_starts_anew() {
    let upstream = Name::new("back");
    let mut outliers = Outliers::new();
    outliers.record_unreachable(at(0), &upstream);
    (0..20).for_each(|_| outliers.record_served(&upstream));
    assert_eq!(
        outliers.record_unreachable(at(9_000), &upstream),
        Some(EJECTED_MIN)
    );
}

#[test]
fn one_whose_address_is_another_ones_is_left_out_until_its_registration_has_lapsed() {
    let upstream = Name::new("replaced");
    let mut outliers = Outliers::new();
    outliers.record_replaced(at(0), &upstream);
    assert!(outliers.is_replaced(at(9_999), &upstream));
    assert!(!outliers.is_replaced(at(10_000), &upstream));
}
