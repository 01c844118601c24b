use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::ids::Incarnation;
use crate::ticket::Work;

fn ticket(sequence: u64, organisation: &str, rank: u8, deadline: u64, prefill: u64) -> Ticket {
    Ticket {
        request: RequestId {
            incarnation: Incarnation(1),
            sequence,
        },
        organisation: Name::new(organisation),
        rank: Rank::from(rank),
        deadline: Timestamp::new(Duration::from_millis(deadline)),
        objective: Timestamp::new(Duration::from_millis(deadline)),
        wait_deadline: Timestamp::new(Duration::from_millis(deadline)),
        work: Work {
            prefill,
            ..Work::default()
        },
        prefix: Vec::new(),
        idempotent: false,
        interval: None,
        run_start: None,
    }
}

fn push(queue: &mut Queue, ticket: Ticket, weight: u32) -> PushResult {
    let cost = ticket.work.cost();
    queue.push(Timestamp::default(), ticket, weight, cost)
}

fn served(queue: &mut Queue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop())
        .map(|(t, _)| t.request.sequence)
        .collect()
}

#[test]
fn higher_tier_is_served_first_and_then_the_earlier_deadline() {
    let mut queue = Queue::new(10);
    push(&mut queue, ticket(1, "a", 1, 10, 1), 1);
    push(&mut queue, ticket(2, "a", 0, 90, 1), 1);
    push(&mut queue, ticket(3, "a", 0, 50, 1), 1);
    assert_eq!(served(&mut queue), [3, 2, 1]);
}

#[test]
fn small_organisation_waits_for_at_most_one_request_of_a_large_one() {
    let mut queue = Queue::new(1000);
    for sequence in 0..100 {
        push(&mut queue, ticket(sequence, "large", 0, 10, 100), 1);
    }
    queue.pop();
    push(&mut queue, ticket(500, "small", 0, 90, 100), 1);
    let position = served(&mut queue).iter().position(|s| *s == 500);
    assert!(position <= Some(1), "{position:?}");
}

#[test]
fn organisations_are_served_in_proportion_to_weight_by_cost() {
    let mut queue = Queue::new(1000);
    for sequence in 0..200 {
        push(&mut queue, ticket(sequence, "heavy", 0, 10, 100), 3);
        push(&mut queue, ticket(1000 + sequence, "light", 0, 10, 100), 1);
    }
    let first = &served(&mut queue)[..80];
    let heavy = first.iter().filter(|s| **s < 1000).count();
    assert!((58..=62).contains(&heavy), "{heavy}");
}

#[test]
fn full_queue_evicts_only_a_ticket_of_the_lowest_tier() {
    let mut queue = Queue::new(2);
    push(&mut queue, ticket(1, "a", 1, 10, 1), 1);
    push(&mut queue, ticket(2, "a", 2, 10, 1), 1);
    let pushed = push(&mut queue, ticket(3, "a", 0, 10, 1), 1);
    assert!(matches!(pushed, PushResult::Evicted(t) if t.request.sequence == 2));
    let pushed = push(&mut queue, ticket(4, "a", 1, 1, 1), 1);
    assert!(matches!(pushed, PushResult::Full));
}

proptest! {
    /// Checks that under any sequence of pushes, pops and expiries no ticket is
    /// lost or served twice, the highest waiting tier is served first, and a
    /// ticket is evicted only from the lowest tier.
    #[test]
    fn no_ticket_is_lost_and_tiers_are_served_in_order(
        steps in prop::collection::vec((0u8..5, 0u8..3, 0u8..4, 1u64..50), 1..200),
    ) {
        let mut queue = Queue::new(8);
        let mut waiting: BTreeMap<u64, u8> = BTreeMap::new();
        for (sequence, (step, rank, organisation, cost)) in (0u64..).zip(steps) {
            let victim_rank = waiting.values().max().copied();
            match step {
                0..=2 => {
                    let name = format!("org-{organisation}");
                    match push(&mut queue, ticket(sequence, &name, rank, cost, cost), 1) {
                        PushResult::Queued => { waiting.insert(sequence, rank); }
                        PushResult::Evicted(victim) => {
                            prop_assert_eq!(waiting.remove(&victim.request.sequence), victim_rank);
                            prop_assert!(victim_rank > Some(rank));
                            waiting.insert(sequence, rank);
                        }
                        PushResult::Full => prop_assert!(victim_rank <= Some(rank)),
                        PushResult::Duplicate => prop_assert!(false),
                    }
                }
                3 => {
                    let highest = waiting.values().min().copied();
                    let popped = queue.pop().map(|(t, _)| t);
                    prop_assert_eq!(popped.as_ref().map(|t| t.rank.tier), highest);
                    if let Some(t) = popped {
                        prop_assert!(waiting.remove(&t.request.sequence).is_some());
                    }
                }
                _ => {
                    let now = Timestamp::new(Duration::from_millis(cost));
                    for t in queue.remove_expired(now) {
                        prop_assert!(t.deadline <= now);
                        prop_assert!(waiting.remove(&t.request.sequence).is_some());
                    }
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert_eq!(queue.peek().is_none(), waiting.is_empty());
        }
    }
}

#[test]
fn tickets_past_their_objective_are_served_after_the_others() {
    let mut queue = Queue::new(10);
    let urgent = Ticket {
        objective: Timestamp::new(Duration::from_millis(100)),
        ..ticket(1, "a", 0, 9_000, 1)
    };
    push(&mut queue, urgent, 1);
    push(&mut queue, ticket(2, "a", 2, 8_000, 1), 1);
    queue.demote_delayed(Timestamp::new(Duration::from_millis(99)));
    assert_eq!(queue.peek().map(|r| r.sequence), Some(1));
    queue.demote_delayed(Timestamp::new(Duration::from_millis(100)));
    assert_eq!(served(&mut queue), [2, 1]);
}

/// Pattern: callers that were refused in a burst come back past their objective while
/// fresh ones arrive.
#[test]
fn overdue_tickets_are_served_after_the_others_of_their_tier_only() {
    let mut queue = Queue::new(10);
    for (sequence, rank, overdue) in [(1, 1, false), (2, 0, true), (3, 0, false), (4, 1, true)] {
        let mut ticket = ticket(sequence, "a", rank, 9_000, 1);
        ticket.rank.overdue = overdue;
        push(&mut queue, ticket, 1);
    }
    queue.demote_delayed(Timestamp::new(Duration::from_millis(8_999)));
    assert_eq!(served(&mut queue), [3, 2, 1, 4]);
}

#[test]
fn delayed_tickets_keep_their_order_by_tier() {
    let mut queue = Queue::new(10);
    for (sequence, rank) in [(1, 1), (2, 0)] {
        let ticket = Ticket {
            objective: Timestamp::new(Duration::from_millis(sequence)),
            ..ticket(sequence, "a", rank, 9_000, 1)
        };
        push(&mut queue, ticket, 1);
    }
    queue.demote_delayed(Timestamp::new(Duration::from_millis(10)));
    assert_eq!(served(&mut queue), [2, 1]);
    assert!(queue.is_empty());
}
