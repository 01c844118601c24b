use super::*;

fn at(seconds: u64) -> Timestamp {
    Timestamp::new(Duration::from_secs(seconds))
}

fn confirm(ends: &mut StreamEnds, service: &Name, count: u32) {
    for _ in 0..count {
        ends.record_confirmed(service);
    }
}

// Issue 59, ORDER: the ends of streams were believed before any end of their service was
// confirmed.
#[test]
fn service_is_trusted_after_confirmed_ends_in_a_row_only() {
    let (pool, other) = (Name::new("pool"), Name::new("other"));
    let mut ends = StreamEnds::new();
    assert!(!ends.is_trusted(at(1), &pool));
    confirm(&mut ends, &pool, TRUSTED_ENDS - 1);
    assert!(!ends.is_trusted(at(1), &pool));
    confirm(&mut ends, &pool, 1);
    assert!(ends.is_trusted(at(1), &pool) && !ends.is_trusted(at(1), &other));
    ends.record_early(at(2), &pool);
    confirm(&mut ends, &pool, TRUSTED_ENDS - 1);
    assert!(!ends.is_trusted(at(100), &pool));
}

// LOST: a service one of whose streams had ended early was doubted for good.
#[test]
fn service_is_doubted_for_a_time_only() {
    let (pool, other) = (Name::new("pool"), Name::new("other"));
    let mut ends = StreamEnds::new();
    ends.record_early(at(1), &pool);
    confirm(&mut ends, &pool, TRUSTED_ENDS);
    assert!(ends.is_doubted(at(60), &pool) && !ends.is_trusted(at(60), &pool));
    assert!(!ends.is_doubted(at(1), &other));
    assert!(!ends.is_doubted(at(61), &pool) && ends.is_trusted(at(61), &pool));
}
