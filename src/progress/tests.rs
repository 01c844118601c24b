use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn running(id: &str, tokens: u64, is_answering: bool) -> RunningRequest {
    RunningRequest {
        id: Name::new(id),
        tokens,
        is_answering,
    }
}

#[test]
fn the_pace_of_long_answers_is_known_before_they_end() {
    let mut progress = Progress::new();
    assert_eq!(progress.record(at(0), &[running("a", 1_000, true)]), None);
    let later = [running("a", 1_100, true), running("b", 500, true)];
    let generated = Generated {
        tokens: 100,
        took: Duration::from_millis(200),
    };
    assert_eq!(progress.record(at(200), &later), Some(generated));
    let last = [running("a", 1_200, true), running("b", 560, true)];
    let generated = Generated {
        tokens: 160,
        took: Duration::from_millis(400),
    };
    assert_eq!(progress.record(at(400), &last), Some(generated));
}

#[test]
fn prompts_that_are_processed_are_not_generated() {
    let mut progress = Progress::new();
    progress.record(at(0), &[running("a", 1_000, false)]);
    assert_eq!(progress.record(at(200), &[running("a", 6_000, true)]), None);
}

#[test]
fn an_engine_that_stands_still_is_noticed() {
    let mut progress = Progress::new();
    progress.record(at(0), &[running("a", 1_000, true)]);
    let generated = Generated {
        tokens: 0,
        took: Duration::from_millis(200),
    };
    let still = progress.record(at(200), &[running("a", 1_000, true)]);
    assert_eq!(still, Some(generated));
}

#[test]
fn one_that_was_put_back_says_nothing() {
    let mut progress = Progress::new();
    progress.record(at(0), &[running("a", 1_000, true)]);
    assert_eq!(progress.record(at(200), &[running("a", 300, true)]), None);
    assert_eq!(progress.record(at(400), &[]), None);
}
