//! Measures the cost of the request path: the latency that entry and agent add
//! to an upstream that answers immediately, the throughput of one entry, and the
//! memory of each process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use almondramp::http_client::new_client;
use almondramp::settings::Document;
use almondramp_standins::Launcher;
use almondramp_standins::Process;
use almondramp_standins::Site;
use almondramp_standins::SiteSpec;
use almondramp_standins::run_daemon_if_requested;
use almondramp_standins::wait_until_ready;
use awc::Client;
use serde_json::json;

const WARM_UP_REQUESTS: usize = 200;
const SAMPLES: usize = 4000;
const THROUGHPUT_DURATION: Duration = Duration::from_secs(5);
const CALLERS: usize = 64;
const CALLER_THREADS: usize = 3;
const KEY: &str = "celje-design-sample-key";
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    run_daemon_if_requested();
    actix_rt::System::new().block_on(measure());
}

async fn measure() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/zobnik");
    let document = Document::read(&folder).expect("the example's settings can be read");
    let site = Site::start(&SiteSpec::new(document, Launcher::CurrentExe));
    wait_until_ready(&site).await;
    let client = new_client();
    let service = site.services.values().next().expect("a service").address();
    let direct = latencies(&client, service).await;
    let through = latencies(&client, site.entry_addresses[0]).await;
    println!("latency in microseconds, one caller, {SAMPLES} samples");
    print_percentiles("direct", &direct);
    print_percentiles("through entry and agent", &through);

    let before = cpu_seconds(&site.entries[0]);
    let requests = throughput(site.entry_addresses[0]);
    let cpu = cpu_seconds(&site.entries[0]) - before;
    let seconds = THROUGHPUT_DURATION.as_secs_f64();
    println!(
        "throughput with {CALLERS} callers: {:.0} requests/s, entry at {:.0}% of a core, \
         {:.0} requests per core second",
        requests as f64 / seconds,
        100.0 * cpu / seconds,
        requests as f64 / cpu,
    );
    println!("resident memory in MiB");
    println!("  entry {:.1}", resident_mib(&site.entries[0]));
    for name in ["portal-a", "engine-a1"] {
        println!("  agent {name} {:.1}", resident_mib(&site.agents[name]));
    }
}

async fn latencies(client: &Client, address: SocketAddr) -> Vec<Duration> {
    let mut latencies = Vec::with_capacity(SAMPLES);
    for i in 0..WARM_UP_REQUESTS + SAMPLES {
        let started = Instant::now();
        assert!(save(client, address, i).await, "request {i} failed");
        if i >= WARM_UP_REQUESTS {
            latencies.push(started.elapsed());
        }
    }
    latencies.sort();
    latencies
}

async fn save(client: &Client, address: SocketAddr, id: usize) -> bool {
    let url = format!("http://{address}/portal/logs");
    let req = client.post(url).bearer_auth(KEY);
    let Ok(mut res) = req.send_json(&json!({ "id": id.to_string() })).await else {
        return false;
    };
    res.status().is_success() && res.body().await.is_ok()
}

fn throughput(address: SocketAddr) -> usize {
    let threads: Vec<_> = (0..CALLER_THREADS)
        .map(|thread| std::thread::spawn(move || run_callers(address, thread)))
        .collect();
    let counts = threads.into_iter().map(|t| t.join().unwrap_or_default());
    counts.sum()
}

fn run_callers(address: SocketAddr, thread: usize) -> usize {
    actix_rt::System::new().block_on(async move {
        let client = new_client();
        let until = Instant::now() + THROUGHPUT_DURATION;
        let caller = |number: usize| {
            let client = client.clone();
            async move {
                let mut count = 0;
                while Instant::now() < until {
                    let id = thread << 48 | number << 32 | count;
                    count += usize::from(save(&client, address, id).await);
                }
                count
            }
        };
        let callers = (0..CALLERS / CALLER_THREADS).map(caller);
        futures::future::join_all(callers).await.into_iter().sum()
    })
}

fn print_percentiles(name: &str, sorted: &[Duration]) {
    let percentile = |fraction: f64| {
        let i = (sorted.len() as f64 * fraction) as usize;
        sorted[i.min(sorted.len() - 1)].as_micros()
    };
    println!(
        "  {name:<24} p50 {:>6} p99 {:>6} max {:>6}",
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    );
}

fn resident_mib(process: &Process) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().split(' ').next()?.parse::<f64>().ok());
    kib.unwrap_or_default() / 1024.0
}

/// Returns the CPU time that the process has used in user and kernel mode, in
/// seconds.
fn cpu_seconds(process: &Process) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()));
    let stat = stat.unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
    // User and kernel time are fields 14 and 15 of the line, which begins with the
    // pid and the name.
    let total = ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default();
    total / CLOCK_TICKS_PER_SECOND
}
