use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;
use crate::ids::Incarnation;

const GRANT_VALID: Duration = Duration::from_millis(100);

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: Incarnation(1),
        sequence,
    }
}

fn ticket(sequence: u64, order: u8, deadline: Timestamp) -> Ticket {
    Ticket {
        request: request(sequence),
        organisation: Name::new("small"),
        order,
        deadline,
        objective: deadline,
        patience: deadline,
        work: Work::default(),
        prefix: Vec::new(),
        idempotent: false,
    }
}

fn scheduler(slots: usize) -> Scheduler {
    Scheduler::new(SchedulerConfig {
        slots,
        tickets: 8,
        grant_valid: GRANT_VALID,
        weights: BTreeMap::new(),
        cache_tokens: 0,
    })
}

fn at(millis: u64) -> Timestamp {
    Timestamp::new(Duration::from_millis(millis))
}

fn offer_granted(scheduler: &mut Scheduler, sequence: u64, now: Timestamp) -> GrantId {
    match scheduler.offer(now, ticket(sequence, 0, at(60_000))).0 {
        Offered::Granted(grant) => grant.id,
        other => panic!("not granted: {other:?}"),
    }
}

#[test]
fn a_grant_can_be_accepted_once() {
    let mut scheduler = scheduler(1);
    let id = offer_granted(&mut scheduler, 1, at(0));
    assert!(scheduler.mark_sent(at(1), request(1), id));
    assert!(!scheduler.mark_sent(at(2), request(1), id));
    assert_eq!(scheduler.running(), 1);
}

#[test]
fn a_grant_that_lapsed_is_given_to_the_next() {
    let mut scheduler = scheduler(1);
    let id = offer_granted(&mut scheduler, 1, at(0));
    scheduler.offer(at(0), ticket(2, 0, at(60_000)));
    let notices = scheduler.tick(at(101));
    assert!(matches!(notices[0], Notice::HandedBack(r, _) if r == request(1)));
    assert!(matches!(notices[1], Notice::Granted(r, _) if r == request(2)));
    assert!(!scheduler.mark_sent(at(102), request(1), id));
}

#[test]
fn requests_that_the_upstream_reports_beyond_the_known_take_slots() {
    let mut scheduler = scheduler(2);
    scheduler.set_held(at(0), 2);
    let offered = scheduler.offer(at(1), ticket(1, 0, at(60_000))).0;
    assert!(matches!(offered, Offered::Queued(_)));
    let notices = scheduler.set_held(at(2), 1);
    assert!(matches!(notices[..], [Notice::Granted(r, _)] if r == request(1)));
}

#[test]
fn a_draining_desk_hands_back_what_waits_and_keeps_what_runs() {
    let mut scheduler = scheduler(1);
    let id = offer_granted(&mut scheduler, 1, at(0));
    assert!(scheduler.mark_sent(at(1), request(1), id));
    scheduler.offer(at(1), ticket(2, 0, at(60_000)));
    let notices = scheduler.drain();
    assert!(matches!(notices[..], [Notice::HandedBack(r, _)] if r == request(2)));
    assert_eq!(scheduler.running(), 1);
    let refused = scheduler.offer(at(2), ticket(3, 0, at(60_000))).0;
    assert!(matches!(refused, Offered::Refused(r) if r.code == RefusalCode::Draining));
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

/// A scheduler whose upstream processes a thousand prompt tokens in 100 ms.
fn paced_desk() -> Scheduler {
    let mut scheduler = scheduler(4);
    for (sequence, tokens, begin) in [(90, 1, 20), (91, 10_000, 1_020)] {
        let offered = scheduler
            .offer(at(0), prompt(sequence, tokens, at(60_000)))
            .0;
        let Offered::Granted(grant) = offered else {
            panic!("not granted: {offered:?}");
        };
        scheduler.mark_sent(at(0), request(sequence), grant.id);
        scheduler.mark_answering(at(begin), request(sequence));
        let work = Work {
            output: 10,
            ..Work::default()
        };
        scheduler.finish(at(begin), request(sequence), Some(work));
    }
    scheduler
}

#[test]
fn a_ticket_that_cannot_meet_its_objective_does_not_hold_up_the_rest() {
    let mut scheduler = paced_desk();
    let hopeless = scheduler.offer(at(1_000), prompt(2, 1_000, at(1_010))).0;
    assert!(matches!(hopeless, Offered::Granted(_)));
    let next = scheduler.offer(at(1_000), prompt(3, 500, at(1_010))).0;
    assert!(matches!(next, Offered::Granted(_)));
}

#[test]
fn several_long_prompts_do_not_meet_on_one_upstream() {
    let mut scheduler = paced_desk();
    let long = scheduler.offer(at(1_000), prompt(2, 8_000, at(2_000))).0;
    assert!(matches!(long, Offered::Granted(_)));
    let second = scheduler.offer(at(1_000), prompt(3, 8_000, at(2_000))).0;
    assert!(matches!(second, Offered::Queued(_)));
    let notices = scheduler.withdraw(at(1_001), request(2), Withdrawal::GivenUp);
    assert!(
        notices
            .iter()
            .any(|n| matches!(n, Notice::Granted(r, _) if *r == request(3)))
    );
}

#[test]
fn work_that_cannot_be_done_in_time_is_refused_at_once() {
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
    assert!(matches!(refused, Offered::Refused(r) if r.code == RefusalCode::Late));
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u64, u8),
    Begin(u64, u64),
    Withdraw(u64),
    Finish(u64),
    Report(u64),
    Wait(u64),
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    let sequence = 0u64..12;
    prop_oneof![
        6 => (sequence.clone(), 0u8..3).prop_map(|(s, o)| Step::Offer(s, o)),
        6 => (sequence.clone(), 0u64..4).prop_map(|(s, back)| Step::Begin(s, back)),
        2 => sequence.clone().prop_map(Step::Withdraw),
        3 => sequence.clone().prop_map(Step::Finish),
        2 => (0u64..4).prop_map(Step::Report),
        3 => (1u64..150).prop_map(Step::Wait),
        1 => Just(Step::Drain),
    ]
}

proptest! {
    /// In any order of events, with late, repeated and made-up messages: a
    /// grant is accepted at most once, never after it lapsed and was noticed
    /// to, and never beyond the slots; no two requests hold one grant.
    #[test]
    fn a_grant_is_accepted_at_most_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut scheduler = scheduler(2);
        let mut now = at(0);
        let mut given: HashMap<u64, Vec<(GrantId, Timestamp)>> = HashMap::new();
        let mut begun: BTreeSet<GrantId> = BTreeSet::new();
        for step in steps {
            let mut notices = Vec::new();
            match step {
                Step::Offer(s, order) => {
                    let (offered, more) = scheduler.offer(now, ticket(s, order, now + Duration::from_secs(9)));
                    if let Offered::Granted(grant) = offered {
                        given.entry(s).or_default().push((grant.id, now));
                    }
                    notices = more;
                }
                Step::Begin(s, back) => {
                    let grants = given.get(&s).cloned().unwrap_or_default();
                    let grant = grants.iter().rev().nth(usize::try_from(back).unwrap_or(0));
                    if let Some((id, since)) = grant
                        && scheduler.mark_sent(now, request(s), *id)
                    {
                        prop_assert!(begun.insert(*id), "{id:?} was accepted twice");
                        prop_assert!(now.since(*since) < GRANT_VALID);
                    }
                }
                Step::Withdraw(s) => notices = scheduler.withdraw(now, request(s), Withdrawal::GivenUp),
                Step::Finish(s) => notices = scheduler.finish(now, request(s), None),
                Step::Report(held) => {
                    notices = scheduler.set_held(now, usize::try_from(held).unwrap_or(0));
                }
                Step::Wait(millis) => {
                    now = now + Duration::from_millis(millis);
                    notices = scheduler.tick(now);
                }
                Step::Drain => notices = scheduler.drain(),
            }
            for notice in notices {
                if let Notice::Granted(r, grant) = notice {
                    given.entry(r.sequence).or_default().push((grant.id, now));
                }
            }
            prop_assert!(scheduler.running() <= 2);
        }
    }
}

fn offered_by(organisation: &str, sequence: u64) -> Ticket {
    Ticket {
        organisation: Name::new(organisation),
        ..ticket(sequence, 0, at(60_000))
    }
}

#[test]
fn grants_that_are_withdrawn_or_lapse_cost_their_organisation_nothing() {
    let mut scheduler = scheduler(1);
    offer_granted(&mut scheduler, 1, at(0));
    scheduler.offer(at(0), offered_by("small", 2));
    scheduler.offer(at(0), offered_by("other", 3));
    let charged = |scheduler: &Scheduler, name: &str| scheduler.queue.charged(0, &Name::new(name));
    scheduler.withdraw(at(0), request(1), Withdrawal::GivenUp);
    assert_eq!(charged(&scheduler, "small"), 0);
    assert!(charged(&scheduler, "other") > 0);
    scheduler.withdraw(at(0), request(3), Withdrawal::GivenUp);
    assert_eq!(charged(&scheduler, "other"), 0);
    assert!(charged(&scheduler, "small") > 0);
    scheduler.offer(at(0), offered_by("last", 4));
    // The small organisation's grant lapses.
    scheduler.tick(at(200));
    assert_eq!(charged(&scheduler, "small"), 0);
}
