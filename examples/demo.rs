//! Starts small versions of both example deployments on the loopback address,
//! sends a short mixed load to each, and prints the results.

use std::path::Path;
use std::time::Duration;

use almondramp::operator::burn_report;
use almondramp::settings::Document;
use almondramp_standins::EngineConfig;
use almondramp_standins::Launcher;
use almondramp_standins::LoadClass;
use almondramp_standins::LoadWork;
use almondramp_standins::Site;
use almondramp_standins::SiteSpec;
use almondramp_standins::run_daemon_if_requested;
use almondramp_standins::run_load;
use almondramp_standins::summarise;
use almondramp_standins::wait_until_ready;

const SEED: u64 = 1;
const LOAD_DURATION: Duration = Duration::from_secs(8);

struct Deployment {
    name: &'static str,
    zones: &'static [&'static str],
    load: Vec<LoadClass>,
}

fn main() {
    run_daemon_if_requested();
    actix_rt::System::new().block_on(async {
        for deployment in [zobnik(), lada()] {
            run(deployment).await;
        }
    });
}

async fn run(deployment: Deployment) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(deployment.name);
    let document = Document::read(&folder).expect("the example's settings can be read");
    println!("== {}: starting", deployment.name);
    let spec = SiteSpec::new(document, Launcher::CurrentExe).with_entries(deployment.zones);
    let site = Site::start(&spec);
    wait_until_ready(&site).await;
    println!(
        "{} entries, {} agents; sending for {} s with seed {SEED}",
        site.entries.len(),
        site.agents.len(),
        LOAD_DURATION.as_secs()
    );
    let callers = site.entry_addresses.clone();
    let progress = |sent, ended| println!("  sent {sent}, ended {ended}");
    let records = run_load(deployment.load, LOAD_DURATION, SEED, callers, progress).await;
    println!("\ngoodput by tier");
    for (tier, summary) in summarise(&records, |r| r.tier) {
        println!(
            "  {tier:<12} {:>4} of {:>4} good, {} late, others {:?}",
            summary.good, summary.sent, summary.late, summary.failed
        );
    }
    print_prefill(&site);
    let entries: Vec<String> = site
        .entry_admins
        .iter()
        .map(|a| format!("http://{a}"))
        .collect();
    println!(
        "\nservice-level burn\n{}",
        burn_report(&entries).await.table()
    );
}

fn print_prefill(site: &Site) {
    let default = EngineConfig::default();
    let ledgers = site.engines.values().map(|e| e.stats());
    let (mut total, mut wasted, mut recomputed) = (0, 0, 0);
    for ledger in ledgers {
        total += ledger.prefill_tokens;
        wasted += ledger.wasted_tokens;
        recomputed += ledger.recomputed_tokens;
    }
    println!(
        "\nprefill: {total} tokens processed, {wasted} of them for work cut off, \
         {recomputed} that some engine had processed before (caches hold {} tokens)",
        default.cache_tokens
    );
}

fn key(organisation: &str) -> String {
    format!("{organisation}-sample-key")
}

fn chat(
    model: &'static str,
    unique_bytes: std::ops::Range<usize>,
    shared_bytes: usize,
    output: std::ops::Range<u64>,
) -> LoadWork {
    LoadWork::Chat {
        model,
        unique_bytes,
        shared_bytes,
        groups: 4,
        output,
    }
}

fn class(
    name: &'static str,
    tier: &'static str,
    organisation: &'static str,
    path: &'static str,
    rate: f64,
    deadline_seconds: u64,
    work: LoadWork,
) -> LoadClass {
    LoadClass {
        name,
        tier,
        organisation,
        key: key(organisation),
        path,
        rate,
        deadline: Duration::from_secs(deadline_seconds),
        work,
    }
}

fn zobnik() -> Deployment {
    let chat_path = "/v1/chat/completions";
    let question = || chat("gear-large", 100..300, 0, 20..60);
    let review = || chat("gear-large", 4_000..12_000, 12_000, 100..200);
    Deployment {
        name: "zobnik",
        zones: &["a", "b", "c"],
        load: vec![
            class(
                "question",
                "urgent",
                "celje-design",
                chat_path,
                20.0,
                3,
                question(),
            ),
            class(
                "review",
                "review",
                "maribor-gears",
                chat_path,
                3.0,
                60,
                review(),
            ),
            class(
                "question",
                "review",
                "kranj-pumps",
                chat_path,
                3.0,
                60,
                question(),
            ),
            class(
                "sheet",
                "background",
                "koper-marine",
                chat_path,
                2.0,
                600,
                question(),
            ),
            class(
                "log",
                "review",
                "celje-design",
                "/portal/logs",
                5.0,
                10,
                LoadWork::Save,
            ),
        ],
    }
}

fn lada() -> Deployment {
    let chat_path = "/v1/chat/completions";
    let shade = || chat("shade-advisor", 60..160, 600, 10..30);
    let brief = || chat("shade-advisor", 3_000..6_000, 2_000, 150..300);
    Deployment {
        name: "lada",
        zones: &["a", "b", "c", "d"],
        load: vec![
            class(
                "shade",
                "counter",
                "lada-counters",
                chat_path,
                30.0,
                2,
                shade(),
            ),
            class(
                "restock",
                "brief",
                "lada-buyers",
                chat_path,
                3.0,
                120,
                brief(),
            ),
            class(
                "testers",
                "report",
                "ana-franchise",
                chat_path,
                1.0,
                600,
                brief(),
            ),
            class(
                "order",
                "report",
                "zora-wholesale",
                "/stock/orders",
                4.0,
                10,
                LoadWork::Save,
            ),
        ],
    }
}
