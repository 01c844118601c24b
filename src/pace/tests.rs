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

fn is_close(actual: Duration, expected: f64) -> bool {
    (actual.as_secs_f64() - expected).abs() < 0.05 * expected
}

#[test]
fn prompt_and_generated_tokens_have_separate_rates() {
    let mut pace = Pace::new();
    for i in 0..200 {
        let (prefill, output) = (37 * i % 4000, 10 + 13 * i % 200);
        let answer_start = Duration::from_secs_f64(0.04 + prefill as f64 * 25e-6);
        let generating = Duration::from_secs_f64(output as f64 * 5e-3);
        pace.record_answer_start(at(1), prefill, answer_start);
        pace.record_finish(at(1), output, generating, answer_start + generating);
    }
    assert!(is_close(
        pace.service_time(work(4000, 20)),
        0.04 + 0.1 + 0.1
    ));
    assert!(is_close(
        pace.service_time(work(50, 200)),
        0.04 + 0.00125 + 1.0
    ));
    assert!(is_close(pace.prefill_time(4000), 0.1));
    assert!(is_close(pace.answer_start_time(4000), 0.14));
}

#[test]
fn long_work_dominates_the_rate_over_short_work() {
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
    assert!(is_close(pace.service_time(work(0, 5_000)), 24.75));
}

#[test]
fn service_time_follows_an_upstream_that_slows_down() {
    let mut pace = Pace::new();
    let mut finished = |second, millis| {
        let elapsed = Duration::from_millis(millis);
        pace.record_finish(at(second), 20, elapsed, elapsed);
    };
    (0..50).for_each(|_| finished(1, 100));
    for second in 2..12 {
        finished(second, 600);
        finished(second, 600);
    }
    assert!(pace.service_time(work(0, 20)) > Duration::from_millis(300));
}

#[test]
fn plain_service_is_estimated_by_its_mean_time() {
    let mut pace = Pace::new();
    for _ in 0..10 {
        pace.record_finish(at(1), 0, Duration::ZERO, Duration::from_millis(40));
    }
    assert!(is_close(pace.service_time(Work::default()), 0.04));
}

#[test]
fn service_time_is_zero_before_any_work_has_ended() {
    let pace = Pace::new();
    assert!(!pace.is_known());
    assert_eq!(pace.service_time(work(100_000, 1000)), Duration::ZERO);
}
