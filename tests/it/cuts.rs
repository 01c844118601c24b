//! Closed, refused and frozen connections between entries and agents.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::Env;
use crate::support::expected_text;
use crate::support::settings;
use crate::support::spec;
use crate::support::streamed_text;

async fn relayed_env() -> Env {
    Env::start(&spec(settings("")).with_relays()).await
}

#[actix_rt::test]
async fn a_stream_completes_when_connections_to_agents_close() {
    let env = relayed_env().await;
    let reply = env.chat("untouched", true, 300);
    let close = async {
        for _ in 0..3 {
            env.wait_until(|| async { env.engine_runs("untouched") == 1 })
                .await;
            actix_rt::time::sleep(Duration::from_millis(60)).await;
            env.site.relays.values().for_each(|r| r.close_connections());
        }
    };
    let (reply, ()) = futures::join!(reply, close);
    assert!(reply.complete, "{reply:?}");
    assert_eq!(streamed_text(&reply.body), expected_text("untouched", 300));
    assert_eq!(env.engine_runs("untouched"), 1);
}

#[actix_rt::test]
async fn a_request_is_served_when_all_agents_are_unreachable() {
    let env = relayed_env().await;
    env.site.relays.values().for_each(|r| r.set_refusing(true));
    env.site.relays.values().for_each(|r| r.close_connections());
    env.wait_for_links(0, 0).await;
    let reply = env.chat("alone", true, 30).await;
    assert!(reply.complete, "{reply:?}");
    assert_eq!(streamed_text(&reply.body), expected_text("alone", 30));
    assert_eq!(env.engine_runs("alone"), 1);
}

#[actix_rt::test]
async fn a_frozen_connection_is_detected_and_its_request_runs_at_most_once() {
    let env = relayed_env().await;
    env.site.relays.values().for_each(|r| r.set_frozen(true));
    let reply = env.chat("frozen", true, 5);
    let thaw = async {
        env.wait_for_links(0, 0).await;
        env.site.relays.values().for_each(|r| r.set_frozen(false));
    };
    let (reply, ()) = futures::join!(reply, thaw);
    match reply.status {
        200 => assert_eq!(streamed_text(&reply.body), expected_text("frozen", 5)),
        _ => assert!(["unknown", "not-run"].contains(&reply.run().as_str())),
    }
    let runs = env.engine_runs("frozen");
    assert!(runs <= 1);
    assert!(reply.run() != "not-run" || runs == 0, "{reply:?}");
}

#[actix_rt::test]
async fn a_resumed_agent_does_not_run_a_refused_request() {
    let env = Env::new().await;
    env.site.agents.values().for_each(|a| a.pause());
    let reply = env.chat("paused", false, 5).await;
    env.site.agents.values().for_each(|a| a.resume());
    env.wait_for_links(0, env.site.agents.len()).await;
    let again = env.chat("again", false, 5).await;
    assert_eq!(again.status, 200, "{again:?}");
    let runs = env.engine_runs("paused");
    assert!(
        reply.run() != "not-run" || runs == 0,
        "{reply:?}, {runs} runs"
    );
}

#[actix_rt::test]
async fn a_stream_completes_when_connections_close_at_random_times() {
    let mut rng = StdRng::seed_from_u64(7);
    for round in 0..6 {
        let env = relayed_env().await;
        let user = format!("again-{round}");
        let reply = env.chat(&user, true, 300);
        let close = async {
            for _ in 0..12 {
                let pause = Duration::from_millis(rng.random_range(1..40));
                actix_rt::time::sleep(pause).await;
                env.site.relays.values().for_each(|r| r.close_connections());
            }
        };
        let (reply, ()) = futures::join!(reply, close);
        assert!(reply.complete, "round {round}: {reply:?}");
        assert_eq!(streamed_text(&reply.body), expected_text(&user, 300));
        assert_eq!(env.engine_runs(&user), 1);
    }
}
