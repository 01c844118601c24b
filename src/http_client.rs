//! The HTTP client for outgoing requests.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;

use crate::reply_timeout::Transfer;
use crate::strict_connector::StrictConnector;

/// The usual maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Creates a client that sends each request exactly as given: it follows no
/// redirects, adds no headers and sets no timeout for the answer. An answer needs
/// a content length or chunked encoding; a truncated answer is an error.
pub fn new_client() -> Client {
    new_client_with_timeout(CONNECT_TIMEOUT)
}

/// Creates the same client with a maximum time to open a connection.
pub fn new_client_with_timeout(connect_timeout: Duration) -> Client {
    let connector = Connector::new()
        .connector(StrictConnector::default())
        .timeout(connect_timeout)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Returns whether a failed request is certain not to have reached the server.
pub fn was_not_sent(e: &SendRequestError) -> bool {
    match e {
        // The client also reports this error if the connection ends after the
        // request was sent but before the head of the answer.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}

/// Reads the body of a reply and records its bytes in `transfer` as they arrive.
///
/// # Errors
///
/// Fails if the body is not complete, or longer than `max_bytes`.
pub async fn read_body<S>(
    body: &mut S,
    transfer: &Transfer<'_>,
    max_bytes: usize,
) -> Result<Bytes, PayloadError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    transfer.record(0);
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk?;
        transfer.record(chunk.len());
        if transfer.received() > max_bytes {
            return Err(PayloadError::Overflow);
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
