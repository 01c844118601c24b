use std::cell::Cell;

use futures::future::join_all;

use super::*;

/// The number of connections of an entry.
const CONNECTIONS: usize = 24;

// Issue 50, DRAIN: an entry behind a slow link fetched the same settings from 13 agents at
// once, and could not connect to the store for six seconds.
#[actix_rt::test]
async fn settings_that_all_agents_have_are_fetched_once() {
    let turns = TransferTurns::new();
    let (revision, fetched) = (Cell::new(1), Cell::new(0));
    let fetches = (0..CONNECTIONS).map(|_| {
        let fetch = async {
            fetched.set(fetched.get() + 1);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            revision.set(2);
        };
        turns.run(|| revision.get() < 2, fetch)
    });
    let outputs = join_all(fetches).await;
    assert_eq!(fetched.get(), 1);
    assert_eq!(outputs.iter().flatten().count(), 1);
}

#[actix_rt::test]
async fn transfer_that_does_not_end_keeps_others_back_for_one_turn_only() {
    let turns = TransferTurns::new();
    let silent = turns.run(|| true, std::future::pending::<()>());
    let other = async {
        let mut tries = 0;
        while turns.run(|| true, async {}).await.is_none() {
            tries += 1;
        }
        tries
    };
    let tries = tokio::select! {
        tries = other => tries,
        _ = silent => unreachable!("it never ends"),
    };
    assert!(tries <= TURN_TIME.as_secs() / MAX_WAIT.as_secs(), "{tries}");
}

#[actix_rt::test]
async fn transfer_that_takes_longer_than_its_turn_is_completed() {
    let turns = TransferTurns::new();
    let transfer = actix_rt::time::sleep(TURN_TIME + Duration::from_millis(100));
    assert_eq!(turns.run(|| true, transfer).await, Some(()));
}
