//! All processes of the system are killed at the same moment while streams run at two software
//! versions, and requesters take the streams up again. Rule LOST.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::fleet::Net;
use crate::fleet::Process;
use crate::replica::Answer;
use crate::replica::Identity;
use crate::replica::Replica;
use crate::replica::stream_events;
use crate::requester::Stream;
use crate::requester::break_off;
use crate::store::Store;
use crate::stream_route;

const REPLICAS: u8 = 4;
const STREAMS: usize = 24;
const NEW_STREAMS: usize = 20;
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// The delay after which killed processes are started again.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// `touchMs` of the settings, from the start of the processes.
const TOUCH: Duration = Duration::from_millis(4000);
/// The requesters' attempts, after the break; a refusal asks for 0.5 s.
const ATTEMPTS: u32 = 5;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(1300);

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    let answer: Answer =
        Arc::new(|replica, stream, head| stream_events(replica, stream, head, EVENTS, EVENT_PAUSE));
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|i| {
            let identity = Identity {
                id: format!("i-{i}"),
                service: "pool".to_owned(),
                version: if i < 2 { "v1" } else { "v2" }.to_owned(),
                slots: 12,
            };
            Replica::start(
                &format!("{}:0", net.ip(100 + i)),
                &identity,
                Arc::clone(&answer),
            )
        })
        .collect();
    replicas.iter().for_each(|r| r.register(&store));
    let routes = json!([stream_route(json!({"backend": "pool", "sticky": true}))]);
    let services = json!([{
        "name": "pool", "healthPath": "/healthz", "maxConns": 630,
        "engine": {"slots": 12, "kvTokens": 554_688, "stride": 1},
    }]);
    store.put("config", "main", configuration(1, routes, services));
    let mut processes = vec![net.entry(1, store.address), net.entry(2, store.address)];
    for (i, replica) in (0..REPLICAS).zip(&replicas) {
        processes.push(net.agent(100 + i, store.address, replica.address, "pool"));
    }
    if ![1, 2]
        .iter()
        .all(|host| net.wait_until_ready(*host, Duration::from_secs(15)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(1500));

    let start = Instant::now();
    let entries = [net.front(1), net.front(2)];
    let mut channels = Vec::new();
    let requesters: Vec<_> = (0..STREAMS)
        .map(|i| {
            let mut stream = Stream::new(&format!("q{i}"));
            channels.push(Arc::clone(&stream.channel));
            thread::spawn(move || {
                stream.attempt(entries[i % 2], start);
                for n in 1..=ATTEMPTS as usize {
                    if stream.is_whole || stream.events.is_empty() {
                        break;
                    }
                    thread::sleep(ATTEMPT_PAUSE);
                    stream.attempt(entries[(i + n) % 2], start);
                }
                stream
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if case.has_trouble {
        kill_and_restart(&mut processes);
        case.record.line(&format!(
            "all {} processes were killed, and started again by {:?}",
            processes.len(),
            start.elapsed()
        ));
    } else {
        channels.iter().for_each(|c| break_off(c));
        case.record.line(&format!(
            "{:?}: the requesters' channels break",
            start.elapsed()
        ));
    }
    let in_touch_from = start.elapsed()
        + if case.has_trouble {
            TOUCH
        } else {
            Duration::ZERO
        };
    thread::sleep(TOUCH);
    let new: Vec<_> = (0..NEW_STREAMS)
        .map(|i| {
            thread::spawn(move || {
                let mut stream = Stream::new(&format!("n{i}"));
                stream.attempt(entries[i % 2], start);
                !stream.events.is_empty()
            })
        })
        .collect();
    let streams: Vec<Stream> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok())
        .collect();
    let begun = new
        .into_iter()
        .filter_map(|n| n.join().ok())
        .filter(|b| *b)
        .count();
    judge(case, &streams, in_touch_from, begun)
}

fn kill_and_restart(processes: &mut [Process]) {
    processes.iter_mut().for_each(Process::kill);
    thread::sleep(RESTART_DELAY);
    processes.iter_mut().for_each(Process::restart);
}

fn judge(case: &mut Case, streams: &[Stream], in_touch_from: Duration, begun: usize) -> Verdict {
    let (mut taken_up, mut gone_on) = (0, 0);
    for stream in streams {
        let resumed = stream
            .attempts
            .iter()
            .skip(1)
            .filter(|a| a.at >= in_touch_from);
        let resumed: Vec<_> = resumed.collect();
        taken_up += usize::from(!resumed.is_empty());
        gone_on += usize::from(resumed.iter().any(|a| a.events > 0));
        case.record.detail(&format!(
            "{}: {} events, whole: {}, written by: {}; {:?}",
            stream.id,
            stream.events.len(),
            stream.is_whole,
            stream.writers().join(", "),
            stream.attempts
        ));
    }
    let whole = streams.iter().filter(|s| s.is_whole).count();
    let begun_share = begun as f64 / NEW_STREAMS as f64;
    let share = gone_on as f64 / taken_up.max(1) as f64;
    case.record.line(&format!(
        "of {taken_up} streams taken up at machines in touch (from {in_touch_from:?}), {gone_on} \
         went on; {begun} of {NEW_STREAMS} new streams began; {whole} of {STREAMS} streams became whole"
    ));
    if begun_share < 0.5 || taken_up < 12 {
        return Verdict::NotRun;
    }
    match share < begun_share / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
