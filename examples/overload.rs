//! Measures goodput by tier and wasted prefill under load with real processes.
//! Prints one line for each deployment, load factor, policy, fault and seed.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use almondramp::name::Name;
use almondramp::settings::Document;
use almondramp::settings::File;
use almondramp_standins::EngineConfig;
use almondramp_standins::EngineStats;
use almondramp_standins::Launcher;
use almondramp_standins::LoadClass;
use almondramp_standins::LoadRecord;
use almondramp_standins::LoadWork;
use almondramp_standins::Site;
use almondramp_standins::SiteSpec;
use almondramp_standins::key_digest;
use almondramp_standins::run_daemon_if_requested;
use almondramp_standins::run_load;
use almondramp_standins::summarise;
use almondramp_standins::wait_until_ready;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

const BATCH: usize = 8;
const BYTES_PER_TOKEN: f64 = 4.0;

/// The factor by which a straggling engine is slower.
const STRAGGLER_SLOWDOWN: f64 = 6.0;

/// One class of the load mix. `share` is its share of the engines' capacity.
struct MixClass {
    name: &'static str,
    tier: &'static str,
    organisation: &'static str,
    share: f64,
    deadline: u64,
    own_bytes: Range<usize>,
    shared_bytes: usize,
    groups: usize,
    output: Range<u64>,
}

fn main() {
    run_daemon_if_requested();
    let matches = command().get_matches();
    actix_rt::System::new().block_on(async {
        for policy in matches.get_many::<String>("policy").unwrap_or_default() {
            for factor in matches.get_many::<f64>("factor").unwrap_or_default() {
                for seed in matches.get_many::<u64>("seed").unwrap_or_default() {
                    run(&matches, policy, *factor, *seed).await;
                }
            }
        }
    });
}

fn command() -> Command {
    let list_arg = |name: &'static str| Arg::new(name).long(name).value_delimiter(',');
    Command::new("overload")
        .about("Measure goodput and wasted prefill under load")
        .arg(
            list_arg("policy")
                .default_value("late-binding")
                .action(ArgAction::Append),
        )
        .arg(
            list_arg("factor")
                .default_value("1.5")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            list_arg("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .default_value("lada"),
        )
        .arg(Arg::new("fault").long("fault").default_value("none"))
        .arg(Arg::new("settings").long("settings").default_value(""))
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("10")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("by-organisation")
                .long("by-organisation")
                .action(ArgAction::SetTrue),
        )
}

async fn run(matches: &ArgMatches, policy: &str, factor: f64, seed: u64) {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let (deployment, fault) = (text("deployment"), text("fault"));
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
    let length = Duration::from_secs(seconds);
    let mix = if deployment == "zobnik" {
        zobnik()
    } else {
        lada()
    };
    let extra = format!("limits.policy = \"{policy}\"\n{}", text("settings"));
    let mut spec =
        SiteSpec::new(settings(&mix, &extra), Launcher::CurrentExe).with_entries(&["a", "b"]);
    for (name, config) in engines() {
        spec = spec.with_engine(name, config);
    }
    let mut site = Site::start(&spec);
    wait_until_ready(&site).await;
    let classes: Vec<LoadClass> = mix.iter().map(|class| load_class(class, factor)).collect();
    let callers = site.entry_addresses.clone();
    let load = run_load(classes, length, seed, callers, |_, _| {});
    let (records, ()) = futures::join!(load, inject_fault(&mut site, &fault, length));
    print(
        &site,
        &records,
        &format!("{deployment} {policy} x{factor} {fault} seed {seed}"),
    );
    if matches.get_flag("by-organisation") {
        for (name, s) in summarise(&records, |r| r.organisation) {
            println!("    {name:<14} {:>5} of {:>5} good", s.good, s.sent);
        }
    }
}

/// Injects the fault after a third of the run.
async fn inject_fault(site: &mut Site, fault: &str, length: Duration) {
    actix_rt::time::sleep(length / 3).await;
    match fault {
        "straggler" => site.engines["engine-1"].set_slowdown(STRAGGLER_SLOWDOWN),
        "lost-upstream" => site
            .agents
            .get_mut("engine-1")
            .into_iter()
            .for_each(|a| a.kill()),
        "lost-entry" => site.entries[1].kill(),
        _ => {}
    }
}

fn print(site: &Site, records: &[LoadRecord], name: &str) {
    let mut line = format!("{name:<44}");
    for (tier, s) in summarise(records, |r| r.tier) {
        let percent = 100.0 * s.good as f64 / s.sent.max(1) as f64;
        line += &format!(" | {tier} {percent:5.1}% of {}", s.sent);
    }
    let good = records.iter().filter(|r| r.good).count();
    let ledgers: Vec<EngineStats> = site.engines.values().map(|e| e.stats()).collect();
    let sum = |f: fn(&EngineStats) -> u64| ledgers.iter().map(f).sum::<u64>();
    let prefill = sum(|l| l.prefill_tokens).max(1) as f64;
    let repeated = ledgers
        .iter()
        .flat_map(|l| l.runs.values())
        .filter(|n| **n > 1)
        .count();
    println!(
        "{line} | all {:5.1}% | wasted {:4.1}% recomputed {:4.1}% of {prefill:.0} | twice {repeated}",
        100.0 * good as f64 / records.len().max(1) as f64,
        100.0 * sum(|l| l.wasted_tokens) as f64 / prefill,
        100.0 * sum(|l| l.recomputed_tokens) as f64 / prefill,
    );
    let mut others: BTreeMap<String, usize> = BTreeMap::new();
    for summary in summarise(records, |r| r.tier).into_values() {
        for (code, count) in summary.failed {
            *others.entry(code).or_default() += count;
        }
        *others.entry("answered late".to_owned()).or_default() += summary.late;
    }
    println!("    others {others:?}");
}

/// Returns engines of two generations. The newer one is twice as fast.
fn engines() -> Vec<(&'static str, EngineConfig)> {
    let slow = EngineConfig {
        batch_size: BATCH,
        step_time: Duration::from_millis(10),
        prefill_token_time: Duration::from_micros(50),
        prefill_budget: 512,
        cache_tokens: 16 << 10,
        load_lag: Duration::from_secs(2),
        checks_fencing: true,
    };
    let fast = EngineConfig {
        step_time: slow.step_time / 2,
        prefill_token_time: slow.prefill_token_time / 2,
        ..slow.clone()
    };
    vec![
        ("engine-1", fast.clone()),
        ("engine-2", fast),
        ("engine-3", slow.clone()),
        ("engine-4", slow),
    ]
}

/// Returns the seconds that a request occupies one engine of the faster generation,
/// with its shared prefix cached.
fn engine_seconds(class: &MixClass) -> f64 {
    let (_, engine) = &engines()[0];
    let own_tokens = (class.own_bytes.start + class.own_bytes.end) as f64 / 2.0 / BYTES_PER_TOKEN;
    let output = (class.output.start + class.output.end) as f64 / 2.0;
    own_tokens * engine.prefill_token_time.as_secs_f64()
        + output * engine.step_time.as_secs_f64() / BATCH as f64
}

/// The capacity of all engines, in engines of the faster generation.
const ENGINE_CAPACITY: f64 = 3.0;

fn load_class(class: &MixClass, factor: f64) -> LoadClass {
    LoadClass {
        name: class.name,
        tier: class.tier,
        organisation: class.organisation,
        key: class.organisation.to_owned(),
        path: "/v1/chat/completions",
        rate: factor * ENGINE_CAPACITY * class.share / engine_seconds(class),
        deadline: Duration::from_secs(class.deadline),
        work: LoadWork::Chat {
            model: "m",
            unique_bytes: class.own_bytes.clone(),
            shared_bytes: class.shared_bytes,
            groups: class.groups,
            output: class.output.clone(),
        },
    }
}

fn mix_class(
    name: &'static str,
    tier: &'static str,
    organisation: &'static str,
    share: f64,
    deadline: u64,
) -> MixClass {
    MixClass {
        name,
        tier,
        organisation,
        share,
        deadline,
        own_bytes: 100..300,
        shared_bytes: 600,
        groups: 4,
        output: 10..30,
    }
}

/// Returns a mix of counter replies, restock briefs and weekly reports.
fn lada() -> Vec<MixClass> {
    let long = |class: MixClass| MixClass {
        own_bytes: 2_000..6_000,
        shared_bytes: 2_000,
        output: 60..120,
        ..class
    };
    vec![
        mix_class("shade", "counter", "counters", 0.50, 2),
        mix_class("shade", "counter", "kiosk", 0.05, 2),
        long(mix_class("restock", "brief", "buyers", 0.30, 8)),
        long(mix_class("testers", "report", "franchise", 0.15, 12)),
    ]
}

/// Returns a mix of short questions and complete specifications, most of them from
/// the main customer.
fn zobnik() -> Vec<MixClass> {
    let specification = |class: MixClass| MixClass {
        own_bytes: 8_000..16_000,
        shared_bytes: 12_000,
        groups: 6,
        output: 60..120,
        ..class
    };
    vec![
        mix_class("question", "urgent", "celje", 0.40, 3),
        mix_class("question", "urgent", "small", 0.05, 3),
        specification(mix_class("review", "review", "celje", 0.30, 8)),
        specification(mix_class("review", "review", "small", 0.10, 8)),
        mix_class("sheet", "background", "marine", 0.15, 12),
    ]
}

fn settings(mix: &[MixClass], extra: &str) -> Document {
    let mut text = String::new();
    let mut seen: BTreeMap<&str, String> = BTreeMap::new();
    let mut order = 0;
    for class in mix {
        let tier = format!("tiers.{}", class.tier);
        if !seen.contains_key(class.tier) {
            let lines = format!(
                "[{tier}]\norder = {order}\ndeadline = \"{}s\"\n",
                class.deadline
            );
            seen.insert(class.tier, lines.clone());
            order += 1;
            text += &lines;
        }
        if !seen.contains_key(class.organisation) {
            let digest = key_digest(class.organisation);
            let lines = format!(
                "[organisations.{}]\ntier = \"{}\"\nkeys = [\"{digest}\"]\n",
                class.organisation, class.tier
            );
            seen.insert(class.organisation, lines.clone());
            text += &lines;
        }
    }
    text += "[routes.chat]\nkind = \"model\"\npath = \"/v1/chat/completions\"\n";
    for (i, (name, config)) in engines().into_iter().enumerate() {
        text += &format!(
            "[upstreams.{name}]\nkind = \"model\"\nzone = \"{}\"\naddress = \"127.0.0.1:{}\"\n\
             agent = \"127.0.0.1:{}\"\nserves = [\"m\"]\nslots = {BATCH}\ncache_tokens = {}\n",
            ["a", "b"][i % 2],
            i + 1,
            i + 101,
            config.cache_tokens,
        );
    }
    let file = |name: &str, text: String| File {
        name: Name::new(name),
        text,
    };
    Document::new(vec![
        file("10-site.toml", text),
        file("20-more.toml", extra.to_owned()),
    ])
}
