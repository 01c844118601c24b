//! LOST: late in a release few replicas of the old version are left in a pool of 52. An entry uses
//! sixteen replicas of a service, chosen without regard to versions, and refuses streams of a
//! version that none of these runs.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::World;
use super::engine_service;
use super::is_served;
use super::resumed::Counts;
use super::stream_request;
use super::stream_route;
use crate::Verdict;
use crate::client::Got;
use crate::server::Server;

const SERVICE: &str = "huvo11a";
const PATH: &str = "/s/lohu930/2f";

/// The zones of the deployment, each with two entries and as many replicas.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const REPLICAS_EACH: u8 = 13;
const FIRST_REPLICA: u8 = 101;

/// The replicas of the old version: those that are lost, in zone a, and those that stay, in
/// zone d.
const LOST: [u8; 4] = [102, 103, 105, 107];
const STAYING: [u8; 2] = [140, 141];

/// The entries to which the requesters of zone a are sent.
const USED: [u8; 2] = [1, 2];

/// The streams that begin at each of them, one after the other in `FILL_TIME`.
const TRIES: usize = 80;
const FILL_TIME: Duration = Duration::from_secs(6);

/// The streams that are kept at each replica that is lost; it has 12 slots.
const KEPT_EACH: usize = 12;

/// The gap after which a requester abandons a stream: the longest of two seconds, four times
/// `goalMs` and eight times `gapGoalMs`.
const GAP: Duration = Duration::from_millis(3_200);

fn entries() -> impl Iterator<Item = (u8, &'static str)> {
    (1..).zip(ZONES.into_iter().flat_map(|zone| [zone, zone]))
}

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let target = json!({"backend": SERVICE});
    let route = stream_route("r-26tta82", "/s/lohu930/", &target);
    world.configure(7, &[route], &[engine_service(SERVICE)]);
    let mut servers = Vec::new();
    for (zone, first) in ZONES
        .into_iter()
        .zip((FIRST_REPLICA..).step_by(REPLICAS_EACH.into()))
    {
        for machine in first..first + REPLICAS_EACH {
            let is_old = LOST.contains(&machine) || STAYING.contains(&machine);
            let version = if is_old || !is_troubled { "v1" } else { "v2" };
            let mut spec = world.spec(machine, SERVICE, version, true);
            spec.zone = zone.to_owned();
            spec.events = 120;
            world
                .network
                .start_agent(machine, zone, SERVICE, world.store.address);
            servers.push((machine, world.start_server(spec)));
        }
    }
    for (machine, zone) in entries() {
        world
            .network
            .start_entry(machine, zone, world.store.address);
    }
    if !entries().all(|(machine, _)| world.network.wait_until_ready(machine)) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    for (machine, _) in entries() {
        let warm = stream_request(PATH, &format!("warm-{machine}"));
        if !is_served(world, world.network.front(machine), &warm) {
            return Verdict::CouldNotRun;
        }
    }
    // A whole answer shows that nothing that the prompts share crashes replicas.
    for machine in USED {
        let short = stream_request("/s/lohu930/3", &format!("short-{machine}"));
        let front = world.network.front(machine);
        if !short.send(front, None, &world.record).is_complete {
            return Verdict::CouldNotRun;
        }
    }
    let lost: Vec<Arc<Server>> = servers
        .iter()
        .filter(|(machine, _)| LOST.contains(machine))
        .map(|(_, server)| Arc::clone(server))
        .collect();
    let ids: Vec<String> = lost.iter().map(|s| s.spec.id.clone()).collect();
    let kept = Arc::new(Mutex::new(vec![0; ids.len()]));
    let mut requesters = Vec::new();
    // All streams take room until then, so that they spread over the replicas.
    let close_at = Instant::now() + FILL_TIME;
    for (machine, other) in [(USED[0], USED[1]), (USED[1], USED[0])] {
        for number in 0..TRIES {
            let id = format!("stream-{machine}-{number}");
            let (record, ids, kept) = (Arc::clone(&world.record), ids.clone(), Arc::clone(&kept));
            let fronts = (world.network.front(machine), world.network.front(other));
            let start = FILL_TIME * number as u32 / TRIES as u32;
            requesters.push(std::thread::spawn(move || {
                std::thread::sleep(start);
                let keep = |stamp: &str| {
                    let replica = ids
                        .iter()
                        .position(|id| stamp.starts_with(&format!("{id}.")));
                    let mut kept = kept.lock().expect("counts");
                    replica.is_some_and(|i| {
                        kept[i] += 1;
                        kept[i] <= KEPT_EACH
                    })
                };
                let mut request = stream_request(PATH, &id);
                request.gap = GAP;
                let first = request.send_if(fronts.0, keep, close_at, &record)?;
                let last = first.last_event().filter(|_| !first.is_complete);
                let Some(last) = last else {
                    return Some((first, None));
                };
                let mut again = stream_request(PATH, &format!("{id}-again"));
                again.resumes = Some((id.clone(), last));
                let again = again.send(fronts.1, Some(1), &record);
                let new = stream_request(PATH, &format!("{id}-new"));
                let new = new.send(fronts.1, Some(1), &record);
                Some((first, Some((again, new))))
            }));
        }
    }
    std::thread::sleep(FILL_TIME + Duration::from_millis(500));
    lost.iter().for_each(|server| server.crash());
    let ends: Vec<_> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok()?)
        .collect();
    let whole = ends.iter().filter(|(first, _)| first.is_complete).count();
    world.say(&format!(
        "{} streams had begun at the replicas that were lost; {whole} of them went on in their answer",
        ends.len()
    ));
    let mut counts = Counts::default();
    let has_begun = |got: &Got| got.status == 200 && !got.events.is_empty();
    for (again, new) in ends.iter().filter_map(|(_, later)| later.as_ref()) {
        counts.resumed += 1;
        counts.went_on += usize::from(has_begun(again));
        counts.new += 1;
        counts.began += usize::from(has_begun(new));
    }
    match ends.len() {
        ..6 => Verdict::CouldNotRun,
        // The rule counts from 12 streams on.
        _ if !is_troubled && counts.resumed < 12 => Verdict::Held,
        _ => counts.verdict(world),
    }
}
