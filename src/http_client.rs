//! The HTTP client of all outgoing calls.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;

use crate::strict_connector::StrictConnector;

/// The time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that sends each request once: it follows no redirects, adds no
/// headers of its own and sets no limit on the time of an answer. An answer
/// has to be framed by its length or by chunks; one that ends before is an
/// error.
pub fn new_client() -> Client {
    let connector = Connector::new()
        .connector(StrictConnector::default())
        .timeout(CONNECT_TIMEOUT)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Whether a failed request surely did not reach the other side.
pub fn was_not_sent(e: &SendRequestError) -> bool {
    match e {
        // The client also reports this when a connection ends before the
        // head of the answer, long after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
