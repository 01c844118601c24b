use super::*;

fn work(prefill: u64, output: u64) -> Work {
    Work {
        prefill,
        cached: 0,
        output,
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

fn close(actual: Duration, expected: f64) -> bool {
    (actual.as_secs_f64() - expected).abs() < 0.05 * expected
}

#[test]
fn prompt_and_generated_tokens_are_told_apart() {
    let mut pace = Pace::new();
    for i in 0..200 {
        let (prefill, output) = (37 * i % 4000, 10 + 13 * i % 200);
        let begin = Duration::from_secs_f64(0.04 + prefill as f64 * 25e-6);
        let generating = Duration::from_secs_f64(output as f64 * 5e-3);
        pace.record_answer_start(at(1), prefill, begin);
        pace.record_finish(at(1), output, generating, begin + generating);
    }
    assert!(close(pace.service_time(work(4000, 20)), 0.04 + 0.1 + 0.1));
    assert!(close(
        pace.service_time(work(50, 200)),
        0.04 + 0.00125 + 1.0
    ));
    assert!(close(pace.prefill_time(4000), 0.1));
    assert!(close(pace.answer_start_time(4000), 0.14));
}

#[test]
fn small_work_does_not_hide_what_long_work_takes() {
    let mut pace = Pace::new();
    for _ in 0..50 {
        pace.record_finish(
            at(1),
            1,
            Duration::from_millis(100),
            Duration::from_millis(100),
        );
    }
    pace.record_finish(
        at(1),
        5_000,
        Duration::from_secs(20),
        Duration::from_secs(20),
    );
    assert!(close(pace.service_time(work(0, 5_000)), 24.75));
}

#[test]
fn a_straggler_is_noticed_within_its_memory() {
    let mut pace = Pace::new();
    let mut finished = |second, millis| {
        let took = Duration::from_millis(millis);
        pace.record_finish(at(second), 20, took, took);
    };
    (0..50).for_each(|_| finished(1, 100));
    for second in 2..12 {
        finished(second, 600);
        finished(second, 600);
    }
    assert!(pace.service_time(work(0, 20)) > Duration::from_millis(300));
}

#[test]
fn a_plain_service_has_a_mean_time() {
    let mut pace = Pace::new();
    for _ in 0..10 {
        pace.record_finish(at(1), 0, Duration::ZERO, Duration::from_millis(40));
    }
    assert!(close(pace.service_time(Work::default()), 0.04));
}

#[test]
fn nothing_is_known_before_work_has_ended() {
    let pace = Pace::new();
    assert!(!pace.is_known());
    assert_eq!(pace.service_time(work(100_000, 1000)), Duration::ZERO);
}
