use super::*;
use crate::prompt_parts::PartId;

const PART: SuspectId = SuspectId::Part(PartId(u64::MAX));

fn suspects() -> Suspects {
    let log = Logger::root(slog::Discard, slog::o!());
    Suspects::new(Clock::new(), log)
}

/// Reports as many crashes at one moment as convict a part.
fn convict(suspects: &Suspects) {
    for i in 0..5 {
        let name = Name::new(&format!("i-{i}"));
        suspects.record_crash(&name, &[PART]);
    }
}

fn refuses(suspects: &Suspects) -> bool {
    matches!(suspects.verdict(&[PART], |_| true), Verdict::Refused(..))
}

#[test]
fn entry_without_crashes_sends_nothing() {
    let suspects = suspects();
    suspects.record_success(&[PART]);
    assert_eq!(suspects.next_message(), None);
}

#[test]
fn change_is_sent_to_a_few_some_times_and_then_to_one() {
    let suspects = suspects();
    convict(&suspects);
    let mut audiences = Vec::new();
    for _ in 0..5 {
        audiences.extend(suspects.next_message().map(|(_, audience)| audience));
    }
    let (few, one) = (Audience::Few, Audience::One);
    assert_eq!(audiences, [few, few, few, one, one]);
}

// Issue 31, BUDGET: an entry that started knew nothing of crashes before its start.
#[test]
fn message_tells_an_entry_that_has_just_started() {
    let sender = suspects();
    convict(&sender);
    assert!(refuses(&sender));
    let (message, _) = sender.next_message().expect("a message");
    let receiver = suspects();
    receiver.receive(&message);
    assert!(refuses(&receiver));
    assert_eq!(receiver.counts(), (1, 1));
}

#[test]
fn success_is_sent_to_an_entry_that_lacks_it() {
    let (sender, receiver) = (suspects(), suspects());
    receiver.record_success(&[PART]);
    convict(&sender);
    let (message, _) = sender.next_message().expect("a message");
    receiver.receive(&message);
    assert!(!refuses(&receiver));
    let (answer, audience) = receiver.next_message().expect("an answer");
    assert_eq!(audience, Audience::Few);
    sender.receive(&answer);
    assert!(!refuses(&sender));
}

#[test]
fn message_that_is_no_report_changes_nothing() {
    let suspects = suspects();
    suspects.receive(b"{");
    suspects.receive(b"{\"rows\":[{\"part\":1}]}");
    assert_eq!(suspects.next_message(), None);
}

// Issue 31, BUDGET: upstreams that came back under their names and crashed again counted
// once, so that a part which crashed a few of them over and over was never found.
#[test]
fn crash_after_a_restart_under_the_same_name_is_another_one() {
    let name = Name::new("i-1");
    let first = Duration::from_secs(1_000_000);
    let seen_again = crash_id(&name, first + CRASH_PERIOD / 2);
    assert_eq!(crash_id(&name, first), seen_again);
    assert_ne!(
        crash_id(&name, first),
        crash_id(&name, first + CRASH_PERIOD)
    );
    assert_ne!(crash_id(&name, first), crash_id(&Name::new("i-2"), first));
}
