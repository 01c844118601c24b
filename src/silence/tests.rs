use proptest::prelude::*;

use super::*;

const LIMIT: Duration = Duration::from_millis(600);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(milliseconds))
}

/// Counts steps from `now` on, each at its time, until the limit is reached, and returns
/// the time at which it is.
fn run(watch: &mut SilenceWatch) -> Timestamp {
    loop {
        let now = watch.next_step(LIMIT);
        if watch.count_step(now, LIMIT) {
            return now;
        }
    }
}

#[test]
fn silence_is_reached_at_its_limit() {
    let mut watch = SilenceWatch::new(at(0));
    assert_eq!(run(&mut watch), at(600));
    assert_eq!(watch.stalled(), Duration::ZERO);
}

#[test]
fn bytes_end_a_silence() {
    let mut watch = SilenceWatch::new(at(0));
    assert!(!watch.count_step(at(100), LIMIT));
    watch.reset(at(150));
    assert_eq!(run(&mut watch), at(750));
}

// Issue 31, LOST: an entry that had stalled for longer than the idle timeout left its
// upstreams.
#[test]
fn stall_is_no_silence() {
    let mut watch = SilenceWatch::new(at(0));
    assert!(!watch.count_step(at(2_000), LIMIT));
    assert_eq!(watch.silent(), STEP);
    assert_eq!(watch.stalled(), Duration::from_millis(1_900));
    assert_eq!(run(&mut watch), at(2_500));
}

proptest! {
    // However long the steps take, the limit takes at least as many of them as without
    // stalls, and a peer that stays silent is always found out.
    #[test]
    fn silence_takes_the_same_number_of_steps_with_stalls(
        delays in prop::collection::vec(0u64..3_000, 6),
    ) {
        let mut watch = SilenceWatch::new(at(0));
        let mut reached = Vec::new();
        for delay in delays {
            let late = watch.next_step(LIMIT) + Duration::from_millis(delay);
            reached.push(watch.count_step(late, LIMIT));
        }
        prop_assert_eq!(reached, vec![false, false, false, false, false, true]);
    }
}
