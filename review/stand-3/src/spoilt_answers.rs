//! Two of four replicas spoil one in 50 of their answers: bytes of their own stand in the place
//! of the answer, with neither its `Request-Id` nor its `Server-Stamp`. Rule MIXED.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::fleet::Net;
use crate::http;
use crate::replica::Answer;
use crate::replica::Identity;
use crate::replica::Replica;
use crate::store::Store;

const REPLICAS: u8 = 4;
const SPOILING: u8 = 2;
const ONE_IN: usize = 50;
const REQUESTERS: usize = 16;
const REQUESTS: usize = 120;
/// The time that a request takes.
const WORK: Duration = Duration::from_millis(30);
const BODY: &str = "the answer of the replica";

/// What a requester got.
struct Got {
    id: String,
    status: u16,
    stamp: Option<String>,
    body: String,
}

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    let spoilt = Arc::new(AtomicUsize::new(0));
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|i| {
            let spoils = case.has_trouble && i < SPOILING;
            let (count, spoilt) = (AtomicUsize::new(0), Arc::clone(&spoilt));
            let answer: Answer = Arc::new(move |replica, stream, head| {
                thread::sleep(WORK);
                let number = count.fetch_add(1, Ordering::SeqCst);
                if spoils && number % ONE_IN == ONE_IN / 10 {
                    spoilt.fetch_add(1, Ordering::SeqCst);
                    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    return stream.write_all(bytes).is_ok();
                }
                let id = head.get("request-id").unwrap_or("");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n\
                     Content-Length: {}\r\n\r\n{BODY}",
                    replica.id,
                    BODY.len()
                );
                stream.write_all(answer.as_bytes()).is_ok()
            });
            let identity = Identity {
                id: format!("i-{i}"),
                service: "desk".to_owned(),
                version: "v1".to_owned(),
                slots: 6,
            };
            Replica::start(&format!("{}:0", net.ip(100 + i)), &identity, answer)
        })
        .collect();
    replicas.iter().for_each(|r| r.register(&store));
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "idempotent",
        "timeoutMs": 3000, "goalMs": 1000, "priority": 0, "backend": "desk", "attempts": 2,
        "public": false,
    }]);
    let services = json!([{"name": "desk", "healthPath": "/healthz", "maxConns": 110}]);
    store.put("config", "main", configuration(1, routes, services));
    let _entries = [net.entry(1, store.address), net.entry(2, store.address)];
    if ![1, 2]
        .iter()
        .all(|host| net.wait_until_ready(*host, Duration::from_secs(15)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(500));

    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|i| {
            let entry = net.front(1 + (i % 2) as u8);
            thread::spawn(move || {
                let requests = (0..REQUESTS).filter_map(|n| {
                    thread::sleep(Duration::from_millis(5));
                    request(entry, &format!("q{i}-{n}"))
                });
                requests.collect::<Vec<Got>>()
            })
        })
        .collect();
    let got: Vec<Got> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok())
        .flatten()
        .collect();
    let mut unstamped = 0;
    for answer in &got {
        let is_success = (200..300).contains(&answer.status);
        let is_wrong = is_success && (answer.stamp.is_none() || answer.body != BODY);
        unstamped += usize::from(is_wrong);
        case.record.detail(&format!(
            "{}: {}, stamp {:?}, body {:?}{}",
            answer.id,
            answer.status,
            answer.stamp,
            answer.body,
            if is_wrong { ": WRONG" } else { "" }
        ));
    }
    let successes = got.iter().filter(|g| g.status == 200).count();
    let spoilt = spoilt.load(Ordering::SeqCst);
    case.record.line(&format!(
        "{} requests: {successes} successes; the replicas spoilt {spoilt} answers, and {unstamped} \
         requesters got a success without the replica's stamp and body (allowed: 0)",
        REQUESTERS * REQUESTS
    ));
    if successes < REQUESTERS * REQUESTS * 9 / 10 || (case.has_trouble && spoilt == 0) {
        return Verdict::NotRun;
    }
    match unstamped > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn request(entry: SocketAddr, id: &str) -> Option<Got> {
    let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let request = format!(
        "GET /x/{id} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
         Authorization: Bearer key\r\nDeadline-Ms: 3000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = http::buffered(&stream)?;
    let head = http::read_head(&mut reader)?;
    let mut body = Vec::new();
    match head.get("transfer-encoding") {
        Some(_) => loop {
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        },
        None => body = http::read_sized(&mut reader, &head)?,
    }
    Some(Got {
        id: id.to_owned(),
        status: head.status(),
        stamp: head.get("server-stamp").map(str::to_owned),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
