use proptest::prelude::*;

use super::*;

fn names(count: usize) -> Vec<Name> {
    (0..count)
        .map(|i| Name::new(&format!("agent-{i}")))
        .collect()
}

fn refusal(code: RefusalCode) -> Refusal {
    Refusal::new(code, Duration::from_millis(250))
}

fn quote(start: u64, saving: u64) -> Quote {
    Quote {
        start: Duration::from_millis(start),
        cached: 0,
        saving: Duration::from_millis(saving),
    }
}

#[test]
fn the_holder_of_the_prefix_is_asked_alone_while_waiting_for_it_pays() {
    let holder = Name::new("agent-0");
    for (start, saving, asked) in [(50, 80, 1), (80, 50, 3)] {
        let mut dispatch = Dispatch::new(names(4), 3).with_holder();
        let mut offers = dispatch.start().len();
        let actions = dispatch.on(Event::Queued(holder.clone(), quote(start, saving)));
        offers += actions
            .iter()
            .filter(|a| matches!(a, Action::Offer(_)))
            .count();
        assert_eq!(offers, asked);
        let patience = Action::WaitFor(Duration::from_millis(30));
        assert_eq!(actions.contains(&patience), asked == 1);
    }
}

#[test]
fn the_others_are_asked_when_patience_ends() {
    let mut dispatch = Dispatch::new(names(4), 3).with_holder();
    dispatch.start();
    dispatch.on(Event::Queued(Name::new("agent-0"), quote(50, 80)));
    assert_eq!(dispatch.on(Event::PatienceEnded).len(), 2);
}

#[test]
fn the_first_grant_is_accepted_and_the_other_tickets_are_withdrawn() {
    let mut dispatch = Dispatch::new(names(4), 3);
    assert_eq!(dispatch.start().len(), 3);
    let actions = dispatch.on(Event::Granted(Name::new("agent-1"), GrantId(7)));
    assert_eq!(actions[0], Action::Accept(Name::new("agent-1"), GrantId(7)));
    assert_eq!(actions.len(), 3);
}

#[test]
fn a_refused_ticket_goes_to_the_next_agent() {
    let mut dispatch = Dispatch::new(names(2), 1);
    dispatch.start();
    let refused = Event::Refused(Name::new("agent-0"), refusal(RefusalCode::Draining));
    assert_eq!(dispatch.on(refused), [Action::Offer(Name::new("agent-1"))]);
}

#[test]
fn giving_up_says_at_once_when_to_come_back() {
    let mut dispatch = Dispatch::new(names(1), 3);
    dispatch.start();
    let refused = Event::Refused(Name::new("agent-0"), refusal(RefusalCode::Overloaded));
    let actions = dispatch.on(refused);
    let failure = Failure::NotRun {
        refusal: Some(refusal(RefusalCode::Overloaded)),
        retry_after: Duration::from_millis(250),
    };
    assert_eq!(actions, [Action::Finish(failure)]);
}

#[test]
fn a_lost_accept_is_asked_for_and_never_sent_elsewhere_while_unclear() {
    let mut dispatch = Dispatch::new(names(2), 1);
    dispatch.start();
    let agent = Name::new("agent-0");
    dispatch.on(Event::Granted(agent.clone(), GrantId(1)));
    let asked = dispatch.on(Event::Lost(agent.clone()));
    assert_eq!(asked, [Action::AskFate(agent.clone())]);
    let unclear = dispatch.on(Event::Unclear(agent));
    assert_eq!(unclear, [Action::Finish(Failure::Unknown)]);
}

#[test]
fn a_request_with_an_unanswered_accept_does_not_count_as_surely_not_dispatched() {
    let mut dispatch = Dispatch::new(names(1), 1);
    dispatch.start();
    assert!(dispatch.is_seeking());
    let agent = Name::new("agent-0");
    dispatch.on(Event::Granted(agent.clone(), GrantId(1)));
    assert!(!dispatch.is_seeking());
    dispatch.on(Event::Lost(agent));
    assert!(!dispatch.is_seeking());
}

#[test]
fn what_surely_was_not_dispatched_goes_elsewhere() {
    let mut dispatch = Dispatch::new(names(2), 1);
    dispatch.start();
    let agent = Name::new("agent-0");
    dispatch.on(Event::Granted(agent.clone(), GrantId(1)));
    let event = Event::NotDispatched(agent, refusal(RefusalCode::Expired));
    assert_eq!(dispatch.on(event), [Action::Offer(Name::new("agent-1"))]);
}

fn event() -> impl Strategy<Value = Event> {
    let agent = (0usize..4).prop_map(|i| Name::new(&format!("agent-{i}")));
    let code = prop_oneof![
        Just(RefusalCode::Overloaded),
        Just(RefusalCode::Expired),
        Just(RefusalCode::Draining),
    ];
    prop_oneof![
        (agent.clone(), 0u64..9, 0u64..9).prop_map(|(a, s, w)| Event::Queued(a, quote(s, w))),
        Just(Event::PatienceEnded),
        (agent.clone(), code.clone()).prop_map(|(a, c)| Event::Refused(a, refusal(c))),
        (agent.clone(), 0u64..9).prop_map(|(a, g)| Event::Granted(a, GrantId(g))),
        agent.clone().prop_map(Event::Lost),
        agent.clone().prop_map(Event::Dispatched),
        (agent.clone(), code).prop_map(|(a, c)| Event::NotDispatched(a, refusal(c))),
        agent.prop_map(Event::Unclear),
        Just(Event::DeadlinePassed),
        Just(Event::Shed(refusal(RefusalCode::Evicted))),
    ]
}

proptest! {
    /// In any order of events, also impossible ones: no second accept while
    /// one may have dispatched, exactly one final answer at most, and nothing
    /// is done after it but to take back room.
    #[test]
    fn one_accept_at_a_time_and_one_final_answer(events in prop::collection::vec(event(), 1..80)) {
        let mut dispatch = Dispatch::new(names(4), 2).with_holder();
        let mut accepted: Option<Name> = None;
        let mut finished = false;
        let mut actions = dispatch.start();
        for event in events {
            for action in actions {
                match action {
                    Action::Accept(agent, _) => {
                        prop_assert!(!finished);
                        prop_assert_eq!(accepted.replace(agent), None);
                    }
                    Action::Finish(failure) => {
                        prop_assert!(!finished);
                        finished = true;
                        if matches!(failure, Failure::NotRun { .. }) {
                            prop_assert_eq!(&accepted, &None, "not-run after an accept");
                        }
                    }
                    Action::Offer(_) => prop_assert!(!finished && accepted.is_none()),
                    Action::AskFate(agent) | Action::Resume(agent) => {
                        prop_assert_eq!(Some(agent), accepted.clone());
                    }
                    Action::Withdraw(_) | Action::WaitFor(_) => {}
                }
            }
            if let Event::NotDispatched(agent, _) = &event
                && accepted.as_ref() == Some(agent)
            {
                accepted = None;
            }
            actions = dispatch.on(event);
        }
    }
}
