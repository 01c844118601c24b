//! Entries are stopped with SIGTERM, one after the other, while requesters read their answers
//! slowly. Rule LOST.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::fleet::Net;
use crate::fleet::Process;
use crate::http::Head;
use crate::replica::Answer;
use crate::replica::Identity;
use crate::replica::Replica;
use crate::store::Store;

/// The entries, which are stopped in turn, and the requests that run at each meanwhile.
const ENTRIES: u8 = 8;
const REQUESTS: usize = 4;
/// The size of the answers at the first entry, and by how much it grows with each entry.
const LEAST_BYTES: usize = 190_000;
const STEP_BYTES: usize = 5_500;
/// The time between two stops, and the time that the requests of an entry have begun before.
const GAP: Duration = Duration::from_secs(2);
const LEAD: Duration = Duration::from_secs(1);
/// The bytes that a requester reads in a second, without a pause of over 0.1 s.
const BYTES_PER_SECOND: f64 = 24_000.0;
const READ_BYTES: usize = 2_400;
const TIME_LIMIT: Duration = Duration::from_secs(15);
const GRACE: Duration = Duration::from_secs(8);

struct ReadAnswer {
    id: usize,
    status: u16,
    bytes: usize,
    is_whole: bool,
    ended_after: Duration,
}

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    let served: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let start = Instant::now();
    let answer: Answer = {
        let served = Arc::clone(&served);
        Arc::new(move |replica, stream, head| {
            let is_served = answer_with_bytes(replica, stream, head);
            let id = head.get("request-id").unwrap_or("").to_owned();
            if is_served {
                served.lock().unwrap().push((id, start.elapsed()));
            }
            is_served
        })
    };
    let identity = Identity {
        id: "i-0".to_owned(),
        service: "desk".to_owned(),
        version: "v1".to_owned(),
        slots: 40,
    };
    let replica = Replica::start(&format!("{}:0", net.ip(100)), &identity, answer);
    replica.register(&store);
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "idempotent",
        "timeoutMs": 15_000, "goalMs": 1000, "priority": 0, "backend": "desk", "attempts": 2,
        "public": false,
    }]);
    let services = json!([{"name": "desk", "healthPath": "/healthz", "maxConns": 110}]);
    store.put("config", "main", configuration(1, routes, services));
    let entries: Vec<Process> = (1..=ENTRIES)
        .map(|host| net.entry(host, store.address))
        .collect();
    if !(1..=ENTRIES).all(|host| net.wait_until_ready(host, Duration::from_secs(15))) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(500));

    let has_trouble = case.has_trouble;
    let stops: Vec<_> = (1..=ENTRIES)
        .zip(entries)
        .map(|(host, entry)| {
            let front = net.front(host);
            thread::spawn(move || {
                thread::sleep(GAP * u32::from(host - 1));
                stop_beside_requests(entry, front, usize::from(host) - 1, has_trouble)
            })
        })
        .collect();
    let mut reads = Vec::new();
    for (number, stop) in stops.into_iter().enumerate() {
        let Ok((ended, of_entry)) = stop.join() else {
            return Verdict::NotRun;
        };
        if has_trouble {
            case.record.line(&format!(
                "entry {number} ended {ended:?} after SIGTERM (graceS is 8)"
            ));
        }
        reads.extend(of_entry);
    }
    let served = served.lock().unwrap().clone();
    let requests = usize::from(ENTRIES) * REQUESTS;
    let mut lost = 0;
    for read in &reads {
        let is_served = served.iter().any(|(id, _)| *id == format!("q{}", read.id));
        let is_lost = is_served && !read.is_whole && read.ended_after < TIME_LIMIT;
        lost += usize::from(is_lost);
        case.record.detail(&format!(
            "q{}: status {}, {} of {} bytes of the answer's body and framing read, whole: {}, \
             channel ended after {:?}; the replica had written the whole answer: {is_served}",
            read.id,
            read.status,
            read.bytes,
            answer_bytes(read.id),
            read.is_whole,
            read.ended_after
        ));
    }
    let whole = reads.iter().filter(|r| r.is_whole).count();
    case.record.line(&format!(
        "{requests} requests: {} answered whole by the replica, {whole} read whole, {lost} cut off \
         (allowed: 0)",
        served.len()
    ));
    if served.len() < requests || (!case.has_trouble && whole < requests) {
        return Verdict::NotRun;
    }
    match lost > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Lets requests run at an entry, and stops it beside them. Returns how long after that it has
/// ended, and what the requesters have read.
fn stop_beside_requests(
    mut entry: Process,
    front: SocketAddr,
    number: usize,
    has_trouble: bool,
) -> (Option<Duration>, Vec<ReadAnswer>) {
    let first = number * REQUESTS;
    let requesters: Vec<_> = (first..first + REQUESTS)
        .map(|id| thread::spawn(move || request(front, id)))
        .collect();
    thread::sleep(LEAD);
    let terminated = Instant::now();
    if has_trouble {
        entry.terminate();
    }
    let ended = (has_trouble && entry.wait(GRACE)).then(|| terminated.elapsed());
    let reads = requesters.into_iter();
    let reads = reads.filter_map(|r| r.join().ok().flatten()).collect();
    (ended, reads)
}

/// The size of the answer to a request.
fn answer_bytes(id: usize) -> usize {
    LEAST_BYTES + id / REQUESTS * STEP_BYTES
}

fn answer_with_bytes(replica: &Replica, stream: &mut TcpStream, head: &Head) -> bool {
    let id = head.get("request-id").unwrap_or("");
    let number: usize = id.trim_start_matches('q').parse().unwrap_or(0);
    let body = vec![b'x'; answer_bytes(number)];
    let begin = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\nContent-Length: {}\r\n\r\n",
        replica.id,
        body.len()
    );
    stream.write_all(begin.as_bytes()).is_ok() && stream.write_all(&body).is_ok()
}

/// Makes a request and reads its answer slowly, with a small window, as over a slow link.
fn request(entry: SocketAddr, id: usize) -> Option<ReadAnswer> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(4096).ok()?;
    socket.connect(&entry.into()).ok()?;
    let mut stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(TIME_LIMIT)).ok()?;
    let request = format!(
        "GET /x/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q{id}\r\n\
         Authorization: Bearer key\r\nDeadline-Ms: 15000\r\n\r\n"
    );
    let start = Instant::now();
    stream.write_all(request.as_bytes()).ok()?;
    let (mut bytes, mut buf, mut tail) = (0, [0; READ_BYTES], Vec::new());
    let mut status = 0;
    let mut is_whole = false;
    while let Ok(count) = stream.read(&mut buf) {
        if count == 0 {
            break;
        }
        if bytes == 0 {
            let begin = String::from_utf8_lossy(&buf[..count]).into_owned();
            status = begin
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .unwrap_or(0);
        }
        bytes += count;
        tail.extend_from_slice(&buf[..count]);
        tail.drain(..tail.len().saturating_sub(7));
        is_whole = tail == b"\r\n0\r\n\r\n";
        if is_whole {
            break;
        }
        let due = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        thread::sleep(
            due.saturating_sub(start.elapsed())
                .min(Duration::from_millis(100)),
        );
    }
    Some(ReadAnswer {
        id,
        status,
        bytes,
        is_whole,
        ended_after: start.elapsed(),
    })
}
