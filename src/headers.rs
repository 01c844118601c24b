//! HTTP headers, and the removal of hop-by-hop headers before forwarding.

use std::collections::BTreeSet;

use actix_http::header::HeaderMap;
use bytes::Bytes;

use crate::name::Name;

/// HTTP header with a value of any bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name, in lower case.
    pub name: Name,
    /// Value, not necessarily valid text.
    pub value: Bytes,
}

impl Header {
    /// Creates a header with a text value.
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: Name::new(name),
            value: Bytes::copy_from_slice(value.as_bytes()),
        }
    }
}

/// Headers that are never forwarded: hop-by-hop headers (RFC 9110, section
/// 7.6.1), and those that the HTTP library sets.
const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end headers of `map`, without those in `excluded`, which
/// are in lower case.
pub fn end_to_end(map: &HeaderMap, excluded: &[&str]) -> Vec<Header> {
    let connection_headers: BTreeSet<String> = map
        .get_all("connection")
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    map.iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !HOP_BY_HOP.contains(&name)
                && !excluded.contains(&name)
                && !connection_headers.contains(name)
        })
        .map(|(name, value)| Header {
            name: Name::new(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
