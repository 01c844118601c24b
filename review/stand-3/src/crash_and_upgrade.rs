//! All replicas of a plain service crash and start again, under their ids, with a newer
//! software version. Each listens first and registers then. Rule ORDER.

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
use crate::store::Store;
use crate::stream_route;

const REPLICAS: u8 = 4;
const STREAMS: usize = 24;
const EVENTS: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// The time for which the replicas are down.
const DOWN: Duration = Duration::from_millis(1500);
/// The time between two of them coming back.
const BETWEEN: Duration = Duration::from_millis(50);
/// The time from which a replica listens until it has registered: a quarter of `heartbeatMs`.
const REGISTRATION: Duration = Duration::from_millis(300);

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    let answer: Answer =
        Arc::new(|replica, stream, head| stream_events(replica, stream, head, EVENTS, EVENT_PAUSE));
    let identity = |i: u8, version: &str| Identity {
        id: format!("i-{i}"),
        service: "desk".to_owned(),
        version: version.to_owned(),
        slots: 20,
    };
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|i| {
            let address = format!("{}:0", net.ip(100 + i));
            Replica::start(&address, &identity(i, "v1"), Arc::clone(&answer))
        })
        .collect();
    replicas.iter().for_each(|r| r.register(&store));
    let routes = json!([stream_route(json!({"backend": "desk"}))]);
    let services = json!([{"name": "desk", "healthPath": "/healthz", "maxConns": 110}]);
    store.put("config", "main", configuration(1, routes, services));
    let _entries = [net.entry(1, store.address), net.entry(2, store.address)];
    if ![1, 2]
        .iter()
        .all(|host| net.wait_until_ready(*host, Duration::from_secs(15)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));

    let start = Instant::now();
    let requesters: Vec<_> = (0..STREAMS)
        .map(|i| {
            let entry = net.front(1 + (i % 2) as u8);
            thread::spawn(move || {
                let mut stream = Stream::new(&format!("q{i}"));
                stream.has_prompt = false;
                stream.attempt(entry, start);
                stream
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut successors = Vec::new();
    if case.has_trouble {
        case.record
            .line(&format!("{:?}: all replicas crash", start.elapsed()));
        Replica::crash_all(&replicas);
        thread::sleep(DOWN);
        for (i, before) in (0..REPLICAS).zip(&replicas) {
            let address = before.address.to_string();
            let replica = Replica::start(&address, &identity(i, "v2"), Arc::clone(&answer));
            let (id, at) = (&replica.id, start.elapsed());
            case.record
                .line(&format!("{at:?}: {id} listens again, with v2"));
            let (registering, store) = (Arc::clone(&replica), Arc::clone(&store));
            thread::spawn(move || {
                thread::sleep(REGISTRATION);
                registering.register(&store);
            });
            successors.push(replica);
            thread::sleep(BETWEEN);
        }
    }
    let streams: Vec<Stream> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok())
        .collect();
    drop(successors);
    let mut mixed = 0;
    for stream in &streams {
        let writers = stream.writers();
        mixed += usize::from(writers.len() > 1);
        case.record.detail(&format!(
            "{}: {} events, whole: {}, written by: {}; {:?}",
            stream.id,
            stream.events.len(),
            stream.is_whole,
            writers.join(", "),
            stream.attempts
        ));
    }
    let whole = streams.iter().filter(|s| s.is_whole).count();
    let begun = streams.iter().filter(|s| !s.events.is_empty()).count();
    case.record.line(&format!(
        "{STREAMS} streams: {begun} begun, {whole} whole, {mixed} with events of two versions \
         in one answer (allowed: 2)"
    ));
    if begun < STREAMS / 2 || (!case.has_trouble && whole < STREAMS) {
        return Verdict::NotRun;
    }
    match mixed > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
