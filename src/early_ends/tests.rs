use super::*;

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

// LOST: an upstream that has ended one stream early was doubted for good.
#[test]
fn upstream_is_doubted_for_a_time_only() {
    let (x, y) = (Name::new("x"), Name::new("y"));
    let mut early = EarlyEnds::new();
    early.record(at(1), x.clone());
    assert!(early.contains(at(1), &x) && !early.contains(at(1), &y));
    assert!(early.contains(at(60), &x));
    assert!(!early.contains(at(61), &x));
    early.record(at(70), y.clone());
    assert_eq!(early.upstreams.len(), 1);
}
