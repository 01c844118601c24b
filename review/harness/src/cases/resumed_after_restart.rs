//! ORDER: all machines are killed after a release, and streams that the version before began
//! are taken up again.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use crate::CaseError;
use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::record::Record;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::requester::Request;
use crate::requester::Stream;

const MACHINES: usize = 3;
const STREAMS: usize = 12;

/// A stream lasts for six seconds.
const ANSWER: Answer = Answer::Stream {
    events: 60,
    pause: Duration::from_millis(100),
};

/// The time limit of a request, counted from the requester's first try.
const LIMIT: Duration = Duration::from_secs(12);

/// The tries of a requester after its first.
const RETRIES: usize = 3;

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "stream",
        "timeoutMs": 12000, "goalMs": 600, "gapGoalMs": 600, "priority": 0,
        "backend": "pool", "attempts": 2, "resumable": true, "sticky": true,
    }]);
    let backends = json!([{"name": "pool", "engine": {"slots": 12, "stride": 5}}]);
    store.put("config", "main", &configuration(1, routes, backends));
    let mut sides = Vec::new();
    let (mut old, mut new) = (Vec::new(), Vec::new());
    for i in 0..4 {
        let (version, replicas) = match i < 2 {
            true => ("v1", &mut old),
            false => ("v2", &mut new),
        };
        let ip = deployment.new_ip();
        let id = format!("i-{i}");
        let replica = Replica::start(ip, &id, "pool", version, ANSWER, record).await?;
        let mut side = deployment.side(&format!("side-a-{i}"), replica.address, "pool");
        side.start()?;
        sides.push(side);
        replicas.push(replica);
    }
    old.iter().for_each(|r| r.register(store));
    let mut machines = Vec::new();
    for i in 0..MACHINES {
        let mut machine = deployment.edge(&format!("edge-a-{i}"));
        machine.start()?;
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_until_ready(Duration::from_secs(10)).await?;
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;

    let fronts: Vec<_> = machines.iter().map(|m| m.front).collect();
    let streams: Rc<RefCell<Vec<Stream>>> = Rc::default();
    let mut requesters = Vec::new();
    for i in 0..STREAMS {
        let (fronts, streams, record) = (fronts.clone(), Rc::clone(&streams), record.clone());
        requesters.push(tokio::task::spawn_local(async move {
            let begun = record.now();
            let mut stream = Stream::default();
            for attempt in 0..=RETRIES {
                let left = LIMIT.saturating_sub(record.now() - begun);
                let id = format!("s-{i}-{attempt}");
                let mut request = Request::new("POST", "/x/a", &id, left);
                request.more = format!(
                    "model: m\r\ntoken-count: 400,300\r\nprompt-prefix: 5c1e:60,{:x}:340\r\n",
                    0xa000 + i
                );
                let from = stream.events.len();
                let to = fronts[(i + attempt) % fronts.len()];
                stream.read(to, &request).await;
                record.line(&format!(
                    "{id} at machine {}: status {}, {} events, {}",
                    (i + attempt) % fronts.len(),
                    stream.status,
                    stream.events.len() - from,
                    if stream.is_complete {
                        "complete"
                    } else {
                        "incomplete"
                    }
                ));
                if stream.is_complete {
                    break;
                }
                let pause = stream.retry_after.unwrap_or(Duration::from_millis(400));
                tokio::time::sleep(pause).await;
            }
            streams.borrow_mut().push(stream);
        }));
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    // The release: the new replicas start, and the entries of the old ones, which go on to
    // serve what they run, are removed.
    new.iter().for_each(|r| r.register(store));
    tokio::time::sleep(Duration::from_millis(600)).await;
    old.iter().for_each(|r| r.remove(store));
    tokio::time::sleep(Duration::from_millis(900)).await;
    if has_trouble {
        machines.iter_mut().for_each(|m| m.kill());
        tokio::time::sleep(Duration::from_millis(300)).await;
        for machine in &mut machines {
            machine.start()?;
        }
    }
    for requester in requesters {
        requester.await?;
    }
    let streams = streams.borrow();
    let begun = streams.iter().filter(|s| !s.events.is_empty()).count();
    let mixed = streams.iter().filter(|s| s.versions() > 1).count();
    record.line(&format!(
        "streams that began: {begun}; streams with events of two versions: {mixed}"
    ));
    for stream in streams.iter().filter(|s| s.versions() > 1) {
        let second = stream.events.iter().find(|(_, v)| *v != stream.events[0].1);
        record.line(&format!(
            "the stream of {} changes from {} to {:?} of {} events",
            stream.began,
            stream.events[0].1,
            second,
            stream.events.len()
        ));
    }
    if begun < STREAMS {
        return Err("not all streams began".into());
    }
    Ok(match mixed > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
