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
fn generated_tokens_are_counted_before_answers_end() {
    let mut progress = Progress::new();
    assert_eq!(progress.record(at(0), &[running("a", 1_000, true)]), None);
    let later = [running("a", 1_100, true), running("b", 500, true)];
    let generated = Generated {
        tokens: 100,
        request_time: Duration::from_millis(200),
    };
    assert_eq!(progress.record(at(200), &later), Some(generated));
    let last = [running("a", 1_200, true), running("b", 560, true)];
    let generated = Generated {
        tokens: 160,
        request_time: Duration::from_millis(400),
    };
    assert_eq!(progress.record(at(400), &last), Some(generated));
}

#[test]
fn processed_prompt_tokens_do_not_count_as_generated() {
    let mut progress = Progress::new();
    progress.record(at(0), &[running("a", 1_000, false)]);
    assert_eq!(progress.record(at(200), &[running("a", 6_000, true)]), None);
}

#[test]
fn stalled_engine_is_reported_with_zero_tokens() {
    let mut progress = Progress::new();
    progress.record(at(0), &[running("a", 1_000, true)]);
    let generated = Generated {
        tokens: 0,
        request_time: Duration::from_millis(200),
    };
    let stalled = progress.record(at(200), &[running("a", 1_000, true)]);
    assert_eq!(stalled, Some(generated));
}

#[test]
fn preempted_request_is_not_counted() {
    let mut progress = Progress::new();
    progress.record(at(0), &[running("a", 1_000, true)]);
    assert_eq!(progress.record(at(200), &[running("a", 300, true)]), None);
    assert_eq!(progress.record(at(400), &[]), None);
}
