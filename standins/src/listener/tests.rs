use super::*;

// Found in CI beside load: streams of an engine that had crashed looked complete, since
// something still listened at its address.
#[actix_rt::test]
async fn listener_of_which_another_process_has_a_copy_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let listener = listener.into_std().expect("a socket");
    let _copy = listener.try_clone().expect("a copy");
    close_listener(TcpListener::from_std(listener).expect("a listener"));
    let connected = tokio::net::TcpStream::connect(address).await;
    assert!(connected.is_err(), "{connected:?}");
}
