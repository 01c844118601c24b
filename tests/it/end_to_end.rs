//! Requests through separate processes: caller, entry, agent, upstream.

use almondramp_standins::EngineConfig;
use almondramp_standins::metrics;
use serde_json::json;

use crate::support::Env;
use crate::support::expected_text;
use crate::support::settings;
use crate::support::spec;
use crate::support::streamed_text;

#[actix_rt::test]
async fn an_unstreamed_answer_is_returned_in_full() {
    let env = Env::new().await;
    let reply = env.chat("u1", false, 5).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let text = &reply.json()["choices"][0]["message"]["content"];
    assert_eq!(text, &expected_text("u1", 5));
}

#[actix_rt::test]
async fn a_streamed_answer_is_returned_in_full() {
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

#[actix_rt::test]
async fn the_load_reported_by_an_engine_appears_in_agent_metrics() {
    let engine = EngineConfig {
        load_lag: std::time::Duration::ZERO,
        ..EngineConfig::default()
    };
    let env = Env::start(&spec(settings("")).with_engine("engine-a", engine)).await;
    let holders: Vec<_> = (0..6).map(|i| format!("busy-{i}")).collect();
    let busy = holders.iter().map(|user| env.chat(user, true, 2000));
    let shown = async {
        let admin = env.site.agent_admins["engine-a"];
        env.wait_until(|| async {
            let metrics = metrics(&env.client, admin).await;
            let reported = metrics
                .lines()
                .find(|l| l.starts_with("almondramp_agent_reported_requests "));
            reported.is_some_and(|l| !l.ends_with(" 0"))
        })
        .await;
    };
    futures::join!(futures::future::join_all(busy), shown);
}
