//! Connections between entries and agents that are cut or frozen.

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
async fn an_answer_goes_on_after_a_cut_without_a_gap_or_a_second_run() {
    let env = relayed_env().await;
    let reply = env.chat("resumed", true, 300);
    let cut = async {
        for _ in 0..3 {
            env.wait_until(|| async { env.engine_runs("resumed") == 1 })
                .await;
            actix_rt::time::sleep(Duration::from_millis(60)).await;
            env.site.relays.values().for_each(|r| r.cut());
        }
    };
    let (reply, ()) = futures::join!(reply, cut);
    assert!(reply.whole, "{reply:?}");
    assert_eq!(streamed_text(&reply.body), expected_text("resumed", 300));
    assert_eq!(env.engine_runs("resumed"), 1);
}

#[actix_rt::test]
async fn an_answer_that_stays_cut_off_is_not_ended_as_whole() {
    let env = Env::start(&spec(settings("limits.resume = \"300ms\"")).with_relays()).await;
    let reply = env.chat("lost", true, 600);
    let cut = async {
        env.wait_until(|| async { env.engine_runs("lost") == 1 })
            .await;
        env.site.relays.values().for_each(|r| r.set_refusing(true));
    };
    let (reply, ()) = futures::join!(reply, cut);
    assert!(!reply.whole || reply.run() == "unknown", "{reply:?}");
    assert_eq!(env.engine_runs("lost"), 1);
}

#[actix_rt::test]
async fn a_frozen_connection_is_noticed_and_the_agent_is_not_asked_twice() {
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
async fn a_paused_agent_that_wakes_runs_nothing_that_was_refused() {
    let env = Env::new().await;
    env.site.agents.values().for_each(|a| a.pause());
    let reply = env.chat("paused", false, 5).await;
    assert_ne!(reply.status, 200);
    env.site.agents.values().for_each(|a| a.wake());
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
async fn an_answer_survives_cuts_while_it_is_being_resumed() {
    let mut rng = StdRng::seed_from_u64(7);
    for round in 0..6 {
        let env = relayed_env().await;
        let user = format!("again-{round}");
        let reply = env.chat(&user, true, 300);
        let cut = async {
            env.wait_until(|| async { env.engine_runs(&user) == 1 })
                .await;
            for _ in 0..12 {
                let pause = Duration::from_millis(rng.random_range(1..40));
                actix_rt::time::sleep(pause).await;
                env.site.relays.values().for_each(|r| r.cut());
            }
        };
        let (reply, ()) = futures::join!(reply, cut);
        assert!(reply.whole, "round {round}: {reply:?}");
        assert_eq!(streamed_text(&reply.body), expected_text(&user, 300));
        assert_eq!(env.engine_runs(&user), 1);
    }
}
