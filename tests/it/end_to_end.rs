//! Requests through separate processes: caller, entry, agent, upstream.

use serde_json::json;

use crate::support::Env;
use crate::support::expected_text;
use crate::support::streamed_text;

#[actix_rt::test]
async fn a_whole_answer_comes_back() {
    let env = Env::new().await;
    let reply = env.chat("u1", false, 5).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let text = &reply.json()["choices"][0]["message"]["content"];
    assert_eq!(text, &expected_text("u1", 5));
}

#[actix_rt::test]
async fn a_streamed_answer_comes_back_whole() {
    let env = Env::new().await;
    let reply = env.chat("u2", true, 40).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(streamed_text(&reply.body), expected_text("u2", 40));
    assert!(reply.body.trim_end().ends_with("data: [DONE]"));
}

#[actix_rt::test]
async fn a_log_save_runs_once() {
    let env = Env::new().await;
    let reply = env.post("/portal/logs", &json!({ "id": "log-1" })).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.json()["path"], "/portal/logs");
    assert_eq!(env.service_runs("log-1"), 1);
}
