use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

fn work(prefill: u64, output: u64) -> Work {
    Work {
        prefill,
        cached: 0,
        output,
    }
}

fn at(seconds: u64) -> Moment {
    Moment::new(Duration::from_secs(seconds))
}

fn close(actual: Duration, expected: f64) -> bool {
    (actual.as_secs_f64() - expected).abs() < 0.05 * expected
}

#[test]
fn prompt_and_generated_tokens_are_told_apart() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pace = Pace::new();
    for _ in 0..200 {
        let (prefill, output) = (rng.random_range(50..4000), rng.random_range(10..200));
        let time = 0.01 + prefill as f64 * 25e-6 + output as f64 * 5e-3;
        pace.finished(at(1), work(prefill, output), Duration::from_secs_f64(time));
    }
    assert!(close(pace.service_time(work(4000, 20)), 0.01 + 0.1 + 0.1));
    assert!(close(
        pace.service_time(work(50, 200)),
        0.01 + 0.00125 + 1.0
    ));
}

#[test]
fn a_straggler_is_noticed_within_its_memory() {
    let mut pace = Pace::new();
    for _ in 0..50 {
        pace.finished(at(1), work(100, 20), Duration::from_millis(100));
    }
    for second in 2..12 {
        pace.finished(at(second), work(100, 20), Duration::from_millis(600));
        pace.finished(at(second), work(100, 20), Duration::from_millis(600));
    }
    assert!(pace.service_time(work(100, 20)) > Duration::from_millis(300));
}

#[test]
fn a_plain_service_has_a_mean_time() {
    let mut pace = Pace::new();
    for _ in 0..10 {
        pace.finished(at(1), Work::default(), Duration::from_millis(40));
    }
    assert!(close(pace.service_time(Work::default()), 0.04));
}

#[test]
fn nothing_is_known_before_work_has_ended() {
    let pace = Pace::new();
    assert!(!pace.is_known());
    assert_eq!(pace.service_time(work(100_000, 1000)), Duration::ZERO);
}
