//! A configuration drops a key and a route, adds others, and raises the largest body to 32 MiB.
//! Rule CONFIG.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
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

/// `configMs` of the settings, and a little more.
const IN_FORCE: Duration = Duration::from_millis(3500);
/// The time for which requests are sent after that.
const ROUNDS: usize = 20;
const ROUND: Duration = Duration::from_millis(500);
const RAISED_BODY: u64 = 32 << 20;

fn version(number: u64, path: &str, key: &str, body: u64) -> Value {
    let routes = json!([{
        "name": format!("r-{number}"), "hostname": "a.example", "pathPrefix": path,
        "type": "non_idempotent", "timeoutMs": 3000, "goalMs": 1000, "priority": 0,
        "backend": "desk", "attempts": 1, "public": false,
    }]);
    let services = json!([{"name": "desk", "healthPath": "/healthz", "maxConns": 110}]);
    let mut configuration = configuration(number, routes, services);
    configuration["limits"]["maxBodyBytes"] = json!(body);
    configuration["tenants"][0]["apiKeys"] = json!([key]);
    configuration
}

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let answer: Answer = {
        let ran = Arc::clone(&ran);
        Arc::new(move |replica, stream, head| {
            let id = head.get("request-id").unwrap_or("").to_owned();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n\
                 Content-Length: 2\r\n\r\nok",
                replica.id
            );
            ran.lock().unwrap().push(id);
            stream.write_all(answer.as_bytes()).is_ok()
        })
    };
    let identity = Identity {
        id: "i-0".to_owned(),
        service: "desk".to_owned(),
        version: "v1".to_owned(),
        slots: 20,
    };
    let replica = Replica::start(&format!("{}:0", net.ip(100)), &identity, answer);
    replica.register(&store);
    store.put("config", "main", version(1, "/old/", "old-key", 4 << 20));
    let _entries = [net.entry(1, store.address), net.entry(2, store.address)];
    if ![1, 2]
        .iter()
        .all(|host| net.wait_until_ready(*host, Duration::from_secs(15)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(500));
    let before = request(net.front(1), "/old/a", "old-key", "before");
    if before != 200 {
        return Verdict::NotRun;
    }

    let start = Instant::now();
    let body = match case.has_trouble {
        true => RAISED_BODY,
        false => 4 << 20,
    };
    store.put("config", "main", version(2, "/new/", "new-key", body));
    case.record.line(&format!(
        "version 2 is confirmed: route /new/ and new-key for /old/ and old-key, maxBodyBytes {body}"
    ));
    thread::sleep(IN_FORCE);
    let (mut served, mut wrongly_run, mut wrongly_refused) = (0, 0, 0);
    for round in 0..ROUNDS {
        for entry in [1, 2] {
            let front = net.front(entry);
            let id = format!("old-{round}-{entry}");
            let status = request(front, "/old/a", "old-key", &id);
            let has_run = ran.lock().unwrap().contains(&id);
            wrongly_run += usize::from(has_run);
            case.record.detail(&format!(
                "{:?}: {id} with the dropped route and key: {status}, run: {has_run}",
                start.elapsed()
            ));
            let id = format!("new-{round}-{entry}");
            let status = request(front, "/new/a", "new-key", &id);
            served += usize::from(status == 200);
            wrongly_refused += usize::from(matches!(status, 401 | 403 | 404));
            case.record.detail(&format!(
                "{:?}: {id} with the new route and key: {status}",
                start.elapsed()
            ));
        }
        thread::sleep(ROUND);
    }
    let each = 2 * ROUNDS;
    case.record.line(&format!(
        "from {IN_FORCE:?} after the confirmation (configMs is 3,000): of {each} requests with the \
         dropped route and key {wrongly_run} ran (allowed: 0); of {each} with the new ones {served} were \
         served and {wrongly_refused} refused with 401, 403 or 404 (allowed: 0)"
    ));
    match wrongly_run + wrongly_refused > 0 {
        true => Verdict::Broken,
        false if served == each => Verdict::Held,
        false => Verdict::NotRun,
    }
}

/// Makes a request and returns the status of its answer; 0 without one.
fn request(entry: SocketAddr, path: &str, key: &str, id: &str) -> u16 {
    let exchange = || {
        let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
             Authorization: Bearer {key}\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi"
        );
        stream.write_all(request.as_bytes()).ok()?;
        Some(http::read_head(&mut http::buffered(&stream)?)?.status())
    };
    exchange().unwrap_or(0)
}
