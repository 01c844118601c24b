//! All processes of the system are killed in a drill: the store is away for a moment and comes
//! back from a copy that was made before a new software version joined. Requesters take their
//! streams up before the replicas of that version have written their entries again. Rule ORDER.

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

const REPLICAS: u8 = 6;
const OLD: u8 = 2;
const STREAMS: usize = 36;
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(250);
/// From the copy to the new version, from there to the streams, and then to the kill.
const JOIN: Duration = Duration::from_millis(300);
const BEGIN: Duration = Duration::from_millis(2500);
const KILL: Duration = Duration::from_millis(2000);
/// The time for which the store is away, and from its return to the start of the processes.
const AWAY: Duration = Duration::from_millis(700);
const RESTART: Duration = Duration::from_millis(100);
/// From the store's return to the next liveness report of each replica; less than
/// `heartbeatMs`, and than the two seconds after which entries are back.
const REPORT: Duration = Duration::from_millis(1100);
/// The requesters' attempts, after the break; a refusal asks for 0.5 s.
const ATTEMPTS: usize = 3;
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
                version: if i < OLD { "v1" } else { "v2" }.to_owned(),
                slots: 7,
            };
            let address = format!("{}:0", net.ip(100 + i));
            Replica::start(&address, &identity, Arc::clone(&answer))
        })
        .collect();
    let (old, new) = replicas.split_at(usize::from(OLD));
    old.iter().for_each(|r| r.register(&store));
    let routes = json!([stream_route(json!({"backend": "pool", "sticky": true}))]);
    let services = json!([{
        "name": "pool", "healthPath": "/healthz", "maxConns": 630,
        "engine": {"slots": 7, "kvTokens": 554_688, "stride": 1},
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
    let copy = store.copy();
    thread::sleep(JOIN);
    new.iter().for_each(|r| r.register(&store));
    thread::sleep(BEGIN);

    let start = Instant::now();
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
    thread::sleep(KILL);
    let mut note = |text: &str| case.record.line(&format!("{:?}: {text}", start.elapsed()));
    if case.has_trouble {
        store.go_away();
        processes.iter_mut().for_each(Process::kill);
        note("the store is away, and all processes are killed");
        thread::sleep(AWAY);
        store.restore(&copy);
        note("the store is back from the copy");
        thread::sleep(RESTART);
        processes.iter_mut().for_each(Process::restart);
        note("all processes are started again");
        thread::sleep(REPORT - RESTART);
        replicas.iter().for_each(|r| r.register(&store));
        note("all replicas have reported again");
    } else {
        channels.iter().for_each(|c| break_off(c));
        note("the requesters' channels break");
    }
    let streams: Vec<Stream> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok())
        .collect();
    judge(case, &streams)
}

fn judge(case: &mut Case, streams: &[Stream]) -> Verdict {
    let mut mixed = 0;
    for stream in streams {
        mixed += usize::from(stream.writers().len() > 1);
        case.record.detail(&format!(
            "{}: {} events, whole: {}, written by: {}; {:?}",
            stream.id,
            stream.events.len(),
            stream.is_whole,
            stream.writers().join(", "),
            stream.attempts
        ));
    }
    let begun = streams.iter().filter(|s| !s.events.is_empty()).count();
    let whole = streams.iter().filter(|s| s.is_whole).count();
    case.record.line(&format!(
        "{STREAMS} streams: {begun} begun, {whole} whole, {mixed} with events of two versions over \
         their requesters' attempts (allowed: 2)"
    ));
    if begun < STREAMS / 2 || (!case.has_trouble && whole < STREAMS) {
        return Verdict::NotRun;
    }
    match mixed > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
