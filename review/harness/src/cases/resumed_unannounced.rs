//! LOST: a machine is cut off from the store while replicas of a second software version join,
//! and dies; its streams are taken up again at the others.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use crate::CaseError;
use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::record::Record;
use crate::relay::Relay;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::requester::Request;
use crate::requester::Stream;

const STREAMS: usize = 16;

/// A stream lasts for 14 seconds.
const ANSWER: Answer = Answer::Stream {
    events: 56,
    pause: Duration::from_millis(250),
};

/// The time limit of a request, counted from the requester's first try.
const LIMIT: Duration = Duration::from_secs(15);

/// The tries of a requester after its first.
const RETRIES: usize = 3;

/// How long the machine is cut off (`core_cut`, `for_s`).
const CUT: Duration = Duration::from_secs(4);

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let mut deployment = Deployment::start(record).await?;
    let store = &Rc::clone(&deployment.store);
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "stream",
        "timeoutMs": 15000, "goalMs": 1000, "gapGoalMs": 600, "priority": 0,
        "backend": "pool", "attempts": 2, "resumable": true, "sticky": true,
    }]);
    let backends = json!([{"name": "pool", "engine": {"slots": 12, "stride": 5}}]);
    store.put("config", "main", &configuration(1, routes, backends));
    let (mut sides, mut replicas) = (Vec::new(), Vec::new());
    for i in 0..4 {
        let version = if i < 2 { "v1" } else { "v2" };
        let ip = deployment.new_ip();
        let id = format!("i-{i}");
        let replica = Replica::start(ip, &id, "pool", version, ANSWER, record).await?;
        let mut side = deployment.side(&format!("side-a-{i}"), replica.address, "pool");
        side.start()?;
        sides.push(side);
        if i < 2 {
            replica.register(store);
        }
        replicas.push(replica);
    }
    let mut machines = Vec::new();
    let relay = Relay::start(store.address).await?;
    for i in 0..3 {
        if i == 2 {
            deployment.store_address = relay.address;
        }
        let mut machine = deployment.edge(&format!("edge-a-{i}"));
        machine.start()?;
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_until_ready(Duration::from_secs(10)).await?;
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;

    let fronts: Vec<_> = machines.iter().map(|m| m.front).collect();
    let (taken_up, gone_on) = (Rc::<Cell<usize>>::default(), Rc::<Cell<usize>>::default());
    let mut requesters = Vec::new();
    for i in 0..STREAMS {
        let (fronts, record) = (fronts.clone(), record.clone());
        let (taken_up, gone_on) = (Rc::clone(&taken_up), Rc::clone(&gone_on));
        requesters.push(tokio::task::spawn_local(async move {
            let begun = record.now();
            let mut stream = Stream::default();
            for attempt in 0..=RETRIES {
                let left = LIMIT.saturating_sub(record.now() - begun);
                if left.is_zero() {
                    break;
                }
                let id = format!("s-{i}-{attempt}");
                let request = request(&id, i, left);
                let from = stream.events.len();
                // The first try is at the last machine, the others at the other two.
                let at = match attempt {
                    0 => 2,
                    _ => (i + attempt) % 2,
                };
                stream.read(fronts[at], &request).await;
                let events = stream.events.len() - from;
                record.line(&format!(
                    "{id} at machine {at}: status {}, {events} events, {}",
                    stream.status,
                    if stream.is_complete {
                        "complete"
                    } else {
                        "incomplete"
                    }
                ));
                if attempt > 0 && from > 0 {
                    if attempt == 1 {
                        taken_up.set(taken_up.get() + 1);
                    }
                    if events > 0 {
                        gone_on.set(gone_on.get() + 1);
                    }
                }
                if stream.is_complete {
                    break;
                }
                // Requesters honour `Retry-After` up to a third of the time that they have left.
                let left = LIMIT.saturating_sub(record.now() - begun);
                let pause = stream.retry_after.unwrap_or(Duration::from_millis(50));
                tokio::time::sleep(pause.min(left / 3)).await;
            }
            stream.is_complete
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    if has_trouble {
        record.line("machine 2 is cut off from the store");
        relay.is_cut.set(true);
    }
    replicas.iter().skip(2).for_each(|r| r.register(store));
    tokio::time::sleep(CUT).await;
    machines[2].kill();
    // New streams begin at the same machines meanwhile.
    let mut began = 0;
    for i in 0..STREAMS {
        let mut stream = Stream::default();
        let request = request(&format!("new-{i}"), 100 + i, LIMIT);
        let read = stream.read(fronts[i % 2], &request);
        let _ = tokio::time::timeout(Duration::from_millis(600), read).await;
        began += usize::from(!stream.events.is_empty());
        if i == 0 {
            record.line("new streams begin at the same machines");
        }
    }
    let mut complete = 0;
    for requester in requesters {
        complete += usize::from(requester.await?);
    }
    let (taken_up, gone_on) = (taken_up.get(), gone_on.get());
    record.line(&format!(
        "streams complete: {complete} of {STREAMS}; taken up again: {taken_up}, of these \
         gone on: {gone_on}; new streams sent: {STREAMS}, of these begun: {began}"
    ));
    if taken_up < 12 || began < STREAMS / 2 {
        return Err("too few streams were taken up again or began".into());
    }
    let gone_on_share = gone_on as f64 / taken_up as f64;
    let began_share = began as f64 / STREAMS as f64;
    Ok(match gone_on_share < began_share / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn request(id: &str, number: usize, left: Duration) -> Request {
    let mut request = Request::new("POST", "/x/a", id, left);
    request.more = format!(
        "model: m\r\ntoken-count: 400,300\r\nprompt-prefix: 5c1e:60,{:x}:340\r\n",
        0xa000 + number
    );
    request
}
