//! Benchmarks of scheduling decisions by the number of waiting requests, of the
//! throttle by the number of request classes, and of large settings.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use almondramp::admission::RequestClass;
use almondramp::admission::Throttle;
use almondramp::clock::Timestamp;
use almondramp::ids::Incarnation;
use almondramp::ids::RequestId;
use almondramp::name::Name;
use almondramp::scheduler::Scheduler;
use almondramp::scheduler::SchedulerConfig;
use almondramp::settings::Document;
use almondramp::settings::File;
use almondramp::settings::Settings;
use almondramp::ticket::Rank;
use almondramp::ticket::Ticket;
use almondramp::ticket::WithdrawReason;
use almondramp::ticket::Work;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

const NOW: Timestamp = Timestamp::new(Duration::from_secs(1));

const LATER: Timestamp = Timestamp::new(Duration::from_secs(60));

fn ticket(sequence: u64) -> Ticket {
    Ticket {
        request: RequestId {
            incarnation: Incarnation(1),
            sequence,
        },
        organisation: Name::new(&format!("organisation-{}", sequence % 50)),
        rank: Rank::from((sequence % 3) as u8),
        deadline: LATER,
        objective: LATER,
        wait_deadline: LATER,
        work: Work {
            prefill: 1_000,
            cached: 0,
            output: 100,
        },
        prefix: Vec::new(),
        idempotent: false,
        interval: None,
        run_start: None,
    }
}

/// Returns a scheduler without free slots and with `waiting` waiting tickets.
fn busy_scheduler(waiting: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerConfig {
        slots: 8,
        max_waiting: 20_000,
        grant_valid: Duration::from_secs(600),
        weights: BTreeMap::new(),
        cache_tokens: 0,
        stream_pauses: None,
        memory_tokens: None,
    });
    for sequence in 0..waiting + 8 {
        scheduler.offer(NOW, ticket(sequence));
    }
    scheduler
}

fn scheduler_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("scheduler: offer and withdraw");
    for waiting in [10, 100, 1_000, 10_000] {
        let mut scheduler = busy_scheduler(waiting);
        let mut sequence = 1_000_000;
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| {
                sequence += 1;
                let ticket = ticket(sequence);
                let request = ticket.request;
                black_box(scheduler.offer(NOW, ticket));
                scheduler.withdraw(NOW, request, WithdrawReason::GivenUp)
            });
        });
    }
    group.finish();
}

fn throttle_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("throttle: record arrival and refusal probability");
    for request_classes in [10, 100, 1_000, 10_000] {
        let request_class = |i: u64| RequestClass {
            service: Name::new("pool"),
            rank: 1,
            overdue: false,
            organisation: Name::new(&format!("organisation-{i}")),
        };
        let mut throttle = Throttle::new();
        (0..request_classes).for_each(|i| throttle.record_arrival(NOW, request_class(i)));
        let measured = request_class(request_classes / 2);
        group.bench_function(BenchmarkId::from_parameter(request_classes), |b| {
            b.iter(|| {
                throttle.record_arrival(NOW, measured.clone());
                throttle.refusal_probability(NOW, &measured)
            });
        });
    }
    group.finish();
}

/// Returns settings with `routes` routes, spread over 16 files.
fn document(routes: usize) -> Document {
    let mut texts = vec![String::new(); 16];
    for i in 0..routes {
        let route = format!(
            "[routes.route-{i}]\nkind = \"service\"\nhost = \"h{i}.example\"\npath = \"/p{i}/\"\nservice = \"pool\"\n\
             tier = \"usual\"\n"
        );
        texts[i % 16].push_str(&route);
    }
    let routes = texts.into_iter().enumerate().map(|(i, text)| File {
        name: Name::new(&format!("routes-{i:02}.toml")),
        text,
    });
    let base = File {
        name: Name::new("base.toml"),
        text:
            "tiers.usual.order = 0\ntiers.usual.deadline = \"1s\"\nservices.pool.kind = \"service\"\n\
               limits.discovered = true"
                .to_owned(),
    };
    Document::new(std::iter::once(base).chain(routes).collect())
}

fn settings(c: &mut Criterion) {
    let mut group = c.benchmark_group("settings: read and check");
    group.sample_size(10);
    for routes in [10, 100, 1_000, 10_000] {
        let document = document(routes);
        group.bench_function(BenchmarkId::from_parameter(routes), |b| {
            b.iter(|| Settings::new(&document).unwrap_or_else(|e| panic!("{e}")));
        });
    }
    group.finish();
}

criterion_group!(benches, scheduler_decisions, throttle_decisions, settings);
criterion_main!(benches);
