use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::name::Name;

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn request_class(organisation: &str) -> RequestClass {
    RequestClass {
        service: Name::new("pool"),
        order: 1,
        organisation: Name::new(organisation),
    }
}

/// What became of the requests of a line.
#[derive(Debug, Default)]
struct Served {
    refused: usize,
    record_admission: usize,
    in_vain: usize,
}

const PATIENCE: u64 = 800;

/// Requests every `each` ms for ten seconds; one gets room every `room` ms.
fn play(each: u64, room: u64) -> Served {
    let mut throttle = Throttle::new();
    let mut rng = SmallRng::seed_from_u64(each);
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let mut served = Served::default();
    for now in 0..10_000 {
        if now % each == 0 {
            let refused = throttle.refusal_probability(at(now), &request_class("large"));
            throttle.record_arrival(at(now), request_class("large"));
            match rng.random_bool(refused) {
                true => served.refused += 1,
                false => waiting.push_back(now),
            }
        }
        while waiting.front().is_some_and(|since| since + PATIENCE < now) {
            waiting.pop_front();
            served.in_vain += 1;
        }
        if now % room == 0 && waiting.pop_front().is_some() {
            served.record_admission += 1;
            throttle.record_admission(at(now), request_class("large"));
        }
    }
    served
}

#[test]
fn in_lasting_overload_few_wait_in_vain_and_all_room_is_used() {
    let served = play(4, 16);
    assert!(served.record_admission > 600, "{served:?}");
    assert!(served.in_vain * 4 < served.record_admission, "{served:?}");
}

#[test]
fn a_load_that_fits_is_not_refused() {
    let served = play(20, 16);
    assert_eq!(served.refused, 0, "{served:?}");
}

#[test]
fn other_organisations_are_not_refused_for_one() {
    let mut throttle = Throttle::new();
    for now in 0..1_000 {
        throttle.record_arrival(at(now), request_class("large"));
    }
    throttle.record_arrival(at(1_000), request_class("small"));
    assert!(throttle.refusal_probability(at(1_000), &request_class("large")) > 0.9);
    assert_eq!(
        throttle.refusal_probability(at(1_000), &request_class("small")),
        0.0
    );
}

#[test]
fn an_overload_that_is_over_is_forgotten() {
    let mut throttle = Throttle::new();
    for now in 0..1_000 {
        throttle.record_arrival(at(now), request_class("large"));
    }
    assert_eq!(
        throttle.refusal_probability(at(20_000), &request_class("large")),
        0.0
    );
    throttle.forget_idle(at(20_000));
    assert!(
        throttle
            .request_classes
            .contains_key(&request_class("large"))
    );
    throttle.forget_idle(at(40_000));
    assert!(throttle.request_classes.is_empty());
}
