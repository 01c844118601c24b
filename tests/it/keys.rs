//! Requests with an `Idempotency-Key`: repeats, several entries and faults.

use std::time::Duration;

use almondramp_standins::Platform;
use almondramp_standins::PlatformFaults;
use serde_json::Value;
use serde_json::json;

use crate::support::Env;
use crate::support::KEY;
use crate::support::Reply;
use crate::support::read_reply;
use crate::support::settings;
use crate::support::spec;

async fn save(env: &Env, entry: usize, key: &str, body: &Value) -> Reply {
    let url = format!("http://{}/portal/logs", env.site.entry_addresses[entry]);
    let sent = env.client.post(url).bearer_auth(KEY);
    let sent = sent.insert_header(("idempotency-key", format!("\"{key}\"")));
    read_reply(sent.send_json(body).await.expect("an answer arrives")).await
}

async fn keyed_env(platform: &Platform, entries: &[&str]) -> Env {
    let spec = spec(settings("")).with_entries(entries);
    Env::start(&spec.with_platform(platform)).await
}

#[actix_rt::test]
async fn a_repeated_key_returns_the_saved_answer_from_any_entry() {
    let platform = Platform::start();
    let env = keyed_env(&platform, &["a", "b"]).await;
    let body = json!({ "id": "log-1" });
    let first = save(&env, 0, "k1", &body).await;
    assert_eq!(first.status, 200, "{first:?}");
    env.wait_until(|| async { save(&env, 1, "k1", &body).await.status == 200 })
        .await;
    let repeat = save(&env, 1, "k1", &body).await;
    assert_eq!(repeat.body, first.body);
    assert_eq!(env.service_runs("log-1"), 1);
}

#[actix_rt::test]
async fn concurrent_requests_with_one_key_run_once_across_entries() {
    let platform = Platform::start();
    let env = keyed_env(&platform, &["a", "b"]).await;
    let body = json!({ "id": "log-2" });
    for service in env.site.services.values() {
        service.set_delay(Duration::from_millis(100));
    }
    let sends = (0..8).map(|i| save(&env, i % 2, "k2", &body));
    let replies = futures::future::join_all(sends).await;
    let served = replies.iter().filter(|r| r.status == 200).count();
    assert_eq!(served, 1, "{replies:?}");
    let rest = replies.iter().filter(|r| r.status != 200);
    assert!(rest.into_iter().all(|r| r.code() == "key-running"));
    assert_eq!(env.service_runs("log-2"), 1);
}

#[actix_rt::test]
async fn a_key_reused_with_another_body_is_refused() {
    let platform = Platform::start();
    let env = keyed_env(&platform, &["a"]).await;
    save(&env, 0, "k3", &json!({ "id": "log-3" })).await;
    let other = save(&env, 0, "k3", &json!({ "id": "other" })).await;
    assert_eq!((other.status, other.code().as_str()), (422, "key-mismatch"));
    assert_eq!(env.service_runs("other"), 0);
}

#[actix_rt::test]
async fn keyed_requests_are_refused_as_not_run_when_the_store_is_down() {
    let platform = Platform::start();
    let env = keyed_env(&platform, &["a"]).await;
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    platform.set_faults(outage);
    let body = json!({ "id": "log-4" });
    let reply = save(&env, 0, "k4", &body).await;
    assert_eq!(
        (reply.status, reply.code().as_str()),
        (503, "claims-unavailable")
    );
    assert_eq!(reply.run(), "not-run");
    assert_eq!(env.service_runs("log-4"), 0);
    let unkeyed = env.post("/portal/logs", &json!({ "id": "log-5" })).await;
    assert_eq!(unkeyed.status, 200);
    platform.set_faults(PlatformFaults::default());
    env.wait_until(|| async { save(&env, 0, "k4", &body).await.status == 200 })
        .await;
    assert_eq!(env.service_runs("log-4"), 1);
}

#[actix_rt::test]
async fn a_request_runs_once_when_the_reply_to_its_claim_is_lost() {
    let platform = Platform::start();
    let env = keyed_env(&platform, &["a"]).await;
    platform.set_faults(PlatformFaults {
        drop_replies: 2,
        ..PlatformFaults::default()
    });
    let reply = save(&env, 0, "k6", &json!({ "id": "log-6" })).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(env.service_runs("log-6"), 1);
}

#[actix_rt::test]
async fn a_keyed_request_is_not_rerun_when_its_answer_was_lost() {
    let platform = Platform::start();
    let env = keyed_env(&platform, &["a"]).await;
    env.site.services.values().for_each(|s| s.drop_replies(1));
    let body = json!({ "id": "log-7" });
    let first = save(&env, 0, "k7", &body).await;
    assert_eq!((first.status, first.run().as_str()), (502, "unknown"));
    env.wait_until(|| async { save(&env, 0, "k7", &body).await.code() == "unknown-outcome" })
        .await;
    assert_eq!(env.service_runs("log-7"), 1);
}

#[actix_rt::test]
async fn a_saved_answer_is_returned_after_its_entry_is_killed() {
    let platform = Platform::start();
    let mut env = keyed_env(&platform, &["a", "b"]).await;
    let body = json!({ "id": "log-8" });
    save(&env, 0, "k8", &body).await;
    env.wait_until(|| async { save(&env, 1, "k8", &body).await.status == 200 })
        .await;
    env.site.entries[0].kill();
    let repeat = save(&env, 1, "k8", &body).await;
    assert_eq!(repeat.status, 200);
    assert_eq!(env.service_runs("log-8"), 1);
}
