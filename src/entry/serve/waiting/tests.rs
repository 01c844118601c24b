use super::*;

/// Returns a channel on which nothing comes.
fn never() -> UnboundedReceiver<Event> {
    tokio::sync::mpsc::unbounded_channel().1
}

// KNOWN-RED.txt until issue 25, GONE: a busy entry sent requests on whose callers had
// left, since it handled the grant first.
#[actix_rt::test]
async fn departure_of_the_caller_precedes_a_grant() {
    let (event_tx, mut event_rx) = tokio::sync::mpsc::unbounded_channel();
    event_tx
        .send(Event::CollectionTimedOut)
        .expect("the channel is open");
    let left = futures::future::ready(());
    let answered = futures::future::ready(());
    let timer = futures::future::ready(());
    let input = next_input(left, answered, &mut never(), &mut event_rx, timer).await;
    assert!(matches!(input, Input::CallerLeft), "{input:?}");
}

#[actix_rt::test]
async fn event_precedes_a_timer() {
    let (event_tx, mut event_rx) = tokio::sync::mpsc::unbounded_channel();
    event_tx
        .send(Event::CollectionTimedOut)
        .expect("the channel is open");
    let stays = futures::future::pending();
    let silent = futures::future::pending();
    let timer = futures::future::ready(());
    let input = next_input(stays, silent, &mut never(), &mut event_rx, timer).await;
    assert!(matches!(input, Input::Event(_)), "{input:?}");
}

// Issue 31, LOST: an upstream that went on after a silence was left for another one.
#[actix_rt::test]
async fn answer_of_a_silent_upstream_precedes_a_grant() {
    let (event_tx, mut event_rx) = tokio::sync::mpsc::unbounded_channel();
    event_tx
        .send(Event::CollectionTimedOut)
        .expect("the channel is open");
    let stays = futures::future::pending();
    let answered = futures::future::ready(());
    let timer = futures::future::ready(());
    let input = next_input(stays, answered, &mut never(), &mut event_rx, timer).await;
    assert!(matches!(input, Input::Answered), "{input:?}");
}
