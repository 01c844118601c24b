//! ORDER: model replicas that break off some of their streams between two events. Streams have
//! neither a length nor chunks, and some of the ends are told as the whole stream.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::World;
use super::engine_service;
use super::is_served;
use super::stream_request;
use super::stream_route;
use crate::Verdict;
use crate::client::Got;

const ENTRIES: [u8; 4] = [1, 2, 3, 4];

/// The replicas, and how many of them break off one in fifty of their answers: a share of 0.5.
const REPLICAS: [u8; 4] = [21, 22, 23, 24];
const BREAKING: usize = 2;
const BREAK_ONE_IN: u64 = 50;

/// The events of a whole stream.
const EVENTS: u64 = 10;

const REQUESTS: usize = 2_000;
const PAUSE: Duration = Duration::from_millis(20);

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let target = json!({"backend": "huvo11a"});
    let route = stream_route("r-26tta82", "/s/lohu930/", &target);
    world.configure(7, &[route], &[engine_service("huvo11a")]);
    let mut servers = Vec::new();
    for (number, machine) in REPLICAS.into_iter().enumerate() {
        let mut spec = world.spec(machine, "huvo11a", "v1", true);
        spec.events = EVENTS;
        spec.pause = Duration::from_millis(20);
        spec.is_unframed = true;
        if is_troubled && number < BREAKING {
            spec.break_one_in = BREAK_ONE_IN;
        }
        world
            .network
            .start_agent(machine, "a", "huvo11a", world.store.address);
        servers.push(world.start_server(spec));
    }
    if !world.start_entries(&ENTRIES) {
        return Verdict::CouldNotRun;
    }
    for machine in ENTRIES {
        let warm = stream_request("/s/lohu930/x", &format!("warm-{machine}"));
        if !is_served(world, world.network.front(machine), &warm) {
            return Verdict::CouldNotRun;
        }
    }
    let mut requesters = Vec::new();
    for number in 0..REQUESTS {
        let record = Arc::clone(&world.record);
        let front = world.network.front(ENTRIES[number % ENTRIES.len()]);
        requesters.push(std::thread::spawn(move || {
            let id = format!("stream-{number}");
            stream_request("/s/lohu930/x", &id).send(front, None, &record)
        }));
        std::thread::sleep(PAUSE);
    }
    let got: Vec<Got> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok())
        .collect();
    let is_whole = |got: &Got| got.last_event() == Some(EVENTS);
    let ended = got.iter().filter(|g| g.status == 200 && g.is_complete);
    let early = ended.clone().filter(|g| !is_whole(g)).count();
    let whole = ended.filter(|g| is_whole(g)).count();
    world.say(&format!(
        "{whole} of {} streams are whole, {early} were told as whole before their last event",
        got.len()
    ));
    match (whole * 2 > got.len(), early) {
        (_, 1..) => Verdict::Broken,
        (true, 0) => Verdict::Held,
        (false, 0) => Verdict::CouldNotRun,
    }
}
