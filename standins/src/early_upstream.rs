//! An upstream that answers byte for byte before it has read the request, and ends the connection
//! in a given way.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::raw_upstream::header;

/// The time between the last byte and the end of the connection.
const END_DELAY: Duration = Duration::from_millis(30);

/// The time between the parts of an answer whose upstream reads on.
const PART_DELAY: Duration = Duration::from_millis(50);

/// How an upstream ends a connection on which it has not read the whole request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlyEnd {
    /// It resets the connection.
    Reset,
    /// It closes the connection with unread bytes, as a process that dies.
    Close,
    /// It ends its side of the connection, and closes it with unread bytes later.
    ShutDown,
    /// It reads the whole request and ends the connection in order.
    ReadOn,
}

/// Starts an upstream that reads the head of each request and answers with `head`, its status line
/// and complete headers, and `body`. Half of the body follows the rest of the request if it reads
/// that. It returns the `request-id` of the request. Requests for reports get an empty one.
pub async fn start_early_upstream(head: &str, body: &[u8], end: EarlyEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("it has an address");
    let head = Rc::<str>::from(head);
    let body = Rc::<[u8]>::from(body);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer(stream, Rc::clone(&head), Rc::clone(&body), end));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, head: Rc<str>, body: Rc<[u8]>, end: EarlyEnd) {
    let (request, left) = read_request_head(&mut stream).await;
    if request.starts_with("get /report") {
        let report = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        // The caller may have closed the connection.
        let _ = stream.write_all(report.as_bytes()).await;
        return;
    }
    let id = header(&request, "request-id").unwrap_or_default();
    let (status_line, headers) = head.split_once("\r\n").unwrap_or((&head, ""));
    let head = format!("{status_line}\r\nrequest-id: {id}\r\nserver-stamp: raw\r\n{headers}\r\n");
    let early = match end {
        EarlyEnd::ReadOn => &body[..body.len() / 2],
        EarlyEnd::Reset | EarlyEnd::Close | EarlyEnd::ShutDown => &body,
    };
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(early).await;
    match end {
        EarlyEnd::Reset => {
            actix_rt::time::sleep(END_DELAY).await;
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        EarlyEnd::Close => actix_rt::time::sleep(END_DELAY).await,
        EarlyEnd::ShutDown => {
            actix_rt::time::sleep(END_DELAY).await;
            let _ = stream.shutdown().await;
            actix_rt::time::sleep(END_DELAY).await;
        }
        EarlyEnd::ReadOn => {
            actix_rt::time::sleep(PART_DELAY).await;
            if read_request_rest(&mut stream, left).await {
                let _ = stream.write_all(&body[early.len()..]).await;
            }
        }
    }
}

/// Reads so many bytes of a request's body. Returns whether all came.
pub async fn read_request_rest(stream: &mut TcpStream, mut left: usize) -> bool {
    let mut buf = vec![0; 16 << 10];
    while left > 0 {
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => left = left.saturating_sub(read),
            Ok(_) | Err(_) => return false,
        }
    }
    true
}

/// Reads the head of a request. Returns it in lower case, with the number of bytes of the body that
/// have not been read.
pub async fn read_request_head(stream: &mut TcpStream) -> (String, usize) {
    let mut request = Vec::new();
    let mut buf = [0; 512];
    loop {
        let text = String::from_utf8_lossy(&request).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|v| v.parse::<usize>().ok());
            return (
                head.to_owned(),
                length.unwrap_or(0).saturating_sub(body.len()),
            );
        }
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => request.extend_from_slice(&buf[..read]),
            Ok(_) | Err(_) => return (text, 0),
        }
    }
}
