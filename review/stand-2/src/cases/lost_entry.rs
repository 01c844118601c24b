//! A probe that is no case of the review. LOST: one of two entries is killed. The other one refuses
//! to go on with the streams of a plain service, which it has no record of.

use std::time::Duration;

use serde_json::json;

use super::World;
use super::is_served;
use super::plain_service;
use super::resumed;
use super::resumed::Plan;
use super::stream_request;
use super::stream_route;
use crate::Verdict;

const ENTRIES: [u8; 2] = [1, 2];

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let target = json!({"backend": "wuno96b"});
    let route = stream_route("r-26tta82", "/s/lohu930/", &target);
    world.configure(7, &[route], &[plain_service("wuno96b")]);
    let _servers =
        [21, 22, 23].map(|machine| world.start_server(world.spec(machine, "wuno96b", "v1", false)));
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
        streams: 16,
        pause: Duration::from_millis(20),
        break_after: (!is_troubled).then_some(15),
        label: "stream",
    };
    let counts = std::thread::scope(|scope| {
        let played = scope.spawn(|| resumed::play(world, &plan));
        if is_troubled {
            std::thread::sleep(Duration::from_millis(1_500));
            world.record.line("entry 1 is killed");
            world.network.kill_entry(1);
        }
        played.join()
    });
    counts.map_or(Verdict::CouldNotRun, |counts| counts.verdict(world))
}
