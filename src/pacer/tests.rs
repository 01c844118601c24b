use super::*;

/// Pattern: a store answers every watch at once, because it has dropped its history.
#[test]
fn calls_with_immediate_replies_are_bounded() {
    let mut pacer = Pacer::new();
    let mut now = Timestamp::default();
    let mut calls = 0;
    while now < Timestamp::new(Duration::from_secs(60)) {
        now = now + pacer.delay(now) + Duration::from_millis(4);
        calls += 1;
    }
    assert!(calls <= 60 * 3 + 6, "{calls}");
}

#[test]
fn a_few_changes_in_quick_succession_are_not_delayed() {
    let mut pacer = Pacer::new();
    for i in 0..5 {
        let now = Timestamp::new(Duration::from_millis(i * 10));
        assert_eq!(pacer.delay(now), Duration::ZERO);
    }
}

#[test]
fn calls_that_wait_for_changes_are_never_delayed() {
    let mut pacer = Pacer::new();
    for i in 0..100 {
        let now = Timestamp::new(Duration::from_millis(i * 400));
        assert_eq!(pacer.delay(now), Duration::ZERO);
    }
}
