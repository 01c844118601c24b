use super::*;

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn returning_callers_have_tried_for_what_they_lack() {
    let mut patience = Patience::new();
    let route = Name::new("r");
    assert_eq!(patience.record(at(0), &route, ms(3_000)), ms(0));
    assert_eq!(patience.record(at(1), &route, ms(2_000)), ms(1_000));
    assert_eq!(patience.record(at(1), &route, ms(3_000)), ms(0));
    assert_eq!(patience.record(at(1), &Name::new("other"), ms(500)), ms(0));
}

#[test]
fn shorter_deadlines_of_all_callers_are_followed() {
    let mut patience = Patience::new();
    let route = Name::new("r");
    patience.record(at(0), &route, ms(9_000));
    assert_eq!(patience.record(at(11), &route, ms(3_000)), ms(6_000));
    assert_eq!(patience.record(at(22), &route, ms(3_000)), ms(0));
    patience.remove_idle(at(80));
    assert!(patience.routes.is_empty());
}
