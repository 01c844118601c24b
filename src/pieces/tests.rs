use std::cell::Cell;
use std::rc::Rc;

use super::*;

// Issue 31: an entry that adopted settings did nothing else for over a second.
#[actix_rt::test]
async fn another_task_runs_after_a_bounded_number_of_pieces() {
    let turns = Rc::new(Cell::new(0));
    let others = Rc::clone(&turns);
    let other = actix_rt::spawn(async move {
        loop {
            others.set(others.get() + 1);
            yield_now().await;
        }
    });
    let mut since_turn = 0;
    let mut last_turn = 0;
    let mut left = 10 * PIECES_PER_TURN;
    let (result, done) = run_in_pieces(|| {
        since_turn = match turns.get() == last_turn {
            true => since_turn + 1,
            false => 1,
        };
        last_turn = turns.get();
        assert!(since_turn <= PIECES_PER_TURN);
        left -= 1;
        (left == 0).then_some("done")
    })
    .await;
    other.abort();
    assert_eq!((result, done.count), ("done", 10 * PIECES_PER_TURN));
    assert!(done.work <= done.elapsed);
}
