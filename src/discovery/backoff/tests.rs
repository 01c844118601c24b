use slog::Discard;
use slog::o;

use super::*;

/// Fails calls that take `call` each, and returns the longest time between the
/// starts of two of them.
async fn longest_interval(call: Duration) -> Duration {
    let mut backoff = Backoff::new("test", Logger::root(Discard, o!()));
    let mut longest = Duration::ZERO;
    for _ in 0..50 {
        let started = Instant::now();
        backoff.begin_call();
        tokio::time::sleep(call).await;
        backoff.wait_after_failure(&StoreError::Unreachable).await;
        longest = longest.max(started.elapsed());
    }
    longest
}

// Issue 25, DRAIN: the pause came on top of the call's timeout, so that the end of a
// cut was noticed more than a second late.
#[tokio::test(start_paused = true)]
async fn time_between_calls_does_not_grow_with_the_duration_of_a_call() {
    let tick = Duration::from_millis(2);
    for millis in [0, 100, 300, 500] {
        let interval = longest_interval(Duration::from_millis(millis)).await;
        assert!(interval <= RETRY_MAX + tick, "{millis} ms: {interval:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn calls_that_fail_at_once_are_spread() {
    let started = Instant::now();
    let mut backoff = Backoff::new("test", Logger::root(Discard, o!()));
    for _ in 0..20 {
        backoff.begin_call();
        backoff.wait_after_failure(&StoreError::Refused(503)).await;
    }
    // The last sixteen calls have the longest interval, at half of it at least.
    assert!(started.elapsed() >= RETRY_MAX * 8);
}
