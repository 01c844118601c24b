//! A probe that is no case of the review. CONFIG: a version of the configuration raises
//! `maxBodyBytes` to 32 MiB and takes a key away. It never comes into force.

use std::time::Duration;

use serde_json::json;

use super::World;
use super::is_served;
use super::plain_service;
use crate::Verdict;
use crate::client::HOST;
use crate::client::KEY;
use crate::client::Request;

const ENTRIES: [u8; 2] = [1, 2];
const REQUESTS: usize = 10;

/// `configMs`, and `touchMs` after it.
const IN_FORCE: Duration = Duration::from_secs(5);

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let configure = |version: u64, body_bytes: u64, keys: &[&str]| {
        let route = json!({"name": "r-8m82thh", "hostname": HOST, "pathPrefix": "/puxa403/",
            "type": "non_idempotent", "timeoutMs": 3_000, "goalMs": 300, "priority": 1,
            "backend": "wuno96b", "attempts": 1, "public": false});
        let configuration = json!({
            "version": version, "routes": [route], "backends": [plain_service("wuno96b")],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": body_bytes,
                "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
            "tenants": [{"name": "hule930", "apiKeys": keys, "priority": 1, "unit": "token",
                "plainTokens": 200, "ratePerS": 0, "burst": 0}],
        });
        world.store.put("config", "main", &configuration);
        world.record.line(&format!("configuration {configuration}"));
    };
    configure(7, 4 << 20, &[KEY, "n2ctnfzs989anu6wsjnb"]);
    let _servers =
        [21, 22].map(|machine| world.start_server(world.spec(machine, "wuno96b", "v1", false)));
    if !world.start_entries(&ENTRIES) {
        return Verdict::CouldNotRun;
    }
    let request = |id: &str| Request {
        method: "POST",
        path: "/puxa403/2f".to_owned(),
        id: id.to_owned(),
        deadline: Duration::from_secs(3),
        gap: Duration::from_secs(3),
        resumes: None,
        is_prompt: false,
        part: None,
        body: b"an entry of the log".to_vec(),
    };
    if !is_served(world, world.network.front(1), &request("warm")) {
        return Verdict::CouldNotRun;
    }
    let body_bytes = if is_troubled { 32 << 20 } else { 8 << 20 };
    configure(9, body_bytes, &["n2ctnfzs989anu6wsjnb"]);
    std::thread::sleep(IN_FORCE);
    let mut served = 0;
    for number in 0..REQUESTS {
        let front = world.network.front(ENTRIES[number % 2]);
        let got = request(&format!("log-{number}")).send(front, None, &world.record);
        served += usize::from(got.status == 200);
    }
    world.say(&format!(
        "{served} of {REQUESTS} requests with the dropped key were run"
    ));
    match served {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
