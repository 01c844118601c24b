//! Concurrent requests under seeded faults; the history of answers and runs is
//! checked against the guarantees to callers.
//!
//! `ALMONDRAMP_SEEDS=A..B` sets the range of seeds.

use std::collections::HashMap;
use std::time::Duration;

use almondramp_standins::LoadClass;
use almondramp_standins::LoadRecord;
use almondramp_standins::LoadWork;
use almondramp_standins::Platform;
use almondramp_standins::PlatformFaults;
use almondramp_standins::Process;
use almondramp_standins::run_load;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checker::check;
use crate::support::ANCHOR_KEY;
use crate::support::Env;
use crate::support::KEY;
use crate::support::settings;
use crate::support::spec;

const LOAD_DURATION: Duration = Duration::from_secs(3);
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..6;
const UPSTREAMS: [&str; 3] = ["engine-a", "engine-b", "portal"];

/// Short limits, so that faults take effect within a run.
const LIMITS: &str = "limits.drain = \"5s\"\n\
    upstreams.engine-a.slots = 2\nupstreams.engine-b.slots = 2\nupstreams.portal.slots = 2";

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillAgent,
    PauseAgent,
    CloseConnections,
    FreezeConnections,
    RefuseConnections,
    FailEngine,
    DropReplies,
    SlowService,
    PlatformOutage,
    StopAgent,
    KillEntry,
    StopEntry,
}

const FAULTS: [Fault; 12] = [
    Fault::KillAgent,
    Fault::PauseAgent,
    Fault::CloseConnections,
    Fault::FreezeConnections,
    Fault::RefuseConnections,
    Fault::FailEngine,
    Fault::DropReplies,
    Fault::SlowService,
    Fault::PlatformOutage,
    Fault::StopAgent,
    Fault::KillEntry,
    Fault::StopEntry,
];

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("ALMONDRAMP_SEEDS").unwrap_or_default();
    let bounds = text.split_once("..");
    let parsed = bounds.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parsed.unwrap_or(DEFAULT_SEEDS)
}

fn classes() -> Vec<LoadClass> {
    let chat = |own: usize, output: u64| LoadWork::Chat {
        model: "m",
        unique_bytes: own..own * 2,
        shared_bytes: 800,
        groups: 2,
        output: output..output * 3,
    };
    let class = |name, key: &str, organisation, path, rate, work| LoadClass {
        name,
        tier: "urgent",
        organisation,
        key: key.to_owned(),
        path,
        rate,
        deadline: Duration::from_secs(5),
        work,
    };
    let chats = "/v1/chat/completions";
    vec![
        class("question", KEY, "small", chats, 20.0, chat(100, 10)),
        class("review", ANCHOR_KEY, "anchor", chats, 4.0, chat(4000, 60)),
        class("save", KEY, "small", "/portal/logs", 20.0, LoadWork::Save),
        class(
            "keyed",
            ANCHOR_KEY,
            "anchor",
            "/portal/keyed",
            10.0,
            LoadWork::KeyedSave,
        ),
    ]
}

/// Injects two random faults, one after the other.
async fn inject_faults(env: &mut Env, platform: &Platform, rng: &mut StdRng) -> Vec<Fault> {
    let faults: Vec<Fault> = (0..2)
        .map(|_| FAULTS[rng.random_range(0..FAULTS.len())])
        .collect();
    for fault in &faults {
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(100..700))).await;
        let upstream = UPSTREAMS[rng.random_range(0..UPSTREAMS.len())];
        start_fault(env, platform, *fault, upstream);
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(50..700))).await;
        end_fault(env, platform, *fault, upstream).await;
    }
    faults
}

fn start_fault(env: &mut Env, platform: &Platform, fault: Fault, upstream: &str) {
    let site = &mut env.site;
    match fault {
        Fault::KillAgent => site
            .agents
            .get_mut(upstream)
            .into_iter()
            .for_each(|a| a.kill()),
        Fault::PauseAgent => site.agents[upstream].pause(),
        Fault::CloseConnections => site.relays.values().for_each(|r| r.close_connections()),
        Fault::FreezeConnections => site.relays[upstream].set_frozen(true),
        Fault::RefuseConnections => site.relays[upstream].set_refusing(true),
        Fault::FailEngine => site.engines["engine-a"].set_failing(true),
        Fault::DropReplies => site.services["portal"].drop_replies(5),
        Fault::SlowService => site.services["portal"].set_delay(Duration::from_millis(200)),
        Fault::PlatformOutage => platform.set_faults(PlatformFaults {
            outage: true,
            ..PlatformFaults::default()
        }),
        Fault::StopAgent => site.agents[upstream].terminate(),
        Fault::KillEntry => site.entries[1].kill(),
        Fault::StopEntry => site.entries[1].terminate(),
    }
}

async fn end_fault(env: &mut Env, platform: &Platform, fault: Fault, upstream: &str) {
    let site = &mut env.site;
    match fault {
        Fault::KillAgent => site.restart_agent(upstream),
        Fault::PauseAgent => site.agents[upstream].resume(),
        Fault::CloseConnections | Fault::DropReplies => {}
        Fault::FreezeConnections => site.relays[upstream].set_frozen(false),
        Fault::RefuseConnections => site.relays[upstream].set_refusing(false),
        Fault::FailEngine => site.engines["engine-a"].set_failing(false),
        Fault::SlowService => site.services["portal"].set_delay(Duration::ZERO),
        Fault::PlatformOutage => platform.set_faults(PlatformFaults::default()),
        Fault::StopAgent => {
            wait_for_exit(site.agents.get_mut(upstream)).await;
            site.restart_agent(upstream);
        }
        Fault::KillEntry => site.restart_entry(1),
        Fault::StopEntry => {
            wait_for_exit(site.entries.get_mut(1)).await;
            site.restart_entry(1);
        }
    }
}

/// Waits until a process that received SIGTERM exits.
async fn wait_for_exit(process: Option<&mut Process>) {
    if let Some(process) = process {
        while process.is_running() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn run_counts(env: &Env) -> HashMap<String, u32> {
    let mut runs = HashMap::new();
    for engine in env.site.engines.values() {
        for (id, count) in engine.stats().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    for service in env.site.services.values() {
        for (id, count) in service.stats().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    runs
}

async fn run_history(seed: u64) -> (Env, Vec<LoadRecord>, Vec<Fault>) {
    let platform = Platform::start();
    let spec = spec(settings(LIMITS))
        .with_entries(&["a", "b"])
        .with_relays();
    let mut env = Env::start(&spec.with_platform(&platform)).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let callers = env.site.entry_addresses.clone();
    let load = run_load(classes(), LOAD_DURATION, seed, callers, |_, _| {});
    let (records, faults) = futures::join!(load, inject_faults(&mut env, &platform, &mut rng));
    (env, records, faults)
}

#[actix_rt::test]
async fn no_promise_is_broken_under_faults() {
    let (mut requests, mut served) = (0, 0);
    for seed in seeds() {
        let (env, records, faults) = run_history(seed).await;
        let stops_entry = |f: &Fault| matches!(f, Fault::KillEntry | Fault::StopEntry);
        let violations = check(&records, &run_counts(&env), faults.iter().any(stops_entry));
        let unanswered: Vec<&LoadRecord> = records.iter().filter(|r| r.status == 0).collect();
        assert!(
            violations.is_empty(),
            "seed {seed}, {faults:?}: {violations:?}; without an answer: {unanswered:?}"
        );
        requests += records.len();
        served += records.iter().filter(|r| r.valid).count();
        let longest = records.iter().map(|r| r.duration).max();
        println!(
            "seed {seed}: {faults:?}, {} requests, {longest:?}",
            records.len()
        );
    }
    println!("{requests} requests, {served} served, no violation");
    assert!(served > requests / 2, "{served} of {requests} served");
}
