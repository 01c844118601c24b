//! Measures the slopes from which docs/CAPACITY.md is worked out: memory and
//! processor time by connected agent, waiting request, organisation, settings
//! and token. Each line is one slope.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use almondramp::burn::BurnKey;
use almondramp::burn::BurnLog;
use almondramp::claims::Claim;
use almondramp::claims::ClaimKey;
use almondramp::claims::ClaimNonce;
use almondramp::claims::ClaimState;
use almondramp::claims::ClaimTable;
use almondramp::claims::Digest;
use almondramp::claims::Operation;
use almondramp::clock::Timestamp;
use almondramp::ids::Incarnation;
use almondramp::ids::RequestId;
use almondramp::name::Name;
use almondramp::outcome::Outcome;
use almondramp::prefix::PrefixIndex;
use almondramp::scheduler::Scheduler;
use almondramp::scheduler::SchedulerConfig;
use almondramp::settings::Document;
use almondramp::settings::File;
use almondramp::settings::Settings;
use almondramp::ticket::Ticket;
use almondramp::ticket::Work;
use almondramp_standins::Launcher;
use almondramp_standins::Process;
use almondramp_standins::Relay;
use almondramp_standins::Site;
use almondramp_standins::SiteSpec;
use almondramp_standins::run_daemon_if_requested;
use almondramp_standins::wait_until_ready;

const ORGANISATIONS: u64 = 1_900;
const IDLE: Duration = Duration::from_secs(10);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    run_daemon_if_requested();
    // Memory that is freed is used again, so the small slopes come first.
    state_slopes();
    settings_slopes();
    actix_rt::System::new().block_on(link_slopes());
}

/// The size and the cost of settings of the target's size.
fn settings_slopes() {
    for upstreams in [0, 1_000, 6_700] {
        let document = document(ORGANISATIONS, upstreams);
        let json = serde_json::to_vec(&document).unwrap_or_default().len();
        let before = resident_kib();
        let started = Instant::now();
        let settings = Settings::new(&document).expect("the settings are valid");
        let took = started.elapsed();
        println!(
            "settings: {ORGANISATIONS} organisations, {upstreams} upstreams: {json} bytes stored, \
             checked in {took:?}, {} KiB in memory",
            resident_kib().saturating_sub(before),
        );
        drop(settings);
    }
}

/// Memory by entry in the state that grows with the fleet or with load.
fn state_slopes() {
    grown("waiting ticket at an agent", 50_000, |n| {
        let mut scheduler = Scheduler::new(SchedulerConfig {
            slots: 0,
            tickets: usize::MAX,
            grant_valid: Duration::from_secs(1),
            weights: BTreeMap::new(),
            cache_tokens: 0,
        });
        (0..n).for_each(|i| drop(scheduler.offer(Timestamp::default(), ticket(i))));
        Box::new(scheduler)
    });
    grown(
        "tier and organisation in the burn log, 73 buckets",
        2_000,
        |n| {
            let mut log = BurnLog::new();
            for i in 0..n {
                for bucket in 0..73 {
                    let now = Timestamp::new(Duration::from_secs(300 * bucket));
                    let key = BurnKey {
                        tier: Name::new("urgent"),
                        organisation: Name::new(&format!("organisation-{i}")),
                    };
                    log.record(now, key, Outcome::good);
                }
            }
            Box::new(log)
        },
    );
    grown("remembered prompt chunk", 400_000, |n| {
        let mut index = PrefixIndex::new(usize::MAX);
        let hashes: Vec<u64> = (0..n).collect();
        index.touch(&hashes);
        Box::new(index)
    });
    claim_slope();
}

fn claim_slope() {
    let mut table = ClaimTable::default();
    for i in 0..1_000u64 {
        let key = ClaimKey::new(&Name::new("organisation"), &i.to_string());
        let claim = Claim {
            nonce: ClaimNonce(u64::MAX - i),
            request: Digest::new(&[b"request"]),
            runs_until: 2_000_000_000,
            kept_until: 2_000_000_000,
            state: ClaimState::Claimed,
        };
        table.apply(&Operation::Claim(key, claim), 1);
    }
    let bytes = serde_json::to_vec(&table).unwrap_or_default().len();
    let started = Instant::now();
    let copies = 100;
    for _ in 0..copies {
        let _ = serde_json::to_vec(&table.clone());
    }
    println!(
        "claim: {} bytes in its shard; a write of 1,000 claims takes {:?} of processor time",
        bytes / 1_000,
        started.elapsed() / copies,
    );
}

fn ticket(sequence: u64) -> Ticket {
    Ticket {
        request: RequestId {
            incarnation: Incarnation(1),
            sequence,
        },
        organisation: Name::new(&format!("organisation-{}", sequence % ORGANISATIONS)),
        order: (sequence % 3) as u8,
        deadline: Timestamp::new(Duration::from_secs(60 + sequence % 60)),
        objective: Timestamp::new(Duration::from_secs(30 + sequence % 60)),
        wait_deadline: Timestamp::new(Duration::from_secs(60 + sequence % 60)),
        work: Work {
            prefill: 500,
            cached: 0,
            output: 200,
        },
        prefix: vec![sequence; 8],
        idempotent: false,
    }
}

fn grown<F>(name: &str, count: u64, build: F)
where
    F: FnOnce(u64) -> Box<dyn std::any::Any>,
{
    let before = resident_kib();
    let started = Instant::now();
    let built = build(count);
    let took = started.elapsed();
    let bytes = 1024.0 * resident_kib().saturating_sub(before) as f64 / count as f64;
    println!(
        "{name}: {bytes:.0} bytes, {:?} to add",
        took / u32::try_from(count).unwrap_or(1)
    );
    drop(built);
}

/// What an idle connection between an entry and an agent costs.
async fn link_slopes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/zobnik");
    let whole = Document::read(&folder).expect("the example's settings can be read");
    for links in [3, 15] {
        let document = only(&whole, links);
        let site = Site::start(&SiteSpec::new(document, Launcher::CurrentExe).with_relays());
        wait_until_ready(&site).await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let agent = site.agents.values().next().expect("an agent");
        let passed = || {
            site.relays
                .values()
                .map(Relay::forwarded_bytes)
                .sum::<u64>()
        };
        let bytes = passed();
        let before = (Usage::of(&site.entries[0]), Usage::of(agent));
        actix_rt::time::sleep(IDLE).await;
        let after = (Usage::of(&site.entries[0]), Usage::of(agent));
        println!(
            "idle entry with {links} links: {}",
            after.0.since(&before.0)
        );
        let rate = (passed() - bytes) as f64 / IDLE.as_secs_f64() / site.agents.len() as f64;
        println!("idle link: {rate:.0} bytes/s in both directions");
        println!("idle agent with 1 link: {}", after.1.since(&before.1));
    }
}

/// Settings with some of the upstreams only.
fn only(whole: &Document, count: usize) -> Document {
    let files = whole.files.iter().map(|f| {
        if !f.name.starts_with("30-") {
            return f.clone();
        }
        let engines = f.text.split("\n[").skip(1).take(count);
        let text: String = engines.map(|part| format!("[{part}\n")).collect();
        File {
            name: f.name.clone(),
            text: match text.contains("portal") {
                true => text,
                false => format!("{text}{PORTAL}"),
            },
        }
    });
    Document::new(files.collect())
}

/// The service that the routes need.
const PORTAL: &str = "[upstreams.portal-a]\nkind = \"service\"\nzone = \"a\"\n\
    address = \"10.1.0.50:8080\"\nagent = \"10.1.0.50:7000\"\nserves = [\"portal\"]\nslots = 4\n";

struct Usage {
    resident_kib: u64,
    cpu_seconds: f64,
}

impl Usage {
    fn of(process: &Process) -> Self {
        let read = |file: &str| {
            let path = format!("/proc/{}/{file}", process.id());
            fs::read_to_string(path).unwrap_or_default()
        };
        let field = |text: &str, name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name));
            line.and_then(|l| l.split_whitespace().next()?.parse().ok())
                .unwrap_or(0)
        };
        let stat = read("stat");
        let after_name = stat.rsplit(')').next().unwrap_or_default().to_owned();
        let fields: Vec<f64> = after_name.split_whitespace().flat_map(str::parse).collect();
        // User and kernel time are the 11th and 12th numbers behind the state.
        let ticks = fields.get(10).unwrap_or(&0.0) + fields.get(11).unwrap_or(&0.0);
        Self {
            resident_kib: field(&read("status"), "VmRSS:"),
            cpu_seconds: ticks / CLOCK_TICKS_PER_SECOND,
        }
    }

    fn since(&self, before: &Self) -> String {
        let seconds = IDLE.as_secs_f64();
        format!(
            "{} KiB resident, {:.2}% of a core",
            self.resident_kib,
            100.0 * (self.cpu_seconds - before.cpu_seconds) / seconds,
        )
    }
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn document(organisations: u64, upstreams: u64) -> Document {
    let mut files = vec![File {
        name: Name::new("10-tiers.toml"),
        text: (0..3).map(tier_text).collect(),
    }];
    let text = (0..organisations).map(|i| {
        format!(
            "[organisations.organisation-{i}]\ntier = \"tier-0\"\nkeys = [\"sha256:{i:064x}\"]\n"
        )
    });
    files.push(File {
        name: Name::new("20-organisations.toml"),
        text: text.collect(),
    });
    let text = (0..upstreams).map(|i| {
        let (a, b) = (i / 250, i % 250);
        format!(
            "[upstreams.engine-{i}]\nkind = \"model\"\nzone = \"zone-{}\"\n\
             address = \"10.1.{a}.{b}:8000\"\nagent = \"10.1.{a}.{b}:7000\"\n\
             serves = [\"model-{}\"]\nslots = 32\ncache_tokens = 1000000\n",
            i % 14,
            i % 29
        )
    });
    files.push(File {
        name: Name::new("30-upstreams.toml"),
        text: text.collect(),
    });
    Document::new(files)
}

fn tier_text(i: u64) -> String {
    format!(
        "[tiers.tier-{i}]\norder = {i}\ndeadline = \"{}s\"\n",
        10 * i + 2
    )
}
