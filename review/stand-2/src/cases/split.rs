//! A probe that is no case of the review. LOST: a version of the configuration changes the weights of
//! a split route. A stream that is taken up again goes to a service that is drawn anew, which doesn't
//! run the version that began it.

use std::time::Duration;

use serde_json::Value;
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
const SERVICES: [&str; 2] = ["huvo11a", "wuno96b"];

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let services = SERVICES.map(engine_service);
    let configure = |version: u64, weights: [u32; 2]| {
        let targets = SERVICES.into_iter().zip(weights);
        let split = targets.map(|(service, weight)| json!({"backend": service, "weight": weight}));
        let target = json!({"split": split.collect::<Vec<Value>>()});
        world.configure(
            version,
            &[stream_route("r-26tta82", "/s/lohu930/", &target)],
            &services,
        );
    };
    configure(7, [90, 10]);
    let mut servers = Vec::new();
    for (machine, service, version) in [
        (21, SERVICES[0], "v3"),
        (22, SERVICES[0], "v3"),
        (23, SERVICES[0], "v3"),
        (24, SERVICES[1], "v8"),
        (25, SERVICES[1], "v8"),
        (26, SERVICES[1], "v8"),
    ] {
        world
            .network
            .start_agent(machine, "a", service, world.store.address);
        servers.push(world.start_server(world.spec(machine, service, version, true)));
    }
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
        streams: 30,
        pause: Duration::from_millis(20),
        break_after: Some(40),
        label: "stream",
    };
    let counts = std::thread::scope(|scope| {
        let played = scope.spawn(|| resumed::play(world, &plan));
        // All streams have begun, and break later than `configMs` after the change.
        std::thread::sleep(Duration::from_millis(1_200));
        if is_troubled {
            configure(9, [10, 90]);
        }
        played.join()
    });
    counts.map_or(Verdict::CouldNotRun, |counts| counts.verdict(world))
}
