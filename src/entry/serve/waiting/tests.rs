use super::*;

// KNOWN-RED.txt until issue 25, GONE: a busy entry sent requests on whose callers had
// left, since it handled the grant first.
#[actix_rt::test]
async fn departure_of_the_caller_precedes_a_grant() {
    let (event_tx, mut event_rx) = tokio::sync::mpsc::unbounded_channel();
    event_tx
        .send(Event::CollectionTimedOut)
        .expect("the channel is open");
    let left = futures::future::ready(());
    let input = next_input(left, &mut event_rx, futures::future::ready(())).await;
    assert!(matches!(input, Input::CallerLeft), "{input:?}");
}

#[actix_rt::test]
async fn event_precedes_a_timer() {
    let (event_tx, mut event_rx) = tokio::sync::mpsc::unbounded_channel();
    event_tx
        .send(Event::CollectionTimedOut)
        .expect("the channel is open");
    let stays = futures::future::pending();
    let input = next_input(stays, &mut event_rx, futures::future::ready(())).await;
    assert!(matches!(input, Input::Event(_)), "{input:?}");
}
