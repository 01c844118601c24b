//! Tests of the digest by which repeated requests are recognised.

use super::*;
use crate::headers::Header;

fn request() -> UpstreamRequest {
    UpstreamRequest {
        method: Name::new("POST"),
        host: Some(Name::new("a.example")),
        path: Name::new("/shelf/1?part=2"),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
    }
}

fn digest(request: &UpstreamRequest) -> RequestDigest {
    request.digest(&Name::new("small"))
}

#[test]
fn repeated_request_has_the_same_digest_whatever_its_headers() {
    let repeated = UpstreamRequest {
        headers: vec![Header::new("request-id", "2")],
        ..request()
    };
    assert_eq!(digest(&request()), digest(&repeated));
}

#[test]
fn other_requests_have_other_digests() {
    let first = digest(&request());
    let others = [
        UpstreamRequest {
            method: Name::new("PUT"),
            ..request()
        },
        UpstreamRequest {
            host: None,
            ..request()
        },
        UpstreamRequest {
            path: Name::new("/shelf/1?part=3"),
            ..request()
        },
        UpstreamRequest {
            path: Name::new("/shelf/1?part=2b"),
            body: Bytes::from_static(b"ody"),
            ..request()
        },
    ];
    for other in others {
        assert_ne!(digest(&other), first, "{other:?}");
    }
    assert_ne!(request().digest(&Name::new("large")), first);
}
