use tokio::sync::mpsc;

use super::*;

fn send_chunk(
    client: &answer::Client,
    offset: u64,
    data: &[u8],
) -> capnp::capability::RemotePromise<answer::chunk_results::Owned> {
    let mut req = client.chunk_request();
    req.get().set_offset(offset);
    req.get().set_data(data);
    req.send()
}

#[actix_rt::test]
async fn a_part_whose_call_is_cut_off_while_it_waits_is_not_counted_as_received() {
    let (parts, mut received) = mpsc::channel(1);
    let progress = Rc::<Progress>::default();
    let receiver = AnswerReceiver::new(parts, Rc::clone(&progress));
    let client: answer::Client = capnp_rpc::new_client(receiver);
    let first = send_chunk(&client, 0, b"first").promise.await;
    assert!(first.is_ok());
    let waiting = send_chunk(&client, 5, b"second").promise;
    let waited = actix_rt::time::timeout(std::time::Duration::from_millis(20), waiting).await;
    assert!(waited.is_err(), "the channel is full");
    assert_eq!(progress.offset.get(), 5);
    assert!(matches!(received.recv().await, Some(Part::Bytes(b)) if b == "first"));
    let again = send_chunk(&client, 5, b"second").promise.await;
    assert!(again.is_ok());
    assert!(matches!(received.recv().await, Some(Part::Bytes(b)) if b == "second"));
}
