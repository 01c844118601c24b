//! An HTTP server on one thread, with limits on connections and on slow callers. It takes one
//! request at a time from each connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::iter;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_io_timeout::TimeoutStream;

use self::caller_exchange::AnswerBody;
use self::caller_exchange::CallerExchange;
use self::caller_stream::CallerStream;
use self::caller_stream::HeadBounds;
use self::caller_stream::PollClosed;
use self::head_budget::HeadBudget;
use self::head_budget::HeadReservation;
use self::linger::linger;
use self::shared_stream::SharedStream;

mod caller_exchange;
mod caller_stream;
mod head_budget;
mod linger;
mod shared_stream;
#[cfg(test)]
mod tests;
mod turn;

pub use caller_exchange::Refusal;
pub use shared_stream::CallerPresence;

/// The pause after a failed `accept`, for example if no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The time by which the timeouts of a connection are exceeded. They elapse in a stall of
/// the event loop too, and a connection whose timeout has elapsed is closed without
/// reading what has arrived on it.
const STALL_ALLOWANCE: Duration = Duration::from_secs(10);

/// The size above which an answer is written before more of it is taken, in bytes. What a
/// slow caller has not read is held by the handler, which counts it.
const WRITE_BUFFER_BYTES: usize = 8 << 10;

/// The part of the allowed connections above which callers are asked to close theirs
/// after the next answer: idle ones would keep others out.
const CROWDED_FRACTION: f64 = 0.5;

/// The time for which a connection waits for a whole head before it may be closed for another
/// one.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// The interval at which a server that stops looks whether answers are still being written.
const ANSWER_INTERVAL: Duration = Duration::from_millis(10);

/// The time after which a connection that waits for room looks for it again.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);

/// Limits on the connections of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HttpBounds {
    /// The maximum number of open connections. For a further one, a connection is closed that
    /// waits for its first request or for the rest of a head, if there is one; others wait in
    /// the listen queue.
    pub connections: usize,
    /// The length above which the head of a request is refused before it is complete, in
    /// bytes.
    pub head: usize,
    /// The maximum memory for long heads, over all connections, in bytes. Connections that
    /// exceed it are not read until others have been answered.
    pub heads: u64,
    /// The maximum time for a caller to send the head of a request.
    pub head_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// The maximum time without progress while writing to a caller.
    pub write_timeout: Duration,
    /// The size of a connection's send buffer in the kernel, in bytes; `None` if the kernel
    /// decides.
    pub send_buffer: Option<usize>,
    /// The size of a connection's receive buffer in the kernel, in bytes; `None` if the kernel
    /// decides. It is set when the server is bound.
    pub receive_buffer: Option<usize>,
}

/// Connections that a server has closed, by reason.
pub type RefusedConnections = Family<RefusalLabels, Counter>;

/// The labels of [`RefusedConnections`].
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    reason: Refusal,
}

type Io<S> = Pin<Box<TimeoutStream<CallerStream<S>>>>;

/// An HTTP server that listens on one address.
pub struct HttpServer {
    address: SocketAddr,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    /// The open connections, in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<CallerExchange>>>,
    accepted: Cell<u64>,
    heads: Rc<HeadBudget>,
    refused: RefusedConnections,
    stopping: Cell<bool>,
    /// Whether the listener is closed.
    has_stopped: Cell<bool>,
    changed: Notify,
}

impl State {
    fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    fn is_crowded(&self, bounds: &HttpBounds) -> bool {
        self.connections() as f64 > bounds.connections as f64 * CROWDED_FRACTION
    }

    /// Closes the connection that has waited the longest for its first request or, if there
    /// is none, for the rest of a later one. Other connections are kept for their callers.
    fn evict(&self) {
        let connections = self.connections.borrow();
        let waiting = connections.values().filter_map(|exchange| {
            let (awaited, since) = exchange.awaited()?;
            Some((awaited, since, exchange))
        });
        let first = waiting.min_by_key(|(awaited, since, _)| (*awaited, *since));
        if let Some((_, since, exchange)) = first
            && since.elapsed() >= MIN_WAIT
        {
            exchange.refuse(Refusal::Crowded);
        }
    }
}

impl HttpServer {
    /// Binds to `address` and serves each request with `handler`. `bounds` is
    /// called for each connection. Requests have a [`CallerPresence`] among their
    /// extensions.
    pub async fn bind<B, F, Fut>(address: SocketAddr, bounds: B, handler: F) -> io::Result<Self>
    where
        B: Fn() -> HttpBounds + 'static,
        F: Fn(Request) -> Fut + Clone + 'static,
        Fut: Future<Output = Response<BoxBody>> + 'static,
    {
        let refused = RefusedConnections::default();
        Self::bind_counting(address, bounds, handler, refused).await
    }

    /// Binds like [`HttpServer::bind`], and counts in `refused` the connections that are
    /// closed without serving their callers.
    pub async fn bind_counting<B, F, Fut>(
        address: SocketAddr,
        bounds: B,
        handler: F,
        refused: RefusedConnections,
    ) -> io::Result<Self>
    where
        B: Fn() -> HttpBounds + 'static,
        F: Fn(Request) -> Fut + Clone + 'static,
        Fut: Future<Output = Response<BoxBody>> + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        if let Some(bytes) = bounds().receive_buffer {
            // Connections inherit it, and their first window fits. Without it, the kernel may
            // hold more.
            let _ = SockRef::from(&listener).set_recv_buffer_size(bytes);
        }
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            refused,
            ..State::default()
        });
        actix_rt::spawn(serve(listener, bounds, handler, Rc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until no connection is open, nor accepted any more if the server is stopping.
    pub async fn wait_for_connections_to_close(&self) {
        loop {
            let changed = self.state.changed.notified();
            let state = &self.state;
            let is_stopping = state.stopping.get() && !state.has_stopped.get();
            if state.connections() == 0 && !is_stopping {
                return;
            }
            changed.await;
        }
    }

    /// Waits until all answers have been passed to the kernel. What it has not taken is lost
    /// with the process.
    pub async fn wait_for_answers(&self) {
        loop {
            let is_answering = {
                let connections = self.state.connections.borrow();
                connections.values().any(|exchange| exchange.is_answering())
            };
            if !is_answering {
                return;
            }
            actix_rt::time::sleep(ANSWER_INTERVAL).await;
        }
    }

    /// Stops listening.
    pub fn close(&self) {
        self.state.stopping.set(true);
        self.state.changed.notify_waiters();
    }

    /// Stops listening and waits until all connections are closed, for at most
    /// `within`. Idle connections are closed after the keep-alive time.
    pub async fn stop(&self, within: Duration) {
        self.close();
        // Connections that are still open belong to callers that are too slow.
        let _ = actix_rt::time::timeout(within, self.wait_for_connections_to_close()).await;
    }
}

async fn serve<B, F, Fut>(listener: TcpListener, bounds: B, handler: F, state: Rc<State>)
where
    B: Fn() -> HttpBounds + 'static,
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    while let Some(stream) = next_connection(&listener, &state).await {
        wait_for_room(&bounds, &state).await;
        spawn_connection(stream, bounds(), handler.clone(), &state);
    }
    // Connections that the kernel has accepted already would be reset.
    for stream in waiting_connections(listener) {
        spawn_connection(stream, bounds(), handler.clone(), &state);
    }
    state.has_stopped.set(true);
    state.changed.notify_waiters();
}

/// Returns the connections that wait for the listener, which is closed at the end.
fn waiting_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    iter::from_fn(move || {
        let (stream, _) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

/// Serves the requests of a connection in a task of its own.
fn spawn_connection<F, Fut>(stream: TcpStream, bounds: HttpBounds, handler: F, state: &Rc<State>)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let exchange = CallerExchange::new();
    let guard = ConnectionGuard::new(state, &exchange);
    let peer = stream.peer_addr().ok();
    // Without these options, answers are only delayed, and the kernel may hold more.
    let _ = stream.set_nodelay(true);
    if let Some(bytes) = bounds.send_buffer {
        let _ = SockRef::from(&stream).set_send_buffer_size(bytes);
    }
    let stream = SharedStream::new(stream);
    let socket = stream.socket();
    let presence = stream.presence();
    let handler = move |req: Request| {
        req.extensions_mut().insert(presence.clone());
        handler(req)
    };
    let state = Rc::clone(state);
    let connection = serve_connection(
        stream,
        peer,
        bounds,
        handler,
        Rc::clone(&state),
        Rc::clone(&exchange),
    );
    actix_rt::spawn(async move {
        let _guard = guard;
        match connection.await {
            ConnectionState::HalfOpen => linger(&socket).await,
            ConnectionState::Refused(refusal) => {
                let labels = RefusalLabels { reason: refusal };
                state.refused.get_or_create(&labels).inc();
                if exchange.head_bytes() > 0 {
                    // The send buffer has room, since all answers have been written.
                    let _ = socket.try_write(refusal.response());
                }
                // The connection is needed for others.
                if refusal != Refusal::Crowded {
                    linger(&socket).await;
                }
            }
            ConnectionState::Ended => {}
        }
    });
}

/// What is left of a connection that is no longer served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionState {
    /// The caller may still send, and may not have read the last answer.
    HalfOpen,
    /// The server refuses what the caller sends, and has not answered.
    Refused(Refusal),
    /// The caller has left, or the connection has failed.
    Ended,
}

/// Serves the requests of one connection, which is not closed.
async fn serve_connection<S, F, Fut>(
    stream: S,
    peer: Option<SocketAddr>,
    bounds: HttpBounds,
    handler: F,
    state: Rc<State>,
    exchange: Rc<CallerExchange>,
) -> ConnectionState
where
    S: AsyncRead + AsyncWrite + PollClosed + Unpin + 'static,
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let heads = HeadBounds {
        length: bounds.head,
        total: bounds.heads,
        timeout: bounds.head_timeout + STALL_ALLOWANCE,
    };
    let reservation = HeadReservation::new(&state.heads);
    let stream = CallerStream::new(stream, Rc::clone(&exchange), heads, reservation);
    let has_left = stream.has_left();
    let has_caller_left = Rc::clone(&has_left);
    let served = Rc::clone(&exchange);
    let service = fn_service(move |mut req: Request| {
        let exchange = Rc::clone(&served);
        exchange.begin(&mut req);
        let response = while_caller_stays(handler(req), Rc::clone(&has_left));
        let state = Rc::clone(&state);
        async move {
            let mut response = response.await;
            exchange.discard_rest().await;
            if state.is_crowded(&bounds) || !exchange.is_whole() {
                response
                    .head_mut()
                    .set_connection_type(ConnectionType::Close);
            }
            let response =
                response.map_body(|_, body| BoxBody::new(AnswerBody::new(body, &exchange)));
            Ok::<_, Infallible>(response)
        }
    });
    let factory = HttpService::<Io<S>, _, _>::build()
        .keep_alive(bounds.keep_alive + STALL_ALLOWANCE)
        .client_request_timeout(bounds.head_timeout + STALL_ALLOWANCE)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .h1_allow_half_closed(false)
        .h1(service);
    let Ok(handler) = factory.new_service(()).await else {
        return ConnectionState::Ended;
    };
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(bounds.write_timeout));
    // A failed connection affects only its own caller.
    let served = handler.call((Box::pin(stream), peer)).await;
    if let Some(refusal) = exchange.refusal() {
        return ConnectionState::Refused(refusal);
    }
    match served {
        Ok(()) | Err(DispatchError::Parse(_)) if !has_caller_left.get() => {
            ConnectionState::HalfOpen
        }
        Ok(()) | Err(_) => ConnectionState::Ended,
    }
}

/// Runs `handler`, and drops it as soon as its caller has left.
///
/// The connection drops it too, but only when it is polled again. At a busy entry,
/// requests of callers that have left would be sent in the meantime.
async fn while_caller_stays<Fut>(handler: Fut, has_left: Rc<Cell<bool>>) -> Response<BoxBody>
where
    Fut: Future<Output = Response<BoxBody>>,
{
    let mut handler = Some(Box::pin(handler));
    poll_fn(move |cx| {
        let Some(running) = &mut handler else {
            return Poll::Pending;
        };
        let response = running.as_mut().poll(cx);
        if response.is_pending() && has_left.get() {
            handler = None;
        }
        response
    })
    .await
}

/// Returns the next connection; `None` when the server is stopping.
async fn next_connection(listener: &TcpListener, state: &State) -> Option<TcpStream> {
    loop {
        let changed = state.changed.notified();
        if state.stopping.get() {
            return None;
        }
        tokio::select! {
            () = changed => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => return Some(stream),
                Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
            },
        }
    }
}

/// Waits until the limit on connections allows another one or the server is stopping. Closes
/// connections that wait for a request meanwhile.
async fn wait_for_room<B>(bounds: &B, state: &State)
where
    B: Fn() -> HttpBounds,
{
    loop {
        let changed = state.changed.notified();
        if state.stopping.get() || state.connections() < bounds().connections {
            return;
        }
        state.evict();
        // Fails if no connection has closed meanwhile.
        let _ = actix_rt::time::timeout(ROOM_INTERVAL, changed).await;
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard {
    state: Rc<State>,
    id: u64,
}

impl ConnectionGuard {
    fn new(state: &Rc<State>, exchange: &Rc<CallerExchange>) -> Self {
        let id = state.accepted.get();
        state.accepted.set(id + 1);
        let mut connections = state.connections.borrow_mut();
        connections.insert(id, Rc::clone(exchange));
        Self {
            state: Rc::clone(state),
            id,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.connections.borrow_mut().remove(&self.id);
        self.state.changed.notify_waiters();
    }
}
