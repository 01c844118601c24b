//! The HTTP request that is sent to an upstream.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::headers::Header;
use crate::ids::id_of_digest;
use crate::name::Name;

#[cfg(test)]
mod tests;

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

/// Digest of what an upstream gets of a request, by which a repeated one is recognised at
/// all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestDigest(pub u64);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl UpstreamRequest {
    /// Returns the digest of the request of an organisation. It covers method, host, path,
    /// query and body, but no headers: those of a repeated request can differ.
    pub fn digest(&self, organisation: &Name) -> RequestDigest {
        let host = self.host.as_deref().unwrap_or_default();
        let fields = [organisation.as_str(), &self.method, host, &self.path];
        let mut sha = Sha256::new();
        for field in fields {
            // The length keeps fields apart.
            sha.update(field.len().to_le_bytes());
            sha.update(field);
        }
        sha.update(&self.body);
        RequestDigest(id_of_digest(&sha.finalize()))
    }
}
