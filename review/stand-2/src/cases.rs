//! The cases.

mod early_ends;
mod eclipse;
mod few_links;
mod first_part;
mod limits;
mod lost_entry;
mod rebirth;
mod resumed;
mod routes;
mod split;
mod stop;
mod tenant;
mod unreadable;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::Verdict;
use crate::client::HOST;
use crate::client::KEY;
use crate::client::Request;
use crate::record::Record;
use crate::server::Server;
use crate::server::Spec;
use crate::store::Store;
use crate::system;
use crate::system::Network;

pub fn run(case: &str, path: &str, is_troubled: bool) -> Verdict {
    let world = World::new(path);
    world
        .record
        .line(&format!("case {case}, trouble {is_troubled}"));
    let verdict = match case {
        "rebirth" => rebirth::run(&world, is_troubled),
        "routes" => routes::run(&world, is_troubled),
        "lost-entry" => lost_entry::run(&world, is_troubled),
        "unreadable" => unreadable::run(&world, is_troubled),
        "limits" => limits::run(&world, is_troubled),
        "tenant" => tenant::run(&world, is_troubled),
        "stop" => stop::run(&world, is_troubled),
        "first-part" => first_part::run(&world, is_troubled),
        "few-links" => few_links::run(&world, is_troubled),
        "split" => split::run(&world, is_troubled),
        "early-ends" => early_ends::run(&world, is_troubled),
        "eclipse" => eclipse::run(&world, is_troubled),
        _ => Verdict::CouldNotRun,
    };
    let text = match verdict {
        Verdict::Held => "the rule held",
        Verdict::Broken => "the rule was broken",
        Verdict::CouldNotRun => "the case could not run",
    };
    world.say(text);
    system::end_all();
    if std::env::var("KEEP_FOLDER").is_err() {
        let _ = std::fs::remove_dir_all(&world.network.folder);
    }
    verdict
}

/// What a case runs in.
pub struct World {
    pub network: Network,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
}

impl World {
    fn new(path: &str) -> Self {
        let network = Network::new();
        let store = Store::start(&network.ip(250));
        Self {
            network,
            store,
            record: Arc::new(Record::create(path)),
        }
    }

    /// Records and prints a line.
    pub fn say(&self, text: &str) {
        self.record.line(text);
        println!("{text}");
    }

    pub fn configure(&self, version: u64, routes: &[Value], services: &[Value]) {
        let configuration = json!({
            "version": version, "routes": routes, "backends": services,
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
                "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
            "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1, "unit": "token",
                "plainTokens": 200, "ratePerS": 0, "burst": 0}],
        });
        self.store.put("config", "main", &configuration);
        self.record.line(&format!("configuration {configuration}"));
    }

    pub fn spec(&self, machine: u8, service: &str, version: &str, is_engine: bool) -> Spec {
        Spec {
            id: format!("i-{machine:02}"),
            address: self.network.app(machine),
            service: service.to_owned(),
            zone: "a".to_owned(),
            version: version.to_owned(),
            is_engine,
            events: 50,
            pause: Duration::from_millis(100),
            is_unframed: false,
            break_one_in: 0,
        }
    }

    /// Starts a replica that registers at once.
    pub fn start_server(&self, spec: Spec) -> Arc<Server> {
        Server::start(spec, Duration::ZERO, &self.store, &self.record)
    }

    /// Starts entries and waits until they are ready, and some time longer.
    pub fn start_entries(&self, machines: &[u8]) -> bool {
        for machine in machines {
            self.network.start_entry(*machine, "a", self.store.address);
        }
        let ready = machines.iter().all(|m| self.network.wait_until_ready(*m));
        std::thread::sleep(Duration::from_secs(4));
        self.record.line(&format!("entries ready: {ready}"));
        ready
    }
}

/// A plain service, which runs no model.
pub fn plain_service(name: &str) -> Value {
    json!({"name": name, "healthPath": "/healthz", "maxConns": 110, "proto": "h1", "tls": false})
}

/// A service of model replicas.
pub fn engine_service(name: &str) -> Value {
    json!({"name": name, "healthPath": "/healthz", "maxConns": 630, "proto": "h1", "tls": false,
        "engine": {"slots": 12, "kvTokens": 554_688, "kvBytes": 18_432, "linkMbps": 180_000.0,
            "moves": true, "backups": true, "stride": 5, "most": 12, "pinMs": 4_000.0,
            "holdMs": 2_000.0, "handleS": 5.0, "models": [{"name": "m"}]}})
}

/// A route of resumable streams. `target` holds its `backend` or its `split`.
pub fn stream_route(name: &str, prefix: &str, target: &Value) -> Value {
    let mut route = json!({
        "name": name, "hostname": HOST, "pathPrefix": prefix, "type": "stream",
        "timeoutMs": 15_000, "goalMs": 800, "priority": 0, "attempts": 2, "public": false,
        "sticky": true, "resumable": true, "gapGoalMs": 400,
    });
    for (field, value) in target.as_object().into_iter().flatten() {
        route[field] = value.clone();
    }
    route
}

/// A request for a stream.
pub fn stream_request(path: &str, id: &str) -> Request {
    Request {
        method: "POST",
        path: path.to_owned(),
        id: id.to_owned(),
        deadline: Duration::from_secs(15),
        gap: Duration::from_secs(15),
        resumes: None,
        is_prompt: true,
        part: None,
        body: format!("the prompt of {id}").into_bytes(),
    }
}

/// Sends a request until it is answered with 200, so that all is known to work.
pub fn is_served(world: &World, front: SocketAddr, request: &Request) -> bool {
    for number in 0..50 {
        let mut request = request.clone();
        request.id = format!("{}-{number}", request.id);
        let got = request.send(front, Some(1), &world.record);
        if got.status == 200 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}
