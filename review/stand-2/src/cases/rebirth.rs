//! ORDER: a replica of a plain service crashes and starts again under its `id`, with the next
//! version of its software. Streams that its earlier run began go on at it.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::World;
use super::is_served;
use super::plain_service;
use super::stream_request;
use super::stream_route;
use crate::Verdict;
use crate::client::Got;
use crate::server::Server;

const ENTRIES: [u8; 2] = [1, 2];
const STREAMS: usize = 16;

/// How long the replica is down.
const DOWN: Duration = Duration::from_millis(500);

/// The time after which the replica registers, once it listens: a part of one `heartbeatMs`.
const REGISTERS_AFTER: Duration = Duration::from_millis(200);

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let target = json!({"backend": "wuno96b"});
    let route = stream_route("r-26tta82", "/s/lohu930/", &target);
    world.configure(7, &[route], &[plain_service("wuno96b")]);
    let old = world.start_server(world.spec(21, "wuno96b", "v1", false));
    if !world.start_entries(&ENTRIES) {
        return Verdict::CouldNotRun;
    }
    if !is_served(
        world,
        world.network.front(1),
        &stream_request("/s/lohu930/2f", "warm"),
    ) {
        return Verdict::CouldNotRun;
    }
    // The other replica of the service already runs the next version.
    let streams = start_streams(world);
    std::thread::sleep(Duration::from_millis(1_500));
    let _next = world.start_server(world.spec(22, "wuno96b", "v2", false));
    std::thread::sleep(Duration::from_millis(1_000));
    let mut reborn = None;
    if is_troubled {
        old.crash();
        std::thread::sleep(DOWN);
        let spec = world.spec(21, "wuno96b", "v2", false);
        reborn = Some(Server::start(
            spec,
            REGISTERS_AFTER,
            &world.store,
            &world.record,
        ));
    }
    let got: Vec<Got> = streams.into_iter().filter_map(|s| s.join().ok()).collect();
    drop(reborn);
    let mixed = got.iter().filter(|g| g.words(1).len() > 1).count();
    let whole = got.iter().filter(|g| g.is_complete).count();
    for got in &got {
        world.record.line(&format!(
            "versions {:?}, complete {}",
            got.words(1),
            got.is_complete
        ));
    }
    world.say(&format!(
        "{mixed} of {STREAMS} streams hold events of two versions, {whole} are whole"
    ));
    match () {
        () if got.len() < STREAMS || got.iter().any(|g| g.events.len() < 5) => Verdict::CouldNotRun,
        // The rule allows two.
        () if mixed > 2 => Verdict::Broken,
        () => Verdict::Held,
    }
}

fn start_streams(world: &World) -> Vec<std::thread::JoinHandle<Got>> {
    let streams = (0..STREAMS).map(|number| {
        let record = Arc::clone(&world.record);
        let front = world.network.front(ENTRIES[number % 2]);
        let request = stream_request("/s/lohu930/2f", &format!("stream-{number}"));
        std::thread::spawn(move || request.send(front, None, &record))
    });
    streams.collect()
}
