//! A probe that is no case of the review. LOST: entries of another writer in the store, of a service
//! that isn't named, at the addresses of sound replicas.

use std::time::Duration;
use std::time::SystemTime;

use serde_json::json;

use super::World;
use super::engine_service;
use super::is_served;
use super::resumed;
use super::resumed::Plan;
use super::stream_request;
use super::stream_route;
use crate::Verdict;

const ENTRIES: [u8; 2] = [1, 2];
const OLD: [u8; 2] = [21, 22];
const NEW: [u8; 2] = [23, 24];

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let target = json!({"backend": "huvo11a"});
    let route = stream_route("r-26tta82", "/s/lohu930/", &target);
    world.configure(7, &[route], &[engine_service("huvo11a")]);
    let start = |machine: u8, version: &str| {
        let spec = world.spec(machine, "huvo11a", version, true);
        world
            .network
            .start_agent(machine, "a", "huvo11a", world.store.address);
        world.start_server(spec)
    };
    let _servers: Vec<_> = OLD.into_iter().map(|m| start(m, "v1")).collect();
    if !world.start_entries(&ENTRIES) {
        return Verdict::CouldNotRun;
    }
    for machine in ENTRIES {
        let warm = stream_request("/s/lohu930/2f", &format!("warm-{machine}"));
        if !is_served(world, world.network.front(machine), &warm) {
            return Verdict::CouldNotRun;
        }
    }
    let plan = Plan {
        path: "/s/lohu930/2f",
        first: 1,
        second: 2,
        streams: 20,
        pause: Duration::from_millis(20),
        break_after: Some(40),
        label: "stream",
    };
    let counts = std::thread::scope(|scope| {
        let played = scope.spawn(|| resumed::play(world, &plan));
        std::thread::sleep(Duration::from_secs(1));
        let _servers: Vec<_> = NEW.into_iter().map(|m| start(m, "v2")).collect();
        std::thread::sleep(Duration::from_secs(1));
        if is_troubled {
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let now = now.map_or(0, |t| t.as_millis() as u64);
            for machine in OLD {
                let spec = world.spec(machine, "other-fleet", "v1", true);
                let entry = json!({
                    "backend": spec.service, "addr": spec.address.to_string(), "zone": "a",
                    "version": "7", "slots": 4, "state": "ready", "seq": 1,
                    "born": now,
                });
                world.store.put("servers", &format!("x-{machine}"), &entry);
                world
                    .record
                    .line(&format!("entry of another writer: {entry}"));
            }
        }
        played.join()
    });
    counts.map_or(Verdict::CouldNotRun, |counts| counts.verdict(world))
}
