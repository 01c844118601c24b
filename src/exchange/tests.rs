use std::net::SocketAddr;

use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::*;
use crate::name::Name;

/// Starts an upstream that reads a request and answers with these bytes. With
/// `reset`, it resets the connection instead of closing it.
async fn upstream(answer: Vec<u8>, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = vec![0; 4096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(&answer).await;
        if reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    address
}

fn get() -> UpstreamRequest {
    UpstreamRequest {
        method: Name::new("GET"),
        host: Some(Name::new("x.example")),
        path: Name::new("/a/b?c=d"),
        headers: vec![Header::new("request-id", "7")],
        body: Bytes::new(),
    }
}

async fn exchange(answer: &[u8], reset: bool) -> Result<(u16, Vec<u8>), ExchangeError> {
    let address = upstream(answer.to_vec(), reset).await;
    let mut answer = send(connect(address).await?, &get(), |_| true).await?;
    let mut body = Vec::new();
    while let Some(bytes) = answer.next().await? {
        body.extend_from_slice(&bytes);
    }
    Ok((answer.head.status, body))
}

#[actix_rt::test]
async fn complete_and_broken_answers_are_distinguished() {
    let complete: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nbody",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
    ];
    for answer in complete {
        let (status, body) = exchange(answer, false).await.expect("a complete answer");
        assert_eq!((status, &body[..]), (200, &b"body"[..]));
    }
    let broken: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        b"HTTP/1.1 200",
        b"",
    ];
    for answer in broken {
        let e = exchange(answer, false).await.expect_err("a broken answer");
        assert!(matches!(e, ExchangeError::Broken(_)), "{e}");
        assert!(!e.is_not_sent());
    }
}

#[actix_rt::test]
async fn an_answer_without_a_length_that_is_reset_is_broken() {
    let e = exchange(b"HTTP/1.1 200 OK\r\n\r\nbody", true).await;
    let e = e.expect_err("a broken answer");
    assert!(matches!(e, ExchangeError::Broken(_)), "{e}");
}

#[actix_rt::test]
async fn bytes_that_are_not_http_are_an_error() {
    let e = exchange(b"\x00\x01nonsense\r\n\r\n", false).await;
    assert!(matches!(e, Err(ExchangeError::InvalidAnswer(_))));
}

// Issue 31: informational heads without end held a request until its timeout.
#[actix_rt::test]
async fn heads_are_limited_together_with_the_informational_ones_before_them() {
    let informational = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    let answer = informational.repeat(2 * MAX_HEAD_BYTES / informational.len())
        + "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    let e = exchange(answer.as_bytes(), false).await;
    assert!(matches!(e, Err(ExchangeError::HeadTooLarge)), "{e:?}");
}

// Issue 31: lines around chunks without end held a request until its timeout.
#[actix_rt::test]
async fn lines_around_chunks_are_limited() {
    let long = |text: &str| text.repeat(2 * MAX_FRAMING_BYTES / text.len());
    let bodies = [
        format!("{}4\r\nbody\r\n0\r\n\r\n", long("0")),
        format!("4{}\r\nbody\r\n0\r\n\r\n", long(" ")),
        format!("4;{}\r\nbody\r\n0\r\n\r\n", long("a")),
        format!("4\r\nbody\r\n0\r\n{}\r\n", long("x: y\r\n")),
    ];
    for body in bodies {
        let answer = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{body}");
        let e = exchange(answer.as_bytes(), false).await;
        assert!(matches!(e, Err(ExchangeError::FramingTooLarge)), "{e:?}");
    }
}

#[actix_rt::test]
async fn many_small_chunks_are_within_the_limits() {
    let chunk = "1;extension\r\na\r\n";
    let count = 2 * MAX_FRAMING_BYTES / chunk.len();
    let body = chunk.repeat(count) + "0\r\n\r\n";
    let answer = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{body}");
    let (_, body) = exchange(answer.as_bytes(), false).await.expect("an answer");
    assert_eq!(body.len(), count);
}

#[actix_rt::test]
async fn a_refused_connection_counts_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let e = connect(address).await.expect_err("a refused connection");
    assert!(e.is_not_sent());
}

#[actix_rt::test]
async fn an_early_answer_is_read_before_the_request_body_is_sent() {
    let address = upstream(
        b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n".to_vec(),
        false,
    )
    .await;
    let upstream_request = UpstreamRequest {
        method: Name::new("POST"),
        body: vec![0; 32 << 20].into(),
        ..get()
    };
    let answer = send(
        connect(address).await.expect("a connection"),
        &upstream_request,
        |_| true,
    )
    .await;
    match answer {
        Ok(answer) => assert_eq!(answer.head.status, 503),
        // Writing the rest of the body can fail before the answer is read.
        Err(e) => assert!(matches!(e, ExchangeError::Broken(_)), "{e}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Reading any bytes from an upstream terminates without a panic.
    #[test]
    fn reading_any_bytes_terminates(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut answer = b"HTTP/1.1 200 OK\r\n".to_vec();
        answer.extend(bytes);
        let _ = actix_rt::System::new().block_on(exchange(&answer, false));
    }
}

/// A length that does not fit into the buffers of a connection.
const LONG_BODY: usize = 16 << 20;

// An upstream that answered while it was reading got the rest of the body from its
// beginning.
#[actix_rt::test]
async fn request_that_is_answered_while_it_is_sent_arrives_unchanged() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let received = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = vec![0; 1024];
        stream.read_exact(&mut received).await.expect("a request");
        // Some of the body is on its way now, and the sender waits for room.
        for part in ["HTTP/1.1 ", "200 OK\r\n", "content-length: 0\r\n"] {
            stream.write_all(part.as_bytes()).await.expect("it is read");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let head_end = received.windows(4).position(|w| w == b"\r\n\r\n");
        let length = head_end.expect("a whole head") + 4 + LONG_BODY;
        let mut rest = vec![0; length - received.len()];
        stream.read_exact(&mut rest).await.expect("a body");
        received.extend(rest);
        stream.write_all(b"\r\n").await.expect("it is read");
        received.split_off(length - LONG_BODY)
    });
    let body: Vec<u8> = (0..LONG_BODY).map(|i| (i % 251) as u8).collect();
    let request = UpstreamRequest {
        method: Name::new("POST"),
        body: Bytes::from(body.clone()),
        ..get()
    };
    let stream = connect(address).await.expect("a connection");
    let answer = send(stream, &request, |_| true).await.expect("an answer");
    assert_eq!(answer.head.status, 200);
    assert!(received.await.expect("the upstream ends") == body);
}
