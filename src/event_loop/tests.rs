use super::*;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(milliseconds))
}

#[test]
fn late_check_shows_a_stall() {
    assert_eq!(
        stall_at(at(50), at(1_750)),
        Some(Duration::from_millis(1_700))
    );
}

#[test]
fn usual_delay_of_a_check_is_no_stall() {
    assert_eq!(stall_at(at(50), at(50)), None);
    assert_eq!(stall_at(at(50), at(90)), None);
}

#[actix_rt::test]
async fn operation_that_ends_in_time_is_not_interrupted() {
    let output = timeout(Duration::from_secs(60), async { 7 }).await;
    assert_eq!(output, Ok(7));
}

#[actix_rt::test]
async fn operation_without_end_times_out() {
    let output = timeout(Duration::from_millis(20), std::future::pending::<()>()).await;
    assert_eq!(output, Err(Elapsed));
}

// Issue 31, LOST: timeouts elapsed in a stall of the event loop.
#[actix_rt::test]
async fn operation_goes_on_after_a_stall_that_is_longer_than_its_limit() {
    let operation = async {
        std::thread::sleep(Duration::from_millis(1_500));
        for _ in 0..3 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    };
    assert_eq!(timeout(Duration::from_secs(1), operation).await, Ok(()));
}
