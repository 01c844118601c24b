//! Requests during failures and stops of processes and upstreams.

use crate::support::Env;
use crate::support::expected_text;
use crate::support::streamed_text;

#[actix_rt::test]
async fn an_answer_aborted_by_its_engine_is_not_reported_as_complete() {
    let env = Env::new().await;
    let reply = async { env.chat("cut", true, 2000).await };
    let fail = async {
        env.wait_until(|| async { env.engine_runs("cut") == 1 })
            .await;
        env.site.engines.values().for_each(|e| e.set_failing(true));
    };
    let (reply, ()) = futures::join!(reply, fail);
    assert!(!reply.complete || reply.status != 200, "{reply:?}");
    assert_eq!(env.engine_runs("cut"), 1);
}

#[actix_rt::test]
async fn an_answer_completes_after_its_agent_is_killed() {
    let mut env = Env::new().await;
    let body = crate::support::chat_body("killed", false, 400, "x");
    let url = format!("http://{}/v1/chat/completions", env.entry_address());
    let sent = env.client.post(url).bearer_auth(crate::support::KEY);
    let reply = actix_rt::spawn(async move {
        let res = sent.send_json(&body).await.expect("an answer arrives");
        crate::support::read_reply(res).await
    });
    env.wait_until(|| async { env.engine_runs("killed") == 1 })
        .await;
    env.site.agents.values_mut().for_each(|a| a.kill());
    let reply = reply.await.expect("the caller ends");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(reply.complete, "{reply:?}");
    assert_eq!(env.engine_runs("killed"), 1);
}

#[actix_rt::test]
async fn an_entry_finishes_running_answers_after_sigterm() {
    let mut env = Env::new().await;
    let reply = env.chat("stopping", true, 200);
    let stop = async {
        env.wait_until(|| async { env.engine_runs("stopping") == 1 })
            .await;
        env.site.entries[0].terminate();
    };
    let (reply, ()) = futures::join!(reply, stop);
    assert!(reply.complete, "{reply:?}");
    assert_eq!(streamed_text(&reply.body), expected_text("stopping", 200));
    assert!(env.site.entries[0].wait().success());
}

#[actix_rt::test]
async fn an_agent_finishes_running_answers_after_sigterm() {
    let mut env = Env::new().await;
    let reply = env.chat("leaving", true, 200);
    let stop = async {
        env.wait_until(|| async { env.engine_runs("leaving") == 1 })
            .await;
        env.site.agents.values().for_each(|a| a.terminate());
    };
    let (reply, ()) = futures::join!(reply, stop);
    assert!(reply.complete, "{reply:?}");
    assert_eq!(streamed_text(&reply.body), expected_text("leaving", 200));
    for agent in env.site.agents.values_mut() {
        assert!(agent.wait().success());
    }
}

#[actix_rt::test]
async fn a_request_is_cancelled_when_its_caller_disconnects() {
    let env = Env::new().await;
    let body = crate::support::chat_body("gone", true, 100_000, "x");
    let url = format!("http://{}/v1/chat/completions", env.entry_address());
    let sent = env.client.post(url).bearer_auth(crate::support::KEY);
    let res = sent.send_json(&body).await.expect("an answer begins");
    drop(res);
    env.wait_until(|| async {
        let ledgers = env.site.engines.values().map(|e| e.stats());
        ledgers.map(|l| l.cancelled).sum::<u64>() == 1
    })
    .await;
}
