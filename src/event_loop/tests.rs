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
