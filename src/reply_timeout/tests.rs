use proptest::prelude::*;

use super::*;

const LIMIT: Duration = Duration::from_millis(500);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(milliseconds))
}

fn deadline() -> Deadline {
    Deadline {
        expected: at(2_000),
        limit: LIMIT,
    }
}

fn due(own: Option<u64>, large: Option<u64>) -> Timestamp {
    deadline().due(Arrivals {
        own: own.map(at),
        large: large.map(at),
    })
}

#[test]
fn call_without_a_reply_is_due_after_its_limit() {
    assert_eq!(due(None, None), at(2_500));
}

// Issue 50, CONFIG: the timeout covered the transfer of the reply.
#[test]
fn call_is_due_after_its_limit_without_further_bytes_of_the_reply() {
    assert_eq!(due(Some(2_400), None), at(2_900));
    assert_eq!(due(Some(9_000), None), at(9_500));
}

#[test]
fn reply_that_comes_early_does_not_shorten_the_wait() {
    assert_eq!(due(Some(100), None), at(2_500));
}

// Issue 50, DRAIN: calls failed whose small replies waited behind a large one.
#[test]
fn call_waits_longer_while_a_large_reply_is_received() {
    assert_eq!(due(None, Some(2_450)), at(2_950));
    assert_eq!(due(None, Some(3_400)), at(3_500));
    assert_eq!(due(None, Some(60_000)), at(3_500));
}

#[test]
fn reply_without_end_times_out() {
    assert_eq!(due(Some(60_000), None), at(22_000));
}

proptest! {
    #[test]
    fn call_is_never_due_before_its_limit_nor_after_its_bounds(
        own in proptest::option::of(0_u64..60_000),
        large in proptest::option::of(0_u64..60_000),
    ) {
        let due = due(own, large);
        prop_assert!(due >= at(2_500));
        let last = match own {
            Some(_) => at(22_000),
            None => at(2_500) + LIMIT * MAX_EXTENSIONS,
        };
        prop_assert!(due <= last);
    }
}

#[actix_rt::test]
async fn call_whose_reply_arrives_in_pieces_does_not_time_out() {
    let transfers = Transfers::new();
    let transfer = transfers.start(Duration::ZERO, Duration::from_millis(200));
    let call = async {
        for _ in 0..8 {
            actix_rt::time::sleep(Duration::from_millis(60)).await;
            transfer.record(LARGE_REPLY / 4);
        }
    };
    assert_eq!(transfer.run(call).await, Ok(()));
    assert!(transfers.is_receiving(Duration::from_secs(1)));
}

#[actix_rt::test]
async fn call_whose_reply_stops_times_out() {
    let transfers = Transfers::new();
    let transfer = transfers.start(Duration::ZERO, Duration::from_millis(50));
    let call = async {
        transfer.record(1);
        std::future::pending::<()>().await;
    };
    assert_eq!(transfer.run(call).await, Err(Elapsed));
    assert_eq!(transfer.received(), 1);
    assert!(!transfers.is_receiving(Duration::from_secs(1)));
}

#[actix_rt::test]
async fn call_behind_a_large_reply_of_another_call_does_not_time_out() {
    let transfers = Transfers::new();
    let limit = Duration::from_millis(200);
    let large = transfers.start(Duration::ZERO, limit);
    let small = transfers.start(Duration::ZERO, limit);
    let receive_large = async {
        for _ in 0..5 {
            actix_rt::time::sleep(Duration::from_millis(60)).await;
            large.record(LARGE_REPLY);
        }
    };
    let wait = actix_rt::time::sleep(Duration::from_millis(350));
    let (large, small) = futures::join!(large.run(receive_large), small.run(wait));
    assert_eq!((large, small), (Ok(()), Ok(())));
}
