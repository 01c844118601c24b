use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;
use crate::ids::Incarnation;
use crate::ticket::Rank;

mod memory;
mod prefill_pacing;

const GRANT_VALID: Duration = Duration::from_millis(100);

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(1),
        sequence,
    }
}

fn ticket(sequence: u64, rank: u8, deadline: Timestamp) -> Ticket {
    Ticket {
        request: request(sequence),
        organisation: Name::new("small"),
        rank: Rank::from(rank),
        deadline,
        objective: deadline,
        wait_deadline: deadline,
        work: Work::default(),
        prefix: Vec::new(),
        idempotent: false,
        interval: None,
        run_start: None,
    }
}

fn scheduler(slots: usize) -> Scheduler {
    Scheduler::new(SchedulerConfig {
        slots,
        max_waiting: 8,
        grant_valid: GRANT_VALID,
        weights: BTreeMap::new(),
        cache_tokens: 0,
        stream_pauses: None,
        memory_tokens: None,
    })
}

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn offer_granted(scheduler: &mut Scheduler, sequence: u64, now: Timestamp) -> GrantId {
    match scheduler.offer(now, ticket(sequence, 0, at(60_000))).0 {
        OfferResult::Granted(grant) => grant.id,
        other => panic!("not granted: {other:?}"),
    }
}

#[test]
fn grant_can_be_accepted_only_once() {
    let mut scheduler = scheduler(1);
    let id = offer_granted(&mut scheduler, 1, at(0));
    assert!(scheduler.mark_sent(at(1), request(1), id));
    assert!(!scheduler.mark_sent(at(2), request(1), id));
    assert_eq!(scheduler.running(), 1);
}

#[test]
fn slot_of_an_expired_grant_is_granted_to_the_next_ticket() {
    let mut scheduler = scheduler(1);
    let id = offer_granted(&mut scheduler, 1, at(0));
    scheduler.offer(at(0), ticket(2, 0, at(60_000)));
    let notices = scheduler.tick(at(101));
    assert!(matches!(notices[0], Notice::Returned(r, _) if r == request(1)));
    assert!(matches!(notices[1], Notice::Granted(r, _) if r == request(2)));
    assert!(!scheduler.mark_sent(at(102), request(1), id));
}

#[test]
fn unknown_requests_reported_by_the_upstream_occupy_slots() {
    let mut scheduler = scheduler(2);
    scheduler.set_reported_requests(at(0), 2);
    let offered = scheduler.offer(at(1), ticket(1, 0, at(60_000))).0;
    assert!(matches!(offered, OfferResult::Queued(_)));
    let notices = scheduler.set_reported_requests(at(2), 1);
    assert!(matches!(notices[..], [Notice::Granted(r, _)] if r == request(1)));
}

#[test]
fn draining_returns_waiting_tickets_and_keeps_running_requests() {
    let mut scheduler = scheduler(1);
    let id = offer_granted(&mut scheduler, 1, at(0));
    assert!(scheduler.mark_sent(at(1), request(1), id));
    scheduler.offer(at(1), ticket(2, 0, at(60_000)));
    let notices = scheduler.drain();
    assert!(matches!(notices[..], [Notice::Returned(r, _)] if r == request(2)));
    assert_eq!(scheduler.running(), 1);
    let refused = scheduler.offer(at(2), ticket(3, 0, at(60_000))).0;
    assert!(matches!(refused, OfferResult::Refused(r) if r.code == RefusalCode::Draining));
}

fn prompt(sequence: u64, tokens: u64, objective: Timestamp) -> Ticket {
    Ticket {
        objective,
        work: Work {
            prefill: tokens,
            cached: 0,
            output: 10,
        },
        ..ticket(sequence, 0, at(60_000))
    }
}

/// Returns a scheduler with a measured pace of 1000 prompt tokens in 100 ms.
fn paced_scheduler() -> Scheduler {
    let mut scheduler = scheduler(4);
    for (sequence, tokens, answer_start) in [(90, 1, 20), (91, 10_000, 1_020)] {
        let offered = scheduler
            .offer(at(0), prompt(sequence, tokens, at(60_000)))
            .0;
        let OfferResult::Granted(grant) = offered else {
            panic!("not granted: {offered:?}");
        };
        scheduler.mark_sent(at(0), request(sequence), grant.id);
        scheduler.mark_answering(at(answer_start), request(sequence));
        let work = Work {
            output: 10,
            ..Work::default()
        };
        scheduler.finish(at(answer_start), request(sequence), Some(work));
    }
    scheduler
}

#[test]
fn ticket_that_misses_its_objective_does_not_block_others() {
    let mut scheduler = paced_scheduler();
    let past_objective = scheduler.offer(at(1_000), prompt(2, 1_000, at(1_010))).0;
    assert!(matches!(past_objective, OfferResult::Granted(_)));
    let next = scheduler.offer(at(1_000), prompt(3, 500, at(1_010))).0;
    assert!(matches!(next, OfferResult::Granted(_)));
}

#[test]
fn only_one_long_prompt_is_granted_at_a_time() {
    let mut scheduler = paced_scheduler();
    let long = scheduler.offer(at(1_000), prompt(2, 8_000, at(2_000))).0;
    assert!(matches!(long, OfferResult::Granted(_)));
    let second = scheduler.offer(at(1_000), prompt(3, 8_000, at(2_000))).0;
    assert!(matches!(second, OfferResult::Queued(_)));
    let notices = scheduler.withdraw(at(1_001), request(2), WithdrawReason::GivenUp);
    assert!(
        notices
            .iter()
            .any(|n| matches!(n, Notice::Granted(r, _) if *r == request(3)))
    );
}

#[test]
fn ticket_that_cannot_meet_its_deadline_is_refused() {
    let mut scheduler = scheduler(1);
    let mut now = at(0);
    for sequence in 1..9 {
        let id = offer_granted(&mut scheduler, sequence, now);
        assert!(scheduler.mark_sent(now, request(sequence), id));
        now = now + Duration::from_secs(1);
        scheduler.finish(now, request(sequence), Some(Work::default()));
    }
    let deadline = now + Duration::from_millis(500);
    let refused = scheduler.offer(now, ticket(99, 0, deadline)).0;
    assert!(matches!(refused, OfferResult::Refused(r) if r.code == RefusalCode::Late));
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u64, u8),
    Accept(u64, u64),
    Withdraw(u64),
    Finish(u64),
    ReportRequests(u64),
    Wait(u64),
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    let sequence = 0u64..12;
    prop_oneof![
        6 => (sequence.clone(), 0u8..3).prop_map(|(s, o)| Step::Offer(s, o)),
        6 => (sequence.clone(), 0u64..4).prop_map(|(s, grants_back)| Step::Accept(s, grants_back)),
        2 => sequence.clone().prop_map(Step::Withdraw),
        3 => sequence.clone().prop_map(Step::Finish),
        2 => (0u64..4).prop_map(Step::ReportRequests),
        3 => (1u64..150).prop_map(Step::Wait),
        1 => Just(Step::Drain),
    ]
}

proptest! {
    /// Checks these invariants under any sequence of events, including late,
    /// repeated and invalid messages: a grant is accepted at most once, not after
    /// its expiry was processed, and not beyond the number of slots; no two
    /// requests have the same grant.
    #[test]
    fn each_grant_is_accepted_at_most_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut scheduler = scheduler(2);
        let mut now = at(0);
        let mut issued: HashMap<u64, Vec<(GrantId, Timestamp)>> = HashMap::new();
        let mut accepted: BTreeSet<GrantId> = BTreeSet::new();
        for step in steps {
            let mut notices = Vec::new();
            match step {
                Step::Offer(s, rank) => {
                    let (offered, others) = scheduler.offer(now, ticket(s, rank, now + Duration::from_secs(9)));
                    if let OfferResult::Granted(grant) = offered {
                        issued.entry(s).or_default().push((grant.id, now));
                    }
                    notices = others;
                }
                Step::Accept(s, grants_back) => {
                    let grants = issued.get(&s).cloned().unwrap_or_default();
                    let grant = grants.iter().rev().nth(usize::try_from(grants_back).unwrap_or(0));
                    if let Some((id, issued_at)) = grant
                        && scheduler.mark_sent(now, request(s), *id)
                    {
                        prop_assert!(accepted.insert(*id), "{id:?} was accepted twice");
                        prop_assert!(now.since(*issued_at) < GRANT_VALID);
                    }
                }
                Step::Withdraw(s) => notices = scheduler.withdraw(now, request(s), WithdrawReason::GivenUp),
                Step::Finish(s) => notices = scheduler.finish(now, request(s), None),
                Step::ReportRequests(reported) => {
                    notices = scheduler.set_reported_requests(now, usize::try_from(reported).unwrap_or(0));
                }
                Step::Wait(millis) => {
                    now = now + Duration::from_millis(millis);
                    notices = scheduler.tick(now);
                }
                Step::Drain => notices = scheduler.drain(),
            }
            for notice in notices {
                if let Notice::Granted(r, grant) = notice {
                    issued.entry(r.sequence).or_default().push((grant.id, now));
                }
            }
            prop_assert!(scheduler.running() <= 2);
        }
    }
}

fn ticket_of(organisation: &str, sequence: u64) -> Ticket {
    Ticket {
        organisation: Name::new(organisation),
        ..ticket(sequence, 0, at(60_000))
    }
}

#[test]
fn withdrawn_and_expired_grants_are_not_charged() {
    let mut scheduler = scheduler(1);
    offer_granted(&mut scheduler, 1, at(0));
    scheduler.offer(at(0), ticket_of("small", 2));
    scheduler.offer(at(0), ticket_of("other", 3));
    let charged = |scheduler: &Scheduler, name: &str| {
        scheduler.queue.charged(Rank::from(0), &Name::new(name))
    };
    scheduler.withdraw(at(0), request(1), WithdrawReason::GivenUp);
    assert_eq!(charged(&scheduler, "small"), 0);
    assert!(charged(&scheduler, "other") > 0);
    scheduler.withdraw(at(0), request(3), WithdrawReason::GivenUp);
    assert_eq!(charged(&scheduler, "other"), 0);
    assert!(charged(&scheduler, "small") > 0);
    scheduler.offer(at(0), ticket_of("last", 4));
    // The grant of "small" expires.
    scheduler.tick(at(200));
    assert_eq!(charged(&scheduler, "small"), 0);
}

fn limited_ticket(sequence: u64, interval: Option<u64>) -> Ticket {
    Ticket {
        interval: interval.map(Duration::from_millis),
        ..ticket(sequence, 0, at(60_000))
    }
}

// Issue 34, LIMIT: an agent granted every free slot of an upstream in need.
#[test]
fn grants_keep_to_the_rate_limit_of_the_upstream() {
    let mut scheduler = scheduler(8);
    let mut granted = 0;
    for millis in 0..4_000 {
        let offered = scheduler
            .offer(at(millis), limited_ticket(millis, Some(200)))
            .0;
        if let OfferResult::Granted(grant) = offered {
            scheduler.mark_sent(at(millis), request(millis), grant.id);
            scheduler.finish(at(millis), request(millis), None);
            granted += 1;
        } else {
            scheduler.withdraw(at(millis), request(millis), WithdrawReason::GivenUp);
        }
    }
    assert!((15..=22).contains(&granted), "{granted}");
}

#[test]
fn quote_of_a_limited_upstream_counts_the_tickets_ahead() {
    let mut scheduler = scheduler(8);
    for (sequence, wait) in [(1, 200), (2, 400), (3, 600)] {
        let offered = scheduler
            .offer(at(0), limited_ticket(sequence, Some(200)))
            .0;
        let OfferResult::Queued(quote) = offered else {
            panic!("not queued: {offered:?}");
        };
        assert_eq!(quote.wait, Duration::from_millis(wait));
    }
}

#[test]
fn waiting_ticket_is_granted_when_the_rate_limit_leaves_room() {
    let mut scheduler = scheduler(8);
    scheduler.offer(at(0), limited_ticket(1, Some(200)));
    assert_eq!(scheduler.next_tick(), Some(at(200)));
    assert!(scheduler.tick(at(199)).is_empty());
    let notices = scheduler.tick(at(200));
    assert!(matches!(notices[..], [Notice::Granted(r, _)] if r == request(1)));
}

#[test]
fn grant_that_is_withdrawn_gives_its_room_to_the_next_ticket() {
    let mut scheduler = scheduler(8);
    scheduler.offer(at(0), limited_ticket(1, Some(2_000)));
    scheduler.offer(at(0), limited_ticket(2, Some(2_000)));
    assert_eq!(scheduler.tick(at(2_000)).len(), 1);
    let notices = scheduler.withdraw(at(2_010), request(1), WithdrawReason::GivenUp);
    assert!(matches!(notices[..], [Notice::Granted(r, _)] if r == request(2)));
}

// Entries learn of a limit at different times.
#[test]
fn limit_outlasts_tickets_that_do_not_tell_of_it_for_a_second() {
    let mut scheduler = scheduler(8);
    scheduler.offer(at(0), limited_ticket(1, Some(10_000)));
    let early = scheduler.offer(at(900), limited_ticket(2, None)).0;
    assert!(matches!(early, OfferResult::Queued(_)));
    let late = scheduler.offer(at(1_100), limited_ticket(3, None)).0;
    assert!(matches!(
        late,
        OfferResult::Queued(_) | OfferResult::Granted(_)
    ));
    assert_eq!(scheduler.waiting(), 0);
}
