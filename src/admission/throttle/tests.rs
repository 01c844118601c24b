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
        rank: 1,
        overdue: false,
        organisation: Name::new(organisation),
    }
}

/// Counts of the requests of one class by how they ended.
#[derive(Debug, Default)]
struct Outcomes {
    refused: usize,
    dispatched: usize,
    timed_out: usize,
}

/// Milliseconds after which a waiting request times out.
const MAX_WAIT_MS: u64 = 800;

/// Simulates ten seconds with an arrival every `arrival_interval` ms; the
/// first waiting request is dispatched every `dispatch_interval` ms.
fn simulate(arrival_interval: u64, dispatch_interval: u64) -> Outcomes {
    let mut throttle = Throttle::new();
    let mut rng = SmallRng::seed_from_u64(arrival_interval);
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let mut outcomes = Outcomes::default();
    for now in 0..10_000 {
        if now % arrival_interval == 0 {
            let probability = throttle.refusal_probability(at(now), &request_class("large"));
            throttle.record_arrival(at(now), request_class("large"));
            match rng.random_bool(probability) {
                true => outcomes.refused += 1,
                false => waiting.push_back(now),
            }
        }
        while waiting
            .front()
            .is_some_and(|arrived| arrived + MAX_WAIT_MS < now)
        {
            waiting.pop_front();
            outcomes.timed_out += 1;
        }
        if now % dispatch_interval == 0 && waiting.pop_front().is_some() {
            outcomes.dispatched += 1;
            throttle.record_sent(at(now), request_class("large"));
        }
    }
    outcomes
}

#[test]
fn sustained_overload_times_out_few_requests_and_uses_all_capacity() {
    let outcomes = simulate(4, 16);
    assert!(outcomes.dispatched > 600, "{outcomes:?}");
    assert!(outcomes.timed_out * 4 < outcomes.dispatched, "{outcomes:?}");
}

#[test]
fn load_within_capacity_is_not_refused() {
    let outcomes = simulate(20, 16);
    assert_eq!(outcomes.refused, 0, "{outcomes:?}");
}

#[test]
fn overload_of_one_organisation_does_not_refuse_others() {
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
fn counts_decay_and_are_removed_after_an_overload() {
    let mut throttle = Throttle::new();
    for now in 0..1_000 {
        throttle.record_arrival(at(now), request_class("large"));
    }
    assert_eq!(
        throttle.refusal_probability(at(20_000), &request_class("large")),
        0.0
    );
    throttle.remove_idle(at(20_000));
    assert!(
        throttle
            .ranks
            .contains_key(&request_class("large").service_rank())
    );
    throttle.remove_idle(at(40_000));
    assert!(throttle.ranks.is_empty());
}

/// Pattern: many organisations with few requests each ask for several times what
/// can be served, through an entry that sees a small part of the traffic.
#[test]
fn overload_by_many_organisations_is_recognised() {
    let mut throttle = Throttle::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut waiting: VecDeque<(u64, RequestClass)> = VecDeque::new();
    let mut outcomes = Outcomes::default();
    for now in 0..20_000 {
        if now % 20 == 0 {
            let class = request_class(&format!("organisation-{}", rng.random_range(0..16)));
            let probability = throttle.refusal_probability(at(now), &class);
            throttle.record_arrival(at(now), class.clone());
            match rng.random_bool(probability) {
                true => outcomes.refused += 1,
                false => waiting.push_back((now, class)),
            }
        }
        while waiting
            .front()
            .is_some_and(|(at, _)| at + MAX_WAIT_MS < now)
        {
            waiting.pop_front();
            outcomes.timed_out += 1;
        }
        if now % 80 == 0
            && let Some((_, class)) = waiting.pop_front()
        {
            outcomes.dispatched += 1;
            throttle.record_sent(at(now), class);
        }
    }
    assert!(outcomes.dispatched > 240, "{outcomes:?}");
    assert!(outcomes.timed_out < outcomes.refused, "{outcomes:?}");
}

/// Pattern: one of many organisations sends far more than the others.
#[test]
fn only_organisations_above_their_fair_share_are_refused() {
    let mut throttle = Throttle::new();
    for now in 0..1_000 {
        throttle.record_arrival(at(now), request_class("large"));
        if now % 100 == 0 {
            for i in 0..5 {
                throttle.record_arrival(at(now), request_class(&format!("small-{i}")));
                throttle.record_sent(at(now), request_class(&format!("small-{i}")));
            }
        }
        if now % 10 == 0 {
            throttle.record_sent(at(now), request_class("large"));
        }
    }
    let mut probability = |name| throttle.refusal_probability(at(1_000), &request_class(name));
    assert!(probability("large") > 0.8);
    assert_eq!(probability("small-0"), 0.0);
}
