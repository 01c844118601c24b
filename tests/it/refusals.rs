//! Refusals: the error code and whether the request ran.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::ANCHOR_KEY;
use crate::support::Env;
use crate::support::chat_body;
use crate::support::settings;

#[actix_rt::test]
async fn invalid_requests_are_refused_with_a_code_and_not_run() {
    let env = Env::new().await;
    let chat = "/v1/chat/completions";
    let good = chat_body("u", false, 1, "x");
    let cases: [(&str, &str, &str, Value, u16); 6] = [
        ("unknown-key", "wrong", chat, good.clone(), 401),
        ("no-route", ANCHOR_KEY, "/nowhere", good.clone(), 404),
        ("no-route", ANCHOR_KEY, "/portalx", good.clone(), 404),
        (
            "unknown-model",
            ANCHOR_KEY,
            chat,
            json!({ "model": "none", "prompt": "x" }),
            404,
        ),
        (
            "invalid-body",
            ANCHOR_KEY,
            chat,
            json!({ "model": "m" }),
            400,
        ),
        ("invalid-body", ANCHOR_KEY, chat, json!([1, 2]), 400),
    ];
    for (code, key, path, body, status) in cases {
        let reply = env.post_as(0, key, path, &body).await;
        assert_eq!(
            (reply.status, reply.code().as_str()),
            (status, code),
            "{reply:?}"
        );
        assert_eq!(reply.run(), "not-run");
    }
    assert_eq!(env.engine_runs("u"), 0);
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_refused() {
    let env = Env::with_settings(settings("limits.body = \"1KiB\"")).await;
    let body = chat_body("u", false, 1, &"x".repeat(2000));
    let reply = env.post("/v1/chat/completions", &body).await;
    assert_eq!(
        (reply.status, reply.code().as_str()),
        (413, "body-too-large")
    );
}

#[actix_rt::test]
async fn a_request_that_would_miss_its_deadline_is_refused_with_retry_after() {
    let more = "tiers.urgent.deadline = \"200ms\"\nupstreams.portal.slots = 1";
    let env = Env::with_settings(settings(more)).await;
    for service in env.site.services.values() {
        service.set_delay(Duration::from_millis(600));
    }
    let save = |id: &'static str| {
        let env = &env;
        async move { env.post("/portal/logs", &json!({ "id": id })).await }
    };
    let (first, second) = futures::join!(save("first"), save("second"));
    let refused = if first.status == 200 { second } else { first };
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (503, "late"),
        "{refused:?}"
    );
    assert_eq!(refused.run(), "not-run");
    assert!(refused.retry_after.is_some());
    let runs = env.service_runs("first") + env.service_runs("second");
    assert_eq!(runs, 1);
}

#[actix_rt::test]
async fn an_entry_without_a_reachable_agent_schedules_locally() {
    let mut env = Env::new().await;
    env.site.agents.remove("portal");
    env.wait_for_links(0, 2).await;
    let reply = env.post("/portal/logs", &json!({ "id": "x" })).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(env.service_runs("x"), 1);
}

#[actix_rt::test]
async fn a_request_without_a_reachable_upstream_is_refused_as_unavailable() {
    let mut env = Env::new().await;
    env.site.services.clear();
    let reply = env.post("/portal/logs", &json!({ "id": "x" })).await;
    assert_eq!((reply.status, reply.code().as_str()), (503, "unavailable"));
    assert_eq!(reply.run(), "not-run");
    assert!(reply.retry_after.is_some());
}

#[actix_rt::test]
async fn only_the_organisation_over_its_concurrency_limit_is_refused() {
    let env = Env::with_settings(settings("organisations.anchor.concurrency = 2")).await;
    let slow =
        |service: &almondramp_standins::Service| service.set_delay(Duration::from_millis(300));
    env.site.services.values().for_each(slow);
    let ids = ["a", "b", "c", "d"].map(|id| json!({ "id": id }));
    let sent = ids
        .iter()
        .map(|body| env.post_as(0, ANCHOR_KEY, "/portal/logs", body));
    let small = json!({ "id": "small" });
    let other = env.post("/portal/logs", &small);
    let (anchor, other) = futures::join!(futures::future::join_all(sent), other);
    let served = anchor.iter().filter(|r| r.status == 200).count();
    let limited = anchor
        .iter()
        .filter(|r| (r.status, r.code().as_str()) == (429, "limited"));
    assert_eq!(
        (served, limited.count(), other.status),
        (2, 2, 200),
        "{anchor:?}"
    );
}

#[actix_rt::test]
async fn a_connection_with_an_incomplete_request_head_is_closed() {
    let env = Env::with_settings(settings("limits.caller_timeout = \"300ms\"")).await;
    let mut stream = TcpStream::connect(env.entry_address())
        .await
        .expect("it connects");
    let half = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    stream.write_all(half).await.expect("it is sent");
    let mut answer = Vec::new();
    // Returns only after the entry has closed the connection.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}
