//! Leaving hosts, propagation of settings, and load orders under leases.

use std::fs;
use std::process::Command;

use almondramp::host_list::Host;
use almondramp::host_list::HostState;
use almondramp::name::Name;
use almondramp_standins::Platform;

use crate::support::Env;
use crate::support::expected_text;
use crate::support::settings;
use crate::support::spec;
use crate::support::streamed_text;

fn host(name: &str, state: HostState) -> Host {
    Host {
        name: Name::new(name),
        zone: Name::new("a"),
        state,
    }
}

#[actix_rt::test]
async fn an_upstream_on_a_leaving_host_finishes_its_work_and_gets_no_new_requests() {
    let platform = Platform::start();
    let env = Env::start(&spec(settings("")).with_platform(&platform)).await;
    let reply = env.chat("running", true, 1500);
    let leave = async {
        env.wait_until(|| async { env.engine_runs("running") == 1 })
            .await;
        let leaving = ["engine-a", "engine-b"].map(|n| host(n, HostState::Leaving));
        platform.set_hosts(leaving.to_vec());
        env.wait_until(|| async {
            let refused = env.chat("later", false, 1).await;
            refused.status == 503 && refused.run() == "not-run"
        })
        .await;
    };
    let (reply, ()) = futures::join!(reply, leave);
    assert_eq!(streamed_text(&reply.body), expected_text("running", 1500));
    let before = env.engine_runs("later");
    env.chat("later", false, 1).await;
    assert_eq!(env.engine_runs("later"), before);
}

#[actix_rt::test]
async fn a_settings_change_reaches_entries_that_do_not_watch_the_store() {
    let platform = Platform::start();
    let zones = ["a"; 5];
    let names = (0..5).map(|i| host(&format!("entry-{i}"), HostState::Live));
    platform.set_hosts(names.collect());
    let env = Env::start(
        &spec(settings(""))
            .with_entries(&zones)
            .with_platform(&platform),
    )
    .await;
    let folder = env.site.settings_folder();
    fs::write(folder.join("95.toml"), "upstreams.engine-a.slots = 3").expect("a file");
    let mut apply = Command::new(env!("CARGO_BIN_EXE_almondramp"));
    let status = apply
        .arg("apply")
        .arg(&folder)
        .args(["-s", &platform.url()])
        .status();
    assert!(status.expect("it runs").success());
    for entry in 0..5 {
        env.wait_until(|| async {
            let metrics = env.metrics(entry).await;
            metrics.contains("almondramp_entry_settings_revision 2\n")
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_missing_model_is_loaded_once_with_a_fencing_number() {
    let platform = Platform::start();
    let more = "upstreams.engine-a.loads = [\"gear-large\"]";
    let env = Env::start(&spec(settings(more)).with_platform(&platform)).await;
    let engine = &env.site.engines["engine-a"];
    env.wait_until(|| async { !engine.stats().orders.is_empty() })
        .await;
    let orders = engine.stats().orders;
    assert_eq!(orders.len(), 1);
    assert_eq!(
        (orders[0].model.as_str(), orders[0].fencing),
        ("gear-large", 1)
    );
    assert!(env.site.engines["engine-b"].stats().orders.is_empty());
}
