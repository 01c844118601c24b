use std::future::pending;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;

use actix_http::StatusCode;
use futures::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use super::*;

const BOUNDS: HttpBounds = HttpBounds {
    connections: 10,
    head: 64 << 10,
    heads: 64 << 20,
    head_timeout: Duration::from_secs(60),
    keep_alive: Duration::from_secs(60),
    write_timeout: Duration::from_secs(60),
    send_buffer: None,
    receive_buffer: None,
};

impl PollClosed for tokio::io::DuplexStream {
    fn poll_closed(&mut self, _cx: &mut std::task::Context<'_>) -> Poll<()> {
        Poll::Pending
    }
}

/// Number of tasks that are always ready.
const BUSY_TASKS: usize = 100;

/// Sets its flag when it is dropped.
struct DropFlag(Rc<Cell<bool>>);

impl Drop for DropFlag {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

/// Polls the busy tasks until `dropped`, and counts their polls.
fn keep_busy(dropped: &Rc<Cell<bool>>) -> Rc<Cell<usize>> {
    let polls = Rc::new(Cell::new(0));
    for _ in 0..BUSY_TASKS {
        let (polls, dropped) = (Rc::clone(&polls), Rc::clone(dropped));
        actix_rt::spawn(poll_fn(move |cx| {
            if dropped.get() {
                return Poll::Ready(());
            }
            polls.set(polls.get() + 1);
            cx.waker().wake_by_ref();
            Poll::Pending
        }));
    }
    polls
}

/// Guards against requests that a busy entry sends although it has read that their
/// callers have left: they were dropped only when all other tasks had been polled again.
#[actix_rt::test]
async fn a_request_is_dropped_when_the_departure_of_its_caller_is_read() {
    let (mut caller, stream) = tokio::io::duplex(1_024);
    let (started, dropped) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let (has_started, was_dropped) = (Rc::clone(&started), Rc::clone(&dropped));
    let handler = move |_| {
        let flag = DropFlag(Rc::clone(&was_dropped));
        has_started.set(true);
        async move {
            let _flag = flag;
            pending::<Response<BoxBody>>().await
        }
    };
    let connection = serve_connection(
        stream,
        None,
        BOUNDS,
        handler,
        Rc::default(),
        CallerExchange::new(),
    );
    actix_rt::spawn(connection);
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    caller.write_all(request).await.expect("connection is open");
    while !started.get() {
        tokio::task::yield_now().await;
    }
    let polls = keep_busy(&dropped);
    while polls.get() < BUSY_TASKS {
        tokio::task::yield_now().await;
    }
    polls.set(0);
    drop(caller);
    while !dropped.get() {
        tokio::task::yield_now().await;
    }
    assert!(polls.get() <= BUSY_TASKS, "{}", polls.get());
}

/// Runs a server whose handler drops `caller` and counts the departure if it can be seen
/// in the same turn of the event loop.
async fn sees_departure(caller_leaves: bool) -> bool {
    let caller: Rc<Cell<Option<std::net::TcpStream>>> = Rc::default();
    let seen = Rc::new(Cell::new(None));
    let (connection, result) = (Rc::clone(&caller), Rc::clone(&seen));
    let handler = move |req: Request| {
        let presence = req.extensions().get::<CallerPresence>().cloned();
        let presence = presence.expect("a presence");
        assert!(!presence.has_left());
        let left = connection.take().filter(|_| !caller_leaves);
        // The event loop runs nothing of this connection meanwhile.
        let until = std::time::Instant::now() + Duration::from_secs(1);
        while !presence.has_left() && std::time::Instant::now() < until && caller_leaves {}
        result.set(Some(presence.has_left()));
        drop(left);
        async { Response::ok().map_into_boxed_body() }
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(any_port, || BOUNDS, handler).await;
    let address = server.expect("a listening server").address();
    let stream = std::net::TcpStream::connect(address).expect("a connection");
    let mut writer = stream.try_clone().expect("another handle");
    caller.set(Some(stream));
    Write::write_all(&mut writer, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .expect("connection is open");
    drop(writer);
    loop {
        if let Some(seen) = seen.get() {
            return seen;
        }
        tokio::task::yield_now().await;
    }
}

// Issue 37, GONE: a choked entry sent a request in the turn in which the end of its
// caller's connection had arrived but was not read yet.
#[actix_rt::test]
async fn departure_of_a_caller_is_seen_before_it_is_read() {
    assert!(sees_departure(true).await);
    assert!(!sees_departure(false).await);
}

// Each connection of a caller took the whole of its read buffer, so that entries with
// little memory were killed.
#[actix_rt::test]
async fn read_touches_only_as_much_of_its_buffer_as_has_arrived() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut stream = SharedStream::new(stream);
    caller
        .write_all(b"hello")
        .await
        .expect("connection is open");
    let mut bytes = [std::mem::MaybeUninit::uninit(); 1_024];
    let mut buf = tokio::io::ReadBuf::uninit(&mut bytes);
    poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, &mut buf))
        .await
        .expect("bytes");
    assert_eq!(buf.filled(), b"hello");
    assert_eq!(buf.initialized().len(), 5);
}

/// Answers 400 if the body of the request is broken.
async fn read_whole_body(mut req: Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    while let Some(part) = payload.next().await {
        if part.is_err() {
            return Response::new(StatusCode::BAD_REQUEST);
        }
    }
    Response::ok().map_into_boxed_body()
}

async fn start_body_reader() -> HttpServer {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(any_port, || BOUNDS, read_whole_body).await;
    server.expect("a listening server")
}

// A caller whose request was not valid got no answer if the end of its connection arrived
// before a busy entry had read the request: the end was read together with it.
#[actix_rt::test]
async fn request_is_handled_before_the_end_of_its_connection_is_read() {
    let server = start_body_reader().await;
    let mut caller = std::net::TcpStream::connect(server.address()).expect("a connection");
    let request = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    // The server accepts the connection, and finds that there is nothing to read yet.
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    // It runs on this thread, so it learns of the request and the end together.
    Write::write_all(&mut caller, request).expect("connection is open");
    caller
        .shutdown(Shutdown::Write)
        .expect("connection is open");
    caller.set_nonblocking(true).expect("connection is open");
    let mut caller = TcpStream::from_std(caller).expect("a connection");
    let mut answer = String::new();
    let read = caller.read_to_string(&mut answer).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{read:?}: {answer}");
}

/// Size of a request that the server answers before it has read it whole, in bytes. It is
/// more than the server's read buffer and less than the socket buffers.
const UNREAD_BYTES: usize = 1 << 20;

// A connection that is closed with unread bytes is reset, and the caller lost the answer.
#[actix_rt::test]
async fn caller_that_still_sends_gets_the_refusal_of_its_request() {
    let server = start_body_reader().await;
    let address = server.address();
    let caller = std::thread::spawn(move || {
        let mut caller = std::net::TcpStream::connect(address).expect("a connection");
        let filler = "x".repeat(UNREAD_BYTES);
        let head = format!("GET / HTTP/1.1\r\nhost: a\r\nx-filler: {filler}\r\n\r\n");
        Write::write_all(&mut caller, head.as_bytes()).expect("connection is open");
        // A reset that follows the answer overtakes it meanwhile.
        std::thread::sleep(Duration::from_millis(100));
        caller
            .shutdown(Shutdown::Write)
            .expect("connection is open");
        let mut answer = String::new();
        let read = caller.read_to_string(&mut answer);
        assert!(answer.starts_with("HTTP/1.1 431"), "{read:?}: {answer}");
    });
    while !caller.is_finished() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    caller.join().expect("the caller got its answer");
}

// Lingering must not keep connections open for callers that never close theirs.
#[actix_rt::test]
async fn connection_of_a_refused_caller_that_stays_is_closed_after_a_second() {
    let server = start_body_reader().await;
    let mut caller = TcpStream::connect(server.address())
        .await
        .expect("a connection");
    caller
        .write_all(b"\x01\x02\r\n\r\n")
        .await
        .expect("connection is open");
    let mut answer = String::new();
    caller
        .read_to_string(&mut answer)
        .await
        .expect("a closed connection");
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let closed = server.wait_for_connections_to_close();
    let closed = actix_rt::time::timeout(Duration::from_secs(3), closed).await;
    assert!(closed.is_ok());
}

/// Starts a server that answers 204 without a body, or after the time in the path, and counts
/// its requests.
async fn start_counter(bounds: HttpBounds) -> (HttpServer, Rc<Cell<usize>>) {
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    let handler = move |req: Request| {
        counted.set(counted.get() + 1);
        let wait = req.path().trim_matches('/').parse().unwrap_or(0);
        async move {
            actix_rt::time::sleep(Duration::from_millis(wait)).await;
            let mut response = Response::new(StatusCode::OK);
            let name = actix_http::header::HeaderName::from_static("x-path");
            let value = req.path().parse().expect("a header value");
            response.headers_mut().insert(name, value);
            response
        }
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(any_port, move || bounds, handler).await;
    (server.expect("a listening server"), count)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

// Requests that were sent ahead were decoded without a bound, and their answers gathered in
// the write buffer.
#[actix_rt::test]
async fn requests_sent_ahead_wait_until_answers_are_read() {
    let bounds = HttpBounds {
        send_buffer: Some(4 << 10),
        receive_buffer: Some(4 << 10),
        ..BOUNDS
    };
    let (server, count) = start_counter(bounds).await;
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("an option");
    socket.set_send_buffer_size(4 << 10).expect("an option");
    let caller = socket.connect(server.address()).await;
    let mut caller = caller.expect("a connection");
    let ahead = get("/0").repeat(100_000);
    let mut sent = 0;
    let quiet = Duration::from_millis(500);
    let bytes = ahead.as_bytes();
    while let Ok(written) = actix_rt::time::timeout(quiet, caller.write(&bytes[sent..])).await {
        sent += written.expect("an open connection");
        assert!(sent < bytes.len(), "everything was taken");
    }
    // What the buffers of both sides hold of answers of some 60 bytes.
    assert!(count.get() < 10_000, "{} requests were served", count.get());
}

// A sound caller that sends a few requests ahead gets whole answers in order.
#[actix_rt::test]
async fn requests_sent_ahead_are_answered_in_order() {
    let (server, count) = start_counter(BOUNDS).await;
    let caller = TcpStream::connect(server.address()).await;
    let mut caller = caller.expect("a connection");
    let waits = [50, 0, 20, 1, 0, 30];
    for wait in waits {
        let body = "POST /0 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
        let sent = get(&format!("/{wait}")) + body;
        caller.write_all(sent.as_bytes()).await.expect("it is open");
    }
    let mut answers = String::new();
    while answers.matches("x-path").count() < 2 * waits.len() {
        let mut buf = [0; 1_024];
        let read = caller.read(&mut buf).await.expect("it is open");
        assert!(read > 0, "closed after {answers}");
        answers += std::str::from_utf8(&buf[..read]).expect("text");
    }
    let paths: Vec<&str> = answers
        .lines()
        .filter_map(|l| l.strip_prefix("x-path: "))
        .collect();
    let expected: Vec<String> = waits
        .iter()
        .flat_map(|wait| [format!("/{wait}"), "/0".to_owned()])
        .collect();
    assert_eq!(paths, expected);
    assert_eq!(count.get(), 2 * waits.len());
}

// The end of a connection lies behind the requests that its caller has sent ahead.
#[actix_rt::test]
async fn departure_is_noticed_behind_requests_sent_ahead() {
    for ahead in [0, 1, 1_000] {
        let dropped = Rc::new(Cell::new(false));
        let started = Rc::new(Cell::new(false));
        let (was_dropped, has_started) = (Rc::clone(&dropped), Rc::clone(&started));
        let handler = move |_| {
            let flag = DropFlag(Rc::clone(&was_dropped));
            has_started.set(true);
            async move {
                let _flag = flag;
                pending::<Response<BoxBody>>().await
            }
        };
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let server = HttpServer::bind(any_port, || BOUNDS, handler).await;
        let server = server.expect("a listening server");
        let mut caller = TcpStream::connect(server.address())
            .await
            .expect("a connection");
        let requests = get("/").repeat(1 + ahead);
        let written = caller.write_all(requests.as_bytes());
        // Not all of them fit in the buffers.
        let _ = actix_rt::time::timeout(Duration::from_millis(300), written).await;
        while !started.get() {
            tokio::task::yield_now().await;
        }
        assert!(!dropped.get());
        drop(caller);
        let closed = server.wait_for_connections_to_close();
        let closed = actix_rt::time::timeout(Duration::from_secs(5), closed).await;
        assert!(closed.is_ok(), "{ahead} sent ahead");
        assert!(dropped.get(), "{ahead} sent ahead");
    }
}

// Only the first head of a connection had a timeout.
#[actix_rt::test]
async fn head_that_is_not_ended_on_a_kept_connection_is_refused() {
    let bounds = HttpBounds {
        // The allowance for stalls comes on top.
        head_timeout: Duration::from_millis(100),
        ..BOUNDS
    };
    let (server, _) = start_counter(bounds).await;
    let caller = TcpStream::connect(server.address()).await;
    let mut caller = caller.expect("a connection");
    let sent = get("/0") + "GET /unfinished HT";
    caller.write_all(sent.as_bytes()).await.expect("it is open");
    let mut answers = String::new();
    let read = caller.read_to_string(&mut answers);
    let read = actix_rt::time::timeout(STALL_ALLOWANCE * 3, read).await;
    assert!(read.is_ok(), "the connection stays open: {answers}");
    assert!(answers.contains("HTTP/1.1 408"), "{answers}");
}

#[actix_rt::test]
async fn head_that_is_too_long_is_refused() {
    let (server, count) = start_counter(BOUNDS).await;
    let caller = TcpStream::connect(server.address()).await;
    let mut caller = caller.expect("a connection");
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(BOUNDS.head + (8 << 10)));
    // The rest is not read.
    let _ = caller.write_all(long.as_bytes()).await;
    let mut answer = String::new();
    let _ = caller.read_to_string(&mut answer).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_eq!(count.get(), 0);
}

// Clients that hold connections kept others out.
#[actix_rt::test]
async fn connections_without_a_request_are_closed_for_others() {
    let (server, count) = start_counter(BOUNDS).await;
    let mut kept = TcpStream::connect(server.address())
        .await
        .expect("a connection");
    let mut buf = [0; 1_024];
    kept.write_all(get("/0").as_bytes())
        .await
        .expect("it is open");
    assert!(kept.read(&mut buf).await.expect("an answer") > 0);
    let mut holders = Vec::new();
    for _ in 0..2 * BOUNDS.connections {
        let holder = TcpStream::connect(server.address()).await;
        let mut holder = holder.expect("a connection");
        holder.write_all(b"G").await.expect("it is open");
        holders.push(holder);
    }
    let mut other = TcpStream::connect(server.address())
        .await
        .expect("a connection");
    for stream in [&mut other, &mut kept] {
        let request = get("/0");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it is open");
        let read = stream.read(&mut buf).await.expect("an answer");
        assert!(buf[..read].starts_with(b"HTTP/1.1 200"));
    }
    assert_eq!(count.get(), 3);
    let refused = holders[0].read(&mut buf).await.expect("a refusal");
    assert!(buf[..refused].starts_with(b"HTTP/1.1 503"));
}
