//! ROUTE: a request whose path is a prefix without its last slash. No route's prefix begins it
//! but that of the whole host.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use super::World;
use super::is_served;
use super::plain_service;
use crate::Verdict;
use crate::client::HOST;
use crate::client::Request;

const ENTRIES: [u8; 2] = [1, 2];
const REQUESTS: usize = 10;

/// A route below a prefix that is taken away, and the route of all other paths.
const PREFIX: &str = "/puxa403/";

fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({"name": name, "hostname": HOST, "pathPrefix": prefix, "type": "non_idempotent",
        "timeoutMs": 3_000, "goalMs": 300, "priority": 1, "backend": service, "attempts": 1,
        "public": false})
}

fn request(path: &str, id: &str) -> Request {
    Request {
        method: "POST",
        path: path.to_owned(),
        id: id.to_owned(),
        deadline: Duration::from_secs(3),
        gap: Duration::from_secs(3),
        resumes: None,
        is_prompt: false,
        part: None,
        body: b"an entry of the log".to_vec(),
    }
}

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let routes = [
        route("r-8m82thh", "/", "wuno96b"),
        route("r-26tta82", PREFIX, "huvo11a"),
    ];
    let services = [plain_service("wuno96b"), plain_service("huvo11a")];
    world.configure(7, &routes, &services);
    let _servers = [
        world.start_server(world.spec(21, "wuno96b", "v1", false)),
        world.start_server(world.spec(22, "huvo11a", "v1", false)),
    ];
    if !world.start_entries(&ENTRIES) {
        return Verdict::CouldNotRun;
    }
    let front = world.network.front(1);
    for path in ["/other/2f", "/puxa403/2f"] {
        if !is_served(world, front, &request(path, "warm")) {
            return Verdict::CouldNotRun;
        }
    }
    let (mut right, mut wrong) = (0, 0);
    for number in 0..REQUESTS {
        let front = world.network.front(ENTRIES[number % 2]);
        let (path, expected) = match (is_troubled, number % 2) {
            (true, _) => ("/puxa403", "wuno96b"),
            (false, 0) => ("/puxa404", "wuno96b"),
            (false, _) => (PREFIX, "huvo11a"),
        };
        let got = request(path, &format!("log-{number}")).send(front, None, &world.record);
        if got.status == 200 {
            let is_right = got.body.starts_with(expected);
            world
                .record
                .line(&format!("expected {expected}, answered by {}", got.body));
            *(if is_right { &mut right } else { &mut wrong }) += 1;
        }
    }
    world.say(&format!(
        "{right} requests were run by the service of their route, {wrong} by another"
    ));
    match (right, wrong) {
        (_, 1..) => Verdict::Broken,
        (REQUESTS, 0) => Verdict::Held,
        _ => Verdict::CouldNotRun,
    }
}
