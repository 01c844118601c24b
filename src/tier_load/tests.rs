use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

#[test]
fn load_of_a_tier_counts_for_lower_tiers_and_decays() {
    let mut tier_load = TierLoad::new();
    for i in 0..200 {
        // 150 ms of work every 50 ms fills three slots.
        tier_load.record(at(i * 50), Rank::from(1), 150_000);
    }
    let now = at(200 * 50);
    assert!((tier_load.slots_above(now, Rank::from(2)) - 3.0).abs() < 0.1);
    assert!(tier_load.slots_above(now, Rank::from(1)) < f64::EPSILON);
    assert!(tier_load.slots_above(at(20_000), Rank::from(2)) < 0.1);
}
