//! The HTTP request that is sent to an upstream.

use bytes::Bytes;

use crate::headers::Header;
use crate::name::Name;

/// HTTP request that is sent to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: Name,
    /// Host that the caller specified.
    pub host: Option<Name>,
    /// Path and query.
    pub path: Name,
    /// End-to-end headers for the upstream.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}
