use std::task::Waker;

use super::*;

#[test]
fn heads_share_their_memory() {
    let budget = Rc::default();
    let limit = 32 << 10;
    let mut first = HeadReservation::new(&budget);
    let mut second = HeadReservation::new(&budget);
    // Covered by the connection.
    assert!(second.resize(COVERED_BYTES, 0));
    assert!(first.resize(20 << 10, limit));
    assert!(!second.resize(5 << 10, limit));
    first.release();
    assert!(second.resize(5 << 10, limit));
    drop(second);
    assert!(first.resize(32 << 10, limit));
    drop(first);
    assert_eq!(budget.reserved.get(), 0);
}

#[test]
fn only_head_always_fits() {
    let budget = Rc::default();
    let mut only = HeadReservation::new(&budget);
    assert!(only.resize(100 << 10, 1_000));
    assert!(!HeadReservation::new(&budget).resize(5 << 10, 1_000));
}

#[test]
fn waiting_connection_is_woken_when_memory_is_released() {
    let budget = Rc::default();
    let mut first = HeadReservation::new(&budget);
    assert!(first.resize(100 << 10, 1_000));
    let second = HeadReservation::new(&budget);
    second.wait(&Context::from_waker(Waker::noop()));
    assert_eq!(budget.waiting.borrow().len(), 1);
    drop(first);
    assert_eq!(budget.waiting.borrow().len(), 0);
}
