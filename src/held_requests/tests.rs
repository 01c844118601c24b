use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::ids::Incarnation;

const BOUNDS: HeldRequestBounds = HeldRequestBounds {
    requests: 4,
    bytes: 100,
};

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(1),
        sequence,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

#[test]
fn the_lowest_tier_is_evicted_and_a_dispatched_request_is_not() {
    let mut held_requests = HeldRequests::new();
    for sequence in 0..4 {
        held_requests.insert(BOUNDS, request(sequence), 2, at(sequence), 1);
    }
    held_requests.mark_sent(request(3));
    let result = held_requests.insert(BOUNDS, request(9), 0, at(0), 1);
    assert_eq!(result, HoldResult::Held(vec![request(2)]));
    let result = held_requests.insert(BOUNDS, request(10), 2, at(0), 1);
    assert_eq!(result, HoldResult::Full);
}

proptest! {
    /// The bounds are never exceeded, and every evicted request is of a lower
    /// tier than the inserted one.
    #[test]
    fn bounds_are_kept_and_only_lower_tiers_are_evicted(
        steps in prop::collection::vec((0u8..4, 0u8..3, 1u64..60), 1..200),
    ) {
        let mut held_requests = HeldRequests::new();
        let mut held: HashMap<RequestId, (u8, u64)> = HashMap::new();
        for (sequence, (step, rank, bytes)) in (0u64..).zip(steps) {
            let request_id = request(sequence);
            match step {
                0 | 1 => match held_requests.insert(BOUNDS, request_id, rank, at(bytes), bytes) {
                    HoldResult::Held(evicted) => {
                        for other in evicted {
                            let (victim_rank, _) = held.remove(&other).unwrap_or_default();
                            prop_assert!(victim_rank > rank);
                        }
                        held.insert(request_id, (rank, bytes));
                    }
                    HoldResult::Full => {}
                },
                2 => held_requests.mark_sent(request(bytes)),
                _ => {
                    held_requests.release(request(bytes));
                    held.remove(&request(bytes));
                }
            }
            prop_assert_eq!(held_requests.len(), held.len());
            prop_assert!(held.len() <= BOUNDS.requests);
            prop_assert!(held.values().map(|(_, b)| b).sum::<u64>() <= BOUNDS.bytes);
        }
    }
}
