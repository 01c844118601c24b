use super::*;

fn loans() -> Loans {
    let clock = Clock::new();
    let quota = Rc::new(RefCell::new(Quota::new(clock.now())));
    let log = Logger::root(slog::Discard, slog::o!());
    let settings = Rc::new(ActiveSettings::new());
    Loans::new(quota, settings, Incarnation(1), clock, log)
}

// A caller that leaves while its entry asks for a loan drops the request.
#[test]
fn request_that_is_dropped_is_forgotten() {
    let loans = loans();
    let (first, _answer) = loans.begin();
    let (second, _other_answer) = loans.begin();
    assert_ne!(first.number, second.number);
    drop(first);
    assert_eq!(loans.pending.borrow().len(), 1);
    drop(second);
    assert!(loans.pending.borrow().is_empty());
}

#[test]
fn reply_reaches_the_request_that_waits_for_it() {
    let loans = loans();
    let (pending, mut answer_rx) = loans.begin();
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let reply = |number, answer| LoanMessage::Reply { number, answer };
    let late = reply(pending.number + 1, LoanAnswer::Lent);
    let message = loans.encode(&late).expect("a message");
    assert_eq!(loans.receive(&message, peer), None);
    assert!(answer_rx.try_recv().is_err());
    let denied = LoanAnswer::Denied(Duration::from_millis(400));
    let message = loans.encode(&reply(pending.number, denied));
    assert_eq!(loans.receive(&message.expect("a message"), peer), None);
    assert_eq!(answer_rx.try_recv(), Ok(denied));
}

#[test]
fn message_that_is_no_loan_is_ignored() {
    let loans = loans();
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    for message in [&b"{"[..], b"{}", b"{\"Ask\":{\"number\":-1}}", b"\xff"] {
        assert_eq!(loans.receive(message, peer), None);
    }
}

// Entries that have just started, or know no others, lend nothing.
#[actix_rt::test]
async fn entry_without_others_borrows_nothing() {
    let loans = loans();
    let organisation = Name::new("large");
    assert_eq!(loans.ask(&organisation, 1.0).await, None);
    // Without a quota there is nothing to borrow.
    assert_eq!(loans.borrow(&organisation, 1.0).await, Ok(()));
}
