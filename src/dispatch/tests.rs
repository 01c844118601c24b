use proptest::prelude::*;

use super::*;

fn name(i: usize) -> Name {
    Name::new(&format!("upstream-{i}"))
}

fn choices(count: usize) -> Vec<Choice> {
    (0..count)
        .map(|i| Choice {
            upstream: name(i),
            near: i == 0,
        })
        .collect()
}

fn refusal(code: RefusalCode) -> Refusal {
    Refusal::new(code, Duration::from_millis(250))
}

fn quote(start: u64, begin: u64, end: u64) -> Quote {
    Quote {
        start: Duration::from_millis(start),
        begin: Duration::from_millis(begin),
        end: Duration::from_millis(end),
        ..Quote::default()
    }
}

fn grant(id: u64, quote: Quote) -> Grant {
    Grant {
        id: GrantId(id),
        valid: Duration::from_millis(100),
        quote,
    }
}

fn granted(i: usize, quote: Quote) -> Event {
    Event::Offered(name(i), Offered::Granted(grant(i as u64, quote)))
}

fn queued(i: usize, start: u64) -> Event {
    Event::Offered(name(i), Offered::Queued(quote(start, 0, 0)))
}

fn sent(actions: &[Action]) -> Option<Name> {
    actions.iter().find_map(|a| match a {
        Action::Send(upstream, _) => Some(upstream.clone()),
        _ => None,
    })
}

#[test]
fn the_best_of_the_grants_is_accepted_once_all_have_answered() {
    let mut dispatch = Dispatch::new(choices(3), 3);
    assert_eq!(dispatch.start().len(), 4);
    assert_eq!(dispatch.handle_event(granted(0, quote(0, 50, 900))), []);
    assert_eq!(dispatch.handle_event(granted(1, quote(0, 50, 300))), []);
    let actions = dispatch.handle_event(granted(2, quote(0, 50, 500)));
    assert_eq!(sent(&actions), Some(name(1)));
    let withdrawn = actions.iter().filter(|a| matches!(a, Action::Withdraw(_)));
    assert_eq!(withdrawn.count(), 2);
}

#[test]
fn an_upstream_that_would_begin_too_late_is_taken_only_where_there_is_no_other() {
    let times = Duration::from_millis(100);
    let mut dispatch = Dispatch::new(choices(2), 2).with_times(times, times * 3);
    dispatch.start();
    dispatch.handle_event(granted(0, quote(0, 200, 300)));
    let actions = dispatch.handle_event(granted(1, quote(0, 50, 900)));
    assert_eq!(sent(&actions), Some(name(1)));
}

#[test]
fn the_own_availability_zone_is_preferred_where_it_is_hardly_slower() {
    for (near, far, expected) in [(130, 100, 0), (150, 100, 1)] {
        let mut dispatch = Dispatch::new(choices(2), 2);
        dispatch.start();
        dispatch.handle_event(granted(0, quote(0, 0, near)));
        let actions = dispatch.handle_event(granted(1, quote(0, 0, far)));
        assert_eq!(sent(&actions), Some(name(expected)));
    }
}

#[test]
fn a_silent_agent_is_not_waited_for() {
    let mut dispatch = Dispatch::new(choices(3), 3);
    dispatch.start();
    assert_eq!(dispatch.handle_event(granted(1, quote(0, 50, 300))), []);
    let actions = dispatch.handle_event(Event::Collected);
    assert_eq!(sent(&actions), Some(name(1)));
}

#[test]
fn with_no_room_anywhere_the_first_grant_is_accepted() {
    let mut dispatch = Dispatch::new(choices(2), 2);
    dispatch.start();
    dispatch.handle_event(queued(0, 10));
    assert_eq!(dispatch.handle_event(queued(1, 20)), [Action::Waits]);
    let actions = dispatch.handle_event(Event::Granted(name(1), grant(9, quote(0, 0, 1))));
    assert_eq!(actions[0], Action::Send(name(1), GrantId(9)));
}

#[test]
fn a_wait_that_would_be_too_long_everywhere_is_refused_at_once() {
    let times = Duration::from_millis(100);
    let mut dispatch = Dispatch::new(choices(2), 2).with_times(times, times * 3);
    dispatch.start();
    dispatch.handle_event(queued(0, 900));
    let actions = dispatch.handle_event(queued(1, 700));
    let retry_after = Duration::from_millis(2_800);
    let given_up = Action::GiveUp {
        refusal: Some(Refusal::new(RefusalCode::Overloaded, retry_after)),
        retry_after,
    };
    assert_eq!(actions.last(), Some(&given_up));
}

#[test]
fn a_refused_ticket_goes_to_the_next_upstream() {
    let mut dispatch = Dispatch::new(choices(2), 1);
    dispatch.start();
    let refused = Offered::Refused(refusal(RefusalCode::Draining));
    let actions = dispatch.handle_event(Event::Offered(name(0), refused));
    assert_eq!(actions, [Action::Offer(name(1))]);
}

#[test]
fn giving_up_says_at_once_when_to_come_back() {
    let mut dispatch = Dispatch::new(choices(1), 3);
    dispatch.start();
    let refused = Offered::Refused(refusal(RefusalCode::Overloaded));
    let actions = dispatch.handle_event(Event::Offered(name(0), refused));
    let given_up = Action::GiveUp {
        refusal: Some(refusal(RefusalCode::Overloaded)),
        retry_after: Duration::from_millis(250),
    };
    assert_eq!(actions, [given_up]);
}

#[test]
fn an_upstream_whose_agent_was_lost_is_tried_once_without_it() {
    let mut dispatch = Dispatch::new(choices(1), 1);
    dispatch.start();
    let offer = Action::Offer(name(0));
    assert_eq!(
        dispatch.handle_event(Event::Lost(name(0), LinkId(1))),
        [offer]
    );
    let actions = dispatch.handle_event(Event::Lost(name(0), LinkId(1)));
    assert_eq!(actions, [Action::AwaitUpstreams]);
}

#[test]
fn what_surely_was_not_run_goes_elsewhere() {
    let mut dispatch = Dispatch::new(choices(2), 1);
    dispatch.start();
    dispatch.handle_event(granted(0, quote(0, 0, 1)));
    assert!(!dispatch.is_seeking());
    let actions = dispatch.handle_event(Event::NotRun(name(0), refusal(RefusalCode::Unreachable)));
    assert_eq!(actions[0], Action::Offer(name(1)));
}

fn event() -> impl Strategy<Value = Event> {
    let upstream = (0usize..4).prop_map(name);
    let code = prop_oneof![
        Just(RefusalCode::Overloaded),
        Just(RefusalCode::Expired),
        Just(RefusalCode::Draining),
    ];
    let refusal = code.prop_map(refusal);
    prop_oneof![
        (0usize..4, 0u64..9).prop_map(|(i, start)| queued(i, start)),
        (0usize..4, 0u64..9).prop_map(|(i, end)| granted(i, quote(0, 0, end))),
        (upstream.clone(), 0u64..9)
            .prop_map(|(u, id)| Event::Granted(u, grant(id, Quote::default()))),
        (upstream.clone(), refusal.clone())
            .prop_map(|(u, r)| Event::Offered(u, Offered::Refused(r))),
        (upstream.clone(), refusal.clone()).prop_map(|(u, r)| Event::HandedBack(u, r)),
        upstream.clone().prop_map(|u| Event::Lost(u, LinkId(1))),
        (upstream, refusal).prop_map(|(u, r)| Event::NotRun(u, r)),
        (0usize..4).prop_map(|count| Event::Upstreams(choices(count))),
        Just(Event::Collected),
        Just(Event::PatienceEnded),
        Just(Event::Shed(self::refusal(RefusalCode::Evicted))),
    ]
}

proptest! {
    /// In any order of events, also impossible ones: no second send before the
    /// upstream of the first has said that it did not run the request, one
    /// final answer at most and none while the request is at an upstream, and
    /// nothing is done after it but to take back room.
    #[test]
    fn one_send_at_a_time_and_one_final_answer(events in prop::collection::vec(event(), 1..80)) {
        let mut dispatch = Dispatch::new(choices(4), 2);
        let mut at: Option<Name> = None;
        let mut out: BTreeSet<Name> = BTreeSet::new();
        let mut finished = false;
        let mut actions = dispatch.start();
        for event in events {
            for action in actions {
                match action {
                    Action::Send(upstream, _) => {
                        prop_assert!(!finished);
                        prop_assert!(out.remove(&upstream));
                        prop_assert_eq!(at.replace(upstream), None);
                    }
                    Action::GiveUp { .. } => {
                        prop_assert!(!finished && at.is_none());
                        finished = true;
                    }
                    Action::Offer(upstream) => {
                        prop_assert!(!finished && at.is_none());
                        prop_assert!(out.insert(upstream));
                    }
                    Action::Withdraw(upstream) => {
                        out.remove(&upstream);
                    }
                    Action::AwaitUpstreams => {
                        prop_assert!(!finished && at.is_none() && out.is_empty());
                    }
                    Action::CollectFor(_) | Action::NoteWait(_) | Action::Waits => {}
                }
            }
            match &event {
                Event::NotRun(upstream, _) if at.as_ref() == Some(upstream) => at = None,
                Event::Lost(u, _)
                | Event::HandedBack(u, _)
                | Event::Offered(u, Offered::Refused(_)) => {
                    out.remove(u);
                }
                _ => {}
            }
            actions = dispatch.handle_event(event);
        }
    }
}

fn unreachable(i: usize) -> Event {
    let refused = Offered::Refused(refusal(RefusalCode::Unreachable));
    Event::Offered(name(i), refused)
}

#[test]
fn a_restart_of_all_leaves_callers_waiting_until_an_upstream_is_there() {
    let mut dispatch = Dispatch::new(Vec::new(), 3);
    assert_eq!(dispatch.start(), [Action::AwaitUpstreams]);
    assert!(dispatch.is_seeking());
    let still_none = dispatch.handle_event(Event::Upstreams(Vec::new()));
    assert_eq!(still_none, [Action::AwaitUpstreams]);
    let actions = dispatch.handle_event(Event::Upstreams(choices(1)));
    assert_eq!(actions[0], Action::Offer(name(0)));
    let actions = dispatch.handle_event(granted(0, quote(0, 50, 300)));
    assert_eq!(sent(&actions), Some(name(0)));
}

#[test]
fn upstreams_that_cannot_be_reached_are_looked_for_again() {
    let mut dispatch = Dispatch::new(choices(1), 3);
    dispatch.start();
    assert_eq!(
        dispatch.handle_event(unreachable(0)),
        [Action::AwaitUpstreams]
    );
    let actions = dispatch.handle_event(Event::Upstreams(choices(1)));
    assert_eq!(actions[0], Action::Offer(name(0)));
}

#[test]
fn a_caller_that_has_waited_for_upstreams_long_enough_is_told_when_to_come_back() {
    let mut dispatch = Dispatch::new(choices(1), 3);
    dispatch.start();
    dispatch.handle_event(unreachable(0));
    let actions = dispatch.handle_event(Event::PatienceEnded);
    let given_up = Action::GiveUp {
        refusal: Some(refusal(RefusalCode::Unreachable)),
        retry_after: Duration::from_millis(250),
    };
    assert_eq!(actions, [given_up]);
    assert_eq!(dispatch.handle_event(Event::Upstreams(choices(1))), []);
}
