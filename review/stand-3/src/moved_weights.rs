//! A configuration moves most of a route's weight from one service to another. Then the
//! requesters' channels break, with and without the change, and the streams are taken up at the
//! other entry. Rule LOST.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::fleet::Net;
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
/// After `configMs` of the settings, the configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_millis(3200);
/// The requesters' attempts to take a stream up; a refusal asks for 0.5 s.
const ATTEMPTS: u32 = 3;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(800);

/// Both services run engines; the replicas of each have a software version of their own.
fn service(i: u8) -> (&'static str, &'static str) {
    match i < 2 {
        true => ("blue", "4.1"),
        false => ("green", "2.0"),
    }
}

fn weights(version: u64, blue: u32, green: u32) -> Value {
    let split = json!([{"backend": "blue", "weight": blue}, {"backend": "green", "weight": green}]);
    let routes = json!([stream_route(json!({"split": split, "sticky": true}))]);
    let services: Vec<Value> = ["blue", "green"]
        .iter()
        .map(|name| {
            json!({
                "name": name, "healthPath": "/healthz", "maxConns": 630,
                "engine": {"slots": 20, "kvTokens": 554_688, "stride": 1},
            })
        })
        .collect();
    configuration(version, routes, json!(services))
}

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    let answer: Answer =
        Arc::new(|replica, stream, head| stream_events(replica, stream, head, EVENTS, EVENT_PAUSE));
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|i| {
            let identity = Identity {
                id: format!("i-{i}"),
                service: service(i).0.to_owned(),
                version: service(i).1.to_owned(),
                slots: 20,
            };
            Replica::start(
                &format!("{}:0", net.ip(100 + i)),
                &identity,
                Arc::clone(&answer),
            )
        })
        .collect();
    replicas.iter().for_each(|r| r.register(&store));
    store.put("config", "main", weights(1, 95, 5));
    let _first = net.entry(1, store.address);
    let _second = net.entry(2, store.address);
    let _agents: Vec<_> = (0..REPLICAS)
        .zip(&replicas)
        .map(|(i, r)| net.agent(100 + i, store.address, r.address, service(i).0))
        .collect();
    if ![1, 2]
        .iter()
        .all(|host| net.wait_until_ready(*host, Duration::from_secs(15)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));

    let start = Instant::now();
    let entries = [net.front(1), net.front(2)];
    let mut channels = Vec::new();
    let requesters: Vec<_> = (0..STREAMS)
        .map(|i| {
            let mut stream = Stream::new(&format!("q{i}"));
            channels.push(Arc::clone(&stream.channel));
            thread::spawn(move || {
                stream.attempt(entries[0], start);
                for _ in 0..ATTEMPTS {
                    if stream.is_whole || stream.events.is_empty() {
                        break;
                    }
                    thread::sleep(ATTEMPT_PAUSE);
                    stream.attempt(entries[1], start);
                }
                stream
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if case.has_trouble {
        store.put("config", "main", weights(2, 5, 95));
        case.record
            .line(&format!("{:?}: weights 95:5 become 5:95", start.elapsed()));
    }
    thread::sleep(IN_FORCE);
    channels.iter().for_each(|c| break_off(c));
    case.record.line(&format!(
        "{:?}: the requesters' channels break",
        start.elapsed()
    ));
    thread::sleep(Duration::from_millis(500));
    let new: Vec<_> = (0..NEW_STREAMS)
        .map(|i| {
            thread::spawn(move || {
                let mut stream = Stream::new(&format!("n{i}"));
                stream.attempt(entries[1], start);
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
    judge(case, &streams, begun)
}

fn judge(case: &mut Case, streams: &[Stream], begun: usize) -> Verdict {
    let (mut taken_up, mut gone_on) = (0, 0);
    for stream in streams {
        let resumed: Vec<_> = stream.attempts.iter().skip(1).collect();
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
        "of {taken_up} streams taken up at the entry in touch, {gone_on} went on; {begun} of \
         {NEW_STREAMS} new streams began; {whole} of {STREAMS} streams became whole"
    ));
    if begun_share < 0.5 || taken_up < 12 {
        return Verdict::NotRun;
    }
    match share < begun_share / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
