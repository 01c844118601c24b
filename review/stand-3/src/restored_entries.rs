//! Two of ten replicas are cut off from the store until their entries lapse; in a drill, the store
//! comes back from a copy that still has them, and the cut heals. Rule LOST.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

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

/// The replicas of the old version, which are cut off, and those of the new one.
const OLD: u8 = 2;
const NEW: u8 = 8;
const STREAMS: usize = 20;
const NEW_STREAMS: usize = 20;
const EVENTS: u64 = 56;
const EVENT_PAUSE: Duration = Duration::from_millis(250);

/// When, from the first streams on: the cut begins, the copy is made, the new version joins, the
/// entries lapse (three times `heartbeatMs` later), the store comes back from the copy, the cut
/// heals, and the requesters' channels break. The drill ends `touchMs` (4 s) before that.
const CUT: u64 = 600;
const COPY: u64 = 1000;
const JOIN: u64 = 1200;
const LAPSE: u64 = 4200;
const DRILL: u64 = 4800;
const HEAL: u64 = 5000;
const BREAK: u64 = 9400;
/// The requesters' attempts to take a stream up; a refusal asks for 0.5 s.
const ATTEMPTS: usize = 3;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(800);

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    let answer: Answer =
        Arc::new(|replica, stream, head| stream_events(replica, stream, head, EVENTS, EVENT_PAUSE));
    let start_replica = |i: u8, version: &str| {
        let identity = Identity {
            id: format!("i-{i}"),
            service: "pool".to_owned(),
            version: version.to_owned(),
            slots: 12,
        };
        let address = format!("{}:0", net.ip(100 + i));
        Replica::start(&address, &identity, Arc::clone(&answer))
    };
    let mut replicas: Vec<Arc<Replica>> = (0..OLD).map(|i| start_replica(i, "v1")).collect();
    replicas.iter().for_each(|r| r.register(&store));
    let routes = json!([stream_route(json!({"backend": "pool", "sticky": true}))]);
    let services = json!([{
        "name": "pool", "healthPath": "/healthz", "maxConns": 630,
        "engine": {"slots": 12, "kvTokens": 554_688, "stride": 1},
    }]);
    store.put("config", "main", configuration(1, routes, services));
    let mut processes = vec![net.entry(1, store.address), net.entry(2, store.address)];
    for (i, replica) in (0..OLD).zip(&replicas) {
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
    let sleep_until = |millis: u64| {
        thread::sleep(Duration::from_millis(millis).saturating_sub(start.elapsed()));
    };
    let entries = [net.front(1), net.front(2)];
    let mut channels = Vec::new();
    let requesters: Vec<_> = (0..STREAMS)
        .map(|i| {
            let mut stream = Stream::new(&format!("q{i}"));
            channels.push(Arc::clone(&stream.channel));
            thread::spawn(move || {
                stream.attempt(entries[i % 2], start);
                for n in 1..=ATTEMPTS {
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
    sleep_until(CUT);
    // Cut off, they write nothing. An entry that is there does not change by their reports.
    sleep_until(COPY);
    let copy = store.copy();
    sleep_until(JOIN);
    for i in OLD..OLD + NEW {
        let replica = start_replica(i, "v2");
        replica.register(&store);
        processes.push(net.agent(100 + i, store.address, replica.address, "pool"));
        replicas.push(replica);
    }
    if case.has_trouble {
        sleep_until(LAPSE);
        let old = || replicas.iter().take(usize::from(OLD));
        old().for_each(|r| store.delete("servers", &r.id));
        case.record
            .line(&format!("{:?}: the entries of v1 lapse", start.elapsed()));
        sleep_until(DRILL);
        store.restore(&copy);
        case.record.line(&format!(
            "{:?}: the store is back from a copy",
            start.elapsed()
        ));
        sleep_until(HEAL);
        replicas.iter().for_each(|r| r.register(&store));
        case.record
            .line(&format!("{:?}: all replicas report again", start.elapsed()));
    }
    sleep_until(BREAK);
    channels.iter().for_each(|c| break_off(c));
    case.record.line(&format!(
        "{:?}: the requesters' channels break",
        start.elapsed()
    ));
    thread::sleep(ATTEMPT_PAUSE);
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
    let begun_share = begun as f64 / NEW_STREAMS as f64;
    let share = gone_on as f64 / taken_up.max(1) as f64;
    case.record.line(&format!(
        "of {taken_up} streams taken up at machines in touch, {gone_on} went on; {begun} of \
         {NEW_STREAMS} new streams began"
    ));
    if begun_share < 0.5 || taken_up < 12 {
        return Verdict::NotRun;
    }
    match share < begun_share / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
