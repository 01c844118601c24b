//! Measures the unit costs on which docs/CAPACITY.md is based: memory and CPU time
//! for each connected agent, waiting request, organisation, settings and
//! token. Each printed line is one unit cost.

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
use almondramp::ticket::Rank;
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
const IDLE_PERIOD: Duration = Duration::from_secs(10);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    run_daemon_if_requested();
    // The small costs are measured first, because the allocator reuses freed memory
    // and later measurements would be too low.
    measure_state();
    measure_settings();
    actix_rt::System::new().block_on(measure_links());
}

/// Measures the size of settings at the target scale and the cost of checking
/// them.
fn measure_settings() {
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

/// Measures the memory for each item of the state that grows with the fleet or
/// the load.
fn measure_state() {
    measure_growth("waiting ticket at an agent", 50_000, |n| {
        let mut scheduler = Scheduler::new(SchedulerConfig {
            slots: 0,
            max_waiting: usize::MAX,
            grant_valid: Duration::from_secs(1),
            weights: BTreeMap::new(),
            cache_tokens: 0,
            stream_pauses: None,
            memory_tokens: None,
        });
        (0..n).for_each(|i| drop(scheduler.offer(Timestamp::default(), ticket(i))));
        Box::new(scheduler)
    });
    measure_growth(
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
    measure_growth("remembered prompt chunk", 400_000, |n| {
        let mut index = PrefixIndex::new(usize::MAX);
        let hashes: Vec<u64> = (0..n).collect();
        index.touch(&hashes);
        Box::new(index)
    });
    measure_claims();
}

fn measure_claims() {
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
        rank: Rank::from((sequence % 3) as u8),
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
        interval: None,
        run_start: None,
    }
}

/// Prints the memory and time for each of the `count` items that `build` creates.
fn measure_growth<F>(name: &str, count: u64, build: F)
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

/// Measures the cost of idle connections between entries and agents.
async fn measure_links() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/zobnik");
    let complete = Document::read(&folder).expect("the example's settings can be read");
    for links in [3, 15] {
        let document = first_upstreams(&complete, links);
        let site = Site::start(&SiteSpec::new(document, Launcher::CurrentExe).with_relays());
        wait_until_ready(&site).await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let agent = site.agents.values().next().expect("an agent");
        let relayed = || {
            site.relays
                .values()
                .map(Relay::forwarded_bytes)
                .sum::<u64>()
        };
        let bytes = relayed();
        let before = (Usage::of(&site.entries[0]), Usage::of(agent));
        actix_rt::time::sleep(IDLE_PERIOD).await;
        let after = (Usage::of(&site.entries[0]), Usage::of(agent));
        println!(
            "idle entry with {links} links: {}",
            after.0.since(&before.0)
        );
        let rate =
            (relayed() - bytes) as f64 / IDLE_PERIOD.as_secs_f64() / site.agents.len() as f64;
        println!("idle link: {rate:.0} bytes/s in both directions");
        println!("idle agent with 1 link: {}", after.1.since(&before.1));
    }
}

/// Returns the settings with only the first `count` upstreams, plus the service
/// that the routes need.
fn first_upstreams(complete: &Document, count: usize) -> Document {
    let files = complete.files.iter().map(|f| {
        if !f.name.starts_with("30-") {
            return f.clone();
        }
        let upstreams = f.text.split("\n[").skip(1).take(count);
        let text: String = upstreams.map(|part| format!("[{part}\n")).collect();
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

/// The upstream of the service that the routes need.
const PORTAL: &str = "[upstreams.portal-a]\nkind = \"service\"\nzone = \"a\"\n\
    address = \"10.1.0.50:8080\"\nagent = \"10.1.0.50:7000\"\nserves = [\"portal\"]\nslots = 4\n";

/// The memory and CPU time used by a process.
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
        // User and kernel time are the 11th and 12th numbers after the state.
        let ticks = fields.get(10).unwrap_or(&0.0) + fields.get(11).unwrap_or(&0.0);
        Self {
            resident_kib: field(&read("status"), "VmRSS:"),
            cpu_seconds: ticks / CLOCK_TICKS_PER_SECOND,
        }
    }

    /// Formats the memory and the CPU use in the `IDLE_PERIOD` since `before`.
    fn since(&self, before: &Self) -> String {
        let seconds = IDLE_PERIOD.as_secs_f64();
        format!(
            "{} KiB resident, {:.2}% of a core",
            self.resident_kib,
            100.0 * (self.cpu_seconds - before.cpu_seconds) / seconds,
        )
    }
}

/// Returns the resident memory of this process in KiB.
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
