//! LOST: a part of prompts crashes replicas from the first requests on. Not only this part is
//! kept from replicas, but also the first part, which all requests of the route share.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::World;
use super::engine_service;
use super::stream_request;
use super::stream_route;
use crate::Verdict;
use crate::client::Request;
use crate::server::CRASHING_PART;
use crate::server::Server;

const ENTRIES: [u8; 2] = [1, 2];
const FIRST_REPLICA: u8 = 21;
const REPLICAS: u8 = 9;
const PATH: &str = "/s/lohu930/2f";

/// The time after which a replica is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// The time in which requests with the part come, and the whole time of the requests.
const CRASHING_TIME: Duration = Duration::from_secs(30);
const WHOLE_TIME: Duration = Duration::from_secs(70);

/// The first requests with the part come together.
const BATCH: usize = 24;

/// The time between two requests of each kind.
const PAUSE: Duration = Duration::from_millis(500);

/// 2 x `touchMs`, after which the rule counts.
const SETTLED: Duration = Duration::from_secs(6);

/// When the requests are sent that are compared with: nothing has crashed for long.
const CALM_FROM: Duration = Duration::from_secs(52);

/// A sound request: when it was sent, and whether it began at the first attempt.
type Sound = (Duration, bool);

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let target = json!({"backend": "huvo11a"});
    let route = stream_route("r-26tta82", "/s/lohu930/", &target);
    world.configure(7, &[route], &[engine_service("huvo11a")]);
    let mut servers = Vec::new();
    for machine in FIRST_REPLICA..FIRST_REPLICA + REPLICAS {
        let mut spec = world.spec(machine, "huvo11a", "v1", true);
        spec.events = 40;
        world
            .network
            .start_agent(machine, "a", "huvo11a", world.store.address);
        servers.push(world.start_server(spec));
    }
    if !world.start_entries(&ENTRIES) {
        return Verdict::CouldNotRun;
    }
    let started = Instant::now();
    let crashes = Arc::new(Mutex::new(Vec::new()));
    for server in servers {
        let (store, record) = (Arc::clone(&world.store), Arc::clone(&world.record));
        let crashes = Arc::clone(&crashes);
        std::thread::spawn(move || {
            let mut server = server;
            loop {
                while server.is_alive() {
                    std::thread::sleep(Duration::from_millis(2));
                }
                crashes.lock().expect("crashes").push(started.elapsed());
                std::thread::sleep(BACK_AFTER);
                server = Server::start(server.spec.clone(), Duration::ZERO, &store, &record);
            }
        });
    }
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let mut requesters = Vec::new();
    let mut number = 0;
    while started.elapsed() < WHOLE_TIME {
        let front = world.network.front(ENTRIES[number % 2]);
        let crashing = match started.elapsed() {
            _ if !is_troubled => 0,
            _ if number == 0 => BATCH,
            elapsed => usize::from(elapsed < CRASHING_TIME),
        };
        for of_batch in 0..crashing {
            let front = world.network.front(ENTRIES[of_batch % 2]);
            let mut request = stream_request(PATH, &format!("crashing-{number}-{of_batch}"));
            request.part = Some(CRASHING_PART);
            let record = Arc::clone(&world.record);
            std::thread::spawn(move || request.send(front, None, &record));
        }
        std::thread::sleep(PAUSE / 2);
        let request: Request = stream_request(PATH, &format!("sound-{number}"));
        let (record, sound) = (Arc::clone(&world.record), Arc::clone(&sound));
        requesters.push(std::thread::spawn(move || {
            let sent = started.elapsed();
            let got = request.send(front, None, &record);
            let has_begun = got.status == 200 && !got.events.is_empty();
            sound.lock().expect("requests").push((sent, has_begun));
        }));
        std::thread::sleep(PAUSE / 2);
        number += 1;
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let crashes = crashes.lock().expect("crashes").clone();
    let from = crashes
        .get(4)
        .or(crashes.last())
        .copied()
        .unwrap_or_default()
        + SETTLED;
    let share = |from: Duration, until: Duration| {
        let sound = sound.lock().expect("requests");
        let sent = sound.iter().filter(|(at, _)| (from..until).contains(at));
        let begun = sent.clone().filter(|(_, begun)| *begun).count();
        (begun, sent.count())
    };
    let (begun, sent) = share(from, CRASHING_TIME);
    let (calm_begun, calm_sent) = share(CALM_FROM, WHOLE_TIME);
    world.say(&format!(
        "{} crashes; {begun} of {sent} sound requests began while such requests came, {calm_begun} \
         of {calm_sent} later",
        crashes.len()
    ));
    if sent < 20 || calm_sent < 20 || calm_begun == 0 {
        return Verdict::CouldNotRun;
    }
    let share = begun as f64 / sent as f64;
    match share < 0.5 * calm_begun as f64 / calm_sent as f64 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
