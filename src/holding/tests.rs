use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::ids::Incarnation;

const BOUNDS: HoldingBounds = HoldingBounds {
    requests: 4,
    bytes: 100,
};

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(1),
        sequence,
    }
}

fn at(millis: u64) -> Moment {
    Moment::new(Duration::from_millis(millis))
}

#[test]
fn the_lowest_tier_gives_way_and_a_dispatched_request_never_does() {
    let mut holding = Holding::new();
    for sequence in 0..4 {
        holding.take(BOUNDS, request(sequence), 2, at(sequence), 1);
    }
    holding.dispatched(request(3));
    let taken = holding.take(BOUNDS, request(9), 0, at(0), 1);
    assert_eq!(taken, Taken::Held(vec![request(2)]));
    let taken = holding.take(BOUNDS, request(10), 2, at(0), 1);
    assert_eq!(taken, Taken::Full);
}

proptest! {
    /// The bounds hold at all times, and whoever gives way is of a lower tier
    /// than the one taken in.
    #[test]
    fn bounds_hold_and_only_lower_tiers_give_way(
        steps in prop::collection::vec((0u8..4, 0u8..3, 1u64..60), 1..200),
    ) {
        let mut holding = Holding::new();
        let mut held: HashMap<RequestId, (u8, u64)> = HashMap::new();
        for (sequence, (step, order, bytes)) in (0u64..).zip(steps) {
            let request_id = request(sequence);
            match step {
                0 | 1 => match holding.take(BOUNDS, request_id, order, at(bytes), bytes) {
                    Taken::Held(yielding) => {
                        for other in yielding {
                            let (lower, _) = held.remove(&other).unwrap_or_default();
                            prop_assert!(lower > order);
                        }
                        held.insert(request_id, (order, bytes));
                    }
                    Taken::Full => {}
                },
                2 => holding.dispatched(request(bytes)),
                _ => {
                    holding.release(request(bytes));
                    held.remove(&request(bytes));
                }
            }
            prop_assert_eq!(holding.len(), held.len());
            prop_assert!(held.len() <= BOUNDS.requests);
            prop_assert!(held.values().map(|(_, b)| b).sum::<u64>() <= BOUNDS.bytes);
        }
    }
}
