use super::running::Cutoff;
use super::*;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(milliseconds))
}

#[test]
fn answer_is_not_cut_off_before_its_timeout() {
    let mut cutoff = Cutoff::new(at(3_000));
    assert!(!cutoff.is_reached(at(0)));
    assert!(!cutoff.is_reached(at(2_999)));
}

// Issue 31, LOST: what had arrived during a stall was dropped if the timeout had passed
// meanwhile.
#[test]
fn bytes_that_arrived_during_a_stall_are_relayed_after_the_timeout() {
    let mut cutoff = Cutoff::new(at(3_000));
    assert!(!cutoff.is_reached(at(5_000)));
    assert!(!cutoff.is_reached(at(5_199)));
    assert!(cutoff.is_reached(at(5_200)));
}

// An upstream that sends without end must not outlast the timeout.
#[test]
fn answer_without_end_is_cut_off() {
    let mut cutoff = Cutoff::new(at(3_000));
    assert!(!cutoff.is_reached(at(3_000)));
    assert!(cutoff.is_reached(at(3_200)));
}

// Issue 31, LOST: the timer was seen before the bytes that had arrived in a stall.
#[test]
fn answer_ends_only_after_a_second_look_past_its_timeout() {
    let mut cutoff = Cutoff::new(at(3_000));
    assert_eq!(cutoff.end(), at(3_000));
    assert!(!cutoff.is_end(at(5_000)));
    cutoff.is_reached(at(5_000));
    assert!(!cutoff.is_end(at(5_000)));
    assert!(cutoff.is_end(cutoff.end()));
}
