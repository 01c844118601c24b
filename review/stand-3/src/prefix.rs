//! A configuration adds a route with the prefix `/orders/` to a service of its own, beside one
//! with the prefix `/`. Requests for `/orders`, which only `/` begins, go on. Rule ROUTE.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

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
const ROUNDS: usize = 20;
const TARGETS: [&str; 2] = ["/orders", "/orders?page=2"];

fn version(number: u64, prefixes: &[(&str, &str)]) -> Value {
    let routes: Vec<Value> = prefixes
        .iter()
        .map(|(prefix, service)| {
            json!({
                "name": format!("r-{service}"), "hostname": "a.example", "pathPrefix": prefix,
                "type": "non_idempotent", "timeoutMs": 3000, "goalMs": 1000, "priority": 0,
                "backend": service, "attempts": 1, "public": false,
            })
        })
        .collect();
    let services = json!([
        {"name": "shop", "healthPath": "/healthz", "maxConns": 110},
        {"name": "orders", "healthPath": "/healthz", "maxConns": 110},
    ]);
    configuration(number, json!(routes), services)
}

pub fn run(case: &mut Case) -> Verdict {
    let net = Net::new();
    let store = Store::start(&net.ip(250));
    // The service and the target of each request that has run.
    let ran: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let answer: Answer = {
        let ran = Arc::clone(&ran);
        Arc::new(move |replica, stream, head| {
            let id = head.get("request-id").unwrap_or("");
            let target = head.method_and_target().1.to_owned();
            ran.lock().unwrap().push((replica.service.clone(), target));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n\
                 Content-Length: 2\r\n\r\nok",
                replica.id
            );
            stream.write_all(answer.as_bytes()).is_ok()
        })
    };
    let _replicas: Vec<Arc<Replica>> = ["shop", "orders"]
        .iter()
        .zip(0..)
        .map(|(service, i)| {
            let identity = Identity {
                id: format!("i-{service}"),
                service: (*service).to_owned(),
                version: "v1".to_owned(),
                slots: 20,
            };
            let address = format!("{}:0", net.ip(100 + i));
            let replica = Replica::start(&address, &identity, Arc::clone(&answer));
            replica.register(&store);
            replica
        })
        .collect();
    store.put("config", "main", version(1, &[("/", "shop")]));
    let _entries = [net.entry(1, store.address), net.entry(2, store.address)];
    if ![1, 2]
        .iter()
        .all(|host| net.wait_until_ready(*host, Duration::from_secs(15)))
    {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(500));
    if case.has_trouble {
        let prefixes = [("/", "shop"), ("/orders/", "orders")];
        store.put("config", "main", version(2, &prefixes));
        case.record
            .line("version 2 adds the prefix /orders/ for the service orders");
    }
    thread::sleep(IN_FORCE);
    let mut served = 0;
    for round in 0..ROUNDS {
        for (host, target) in [
            (1, TARGETS[0]),
            (2, TARGETS[0]),
            (1, TARGETS[1]),
            (2, TARGETS[1]),
        ] {
            let id = format!("q{round}-{host}-{}", target.len());
            let status = request(net.front(host), target, &id);
            served += usize::from(status == 200);
            case.record
                .detail(&format!("{id}: POST {target}: {status}"));
        }
    }
    let ran = ran.lock().unwrap().clone();
    let of = |service: &str| ran.iter().filter(|(s, _)| s == service).count();
    let (shop, orders) = (of("shop"), of("orders"));
    case.record.line(&format!(
        "{} requests for {TARGETS:?}: {served} served, {shop} run by the service shop, {orders} by \
         the service orders (allowed: 0)",
        4 * ROUNDS
    ));
    match (orders > 0, served) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::NotRun,
        (false, _) => Verdict::Held,
    }
}

fn request(entry: SocketAddr, target: &str, id: &str) -> u16 {
    let exchange = || {
        let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
             Authorization: Bearer key\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi"
        );
        stream.write_all(request.as_bytes()).ok()?;
        Some(http::read_head(&mut http::buffered(&stream)?)?.status())
    };
    exchange().unwrap_or(0)
}
