//! Runs an HTTP server on a separate thread.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use almondramp::http_server::HttpBounds;
use almondramp::http_server::HttpServer;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream;
use tokio::sync::oneshot;

const BOUNDS: HttpBounds = HttpBounds {
    connections: 4096,
    head: 64 << 10,
    heads: 64 << 20,
    head_timeout: Duration::from_secs(60),
    write_timeout: Duration::from_secs(60),
    keep_alive: Duration::from_secs(5),
    send_buffer: None,
    receive_buffer: None,
};

/// A server that runs until it is dropped, which closes all connections.
pub struct ServerThread {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Starts a server on an ephemeral port of the loopback address. `build`
    /// creates the handler on the server thread.
    pub fn start<B, H, Fut>(build: B) -> Self
    where
        B: FnOnce() -> H + Send + 'static,
        H: Fn(Request) -> Fut + Clone + 'static,
        Fut: Future<Output = Response<BoxBody>> + 'static,
    {
        let (started, address) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let server = HttpServer::bind(any_port, || BOUNDS, build()).await;
                let server = server.expect("a loopback port can be bound");
                started.send(server.address()).expect("the starter waits");
                let _ = stopped.await;
            });
        });
        Self {
            address: address.recv().expect("the server starts"),
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Reads the whole body of a request.
pub async fn read_body(req: &mut Request) -> Bytes {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(part)) = payload.next().await {
        body.extend_from_slice(&part);
    }
    body.freeze()
}

/// Returns a response that closes the connection before the first body byte.
pub fn aborted_response() -> Response<BoxBody> {
    let broken = stream::iter([Err::<Bytes, _>(std::io::Error::other("response aborted"))]);
    Response::build(StatusCode::OK)
        .body(BodyStream::new(broken))
        .map_into_boxed_body()
}
