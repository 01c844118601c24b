//! Headers that concern one connection only and are not passed on.

use std::collections::BTreeSet;

use actix_http::header::HeaderMap;
use bytes::Bytes;

use crate::name::Name;

/// An HTTP header as bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The name, in lower case.
    pub name: Name,
    /// The value.
    pub value: Bytes,
}

impl Header {
    /// A header with a value of text.
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: Name::new(name),
            value: Bytes::copy_from_slice(value.as_bytes()),
        }
    }
}

/// Headers that are never passed on (RFC 9110, section 7.6.1), and those that
/// the library sets by itself.
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

/// The headers of `map` that are passed on, without those in `dropped`.
pub fn end_to_end(map: &HeaderMap, dropped: &[&str]) -> Vec<Header> {
    let named: BTreeSet<String> = map
        .get_all("connection")
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    map.iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !HOP_BY_HOP.contains(&name) && !dropped.contains(&name) && !named.contains(name)
        })
        .map(|(name, value)| Header {
            name: Name::new(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
