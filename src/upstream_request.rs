//! A request as its upstream receives it.

use bytes::Bytes;

use crate::headers::Header;
use crate::name::Name;

/// A request as its upstream receives it.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The HTTP method.
    pub method: Name,
    /// The host that the caller named.
    pub host: Option<Name>,
    /// The path and query.
    pub path: Name,
    /// Headers for the upstream, those that concern one connection left out.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}
