use super::*;

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

// LOST: a service one of whose streams had ended early was doubted for good.
#[test]
fn service_is_doubted_for_a_time_only() {
    let (pool, other) = (Name::new("pool"), Name::new("other"));
    let mut early = EarlyEnds::new();
    early.record(at(1), &pool);
    assert!(early.contains(at(1), &pool) && !early.contains(at(1), &other));
    assert!(early.contains(at(60), &pool));
    assert!(!early.contains(at(61), &pool));
    early.record(at(70), &other);
    assert_eq!(early.services.len(), 1);
}
