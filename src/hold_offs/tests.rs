use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn upstream() -> Name {
    Name::new("a")
}

fn held_off_for(millis: u64) -> HoldOffs {
    let mut hold_offs = HoldOffs::new();
    assert!(hold_offs.begin(at(0), &upstream(), Duration::from_millis(millis), 0.0));
    hold_offs
}

#[test]
fn upstream_gets_no_request_before_its_time() {
    let mut hold_offs = held_off_for(4_000);
    let wait = hold_offs.try_send(at(1_000), &upstream());
    assert_eq!(wait, Err(Duration::from_millis(3_000)));
    assert_eq!(hold_offs.wait(at(1_000), &Name::new("b")), None);
    assert_eq!(hold_offs.try_send(at(4_000), &upstream()), Ok(()));
}

// Issue 38: all that waited would be sent at the end of the time.
#[test]
fn one_request_is_sent_first_after_the_time() {
    let mut hold_offs = held_off_for(4_000);
    assert_eq!(hold_offs.try_send(at(4_100), &upstream()), Ok(()));
    assert!(hold_offs.try_send(at(4_100), &upstream()).is_err());
    assert!(hold_offs.record_taken(at(4_100), &upstream()));
    assert_eq!(hold_offs.try_send(at(4_200), &upstream()), Ok(()));
    assert_eq!(hold_offs.try_send(at(4_200), &upstream()), Ok(()));
}

#[test]
fn first_request_without_an_answer_blocks_others_for_a_second_only() {
    let mut hold_offs = held_off_for(1_000);
    assert_eq!(hold_offs.try_send(at(1_000), &upstream()), Ok(()));
    assert!(hold_offs.try_send(at(1_999), &upstream()).is_err());
    assert_eq!(hold_offs.try_send(at(2_000), &upstream()), Ok(()));
    assert_eq!(hold_offs.try_send(at(2_000), &upstream()), Ok(()));
}

// An answer to a request that was sent before the upstream turned others away.
#[test]
fn earlier_request_that_was_taken_does_not_end_the_time() {
    let mut hold_offs = held_off_for(4_000);
    assert!(!hold_offs.record_taken(at(0), &upstream()));
    assert!(hold_offs.wait(at(3_999), &upstream()).is_some());
}

#[test]
fn later_end_counts() {
    let mut hold_offs = held_off_for(4_000);
    assert!(!hold_offs.begin(at(100), &upstream(), Duration::from_millis(500), 0.0));
    assert!(hold_offs.wait(at(3_999), &upstream()).is_some());
    assert!(!hold_offs.begin(at(200), &upstream(), Duration::from_millis(6_000), 0.0));
    assert!(hold_offs.wait(at(6_199), &upstream()).is_some());
}

// Issue 38: entries that were told at the same time must not return at the same time.
#[test]
fn ends_are_spread() {
    let ends = [0.0, 0.5, 1.0].map(|draw| {
        let mut hold_offs = HoldOffs::new();
        hold_offs.begin(at(0), &upstream(), Duration::from_secs(4), draw);
        hold_offs.wait(at(0), &upstream()).expect("a wait")
    });
    assert_eq!(ends, [4_000, 4_200, 4_400].map(Duration::from_millis));
}
