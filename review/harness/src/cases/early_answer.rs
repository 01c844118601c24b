//! LOST: replicas answer before they have read a long body, keep the channel and read on.

use std::time::Duration;

use serde_json::json;

use crate::CaseError;
use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::record::Record;
use crate::replica;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::requester::KeptChannel;
use crate::requester::Request;

const REQUESTS: usize = 8;
const BODY_BYTES: usize = 1_500_000;
const ANSWER_BYTES: usize = 800;
const TIMEOUT: Duration = Duration::from_secs(3);

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "non_idempotent",
        "timeoutMs": TIMEOUT.as_millis() as u64, "goalMs": 300, "priority": 0,
        "backend": "api", "attempts": 1,
    }]);
    store.put(
        "config",
        "main",
        &configuration(1, routes, json!([{"name": "api"}])),
    );
    let answer = match has_trouble {
        true => Answer::Early {
            begin_after: 16 << 10,
            pause: Duration::from_millis(200),
            bytes: ANSWER_BYTES,
        },
        false => Answer::Body {
            bytes: ANSWER_BYTES,
            after: Duration::from_millis(200),
        },
    };
    let mut replicas = Vec::new();
    for i in 0..2 {
        let id = format!("i-{i}");
        let ip = deployment.new_ip();
        let replica = Replica::start(ip, &id, "api", "v1", answer.clone(), record).await?;
        replica.register(store);
        replicas.push(replica);
    }
    let mut machine = deployment.edge("edge-a-0");
    machine.start()?;
    machine.wait_until_ready(Duration::from_secs(10)).await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let (mut cut, mut served) = (0, 0);
    for i in 0..REQUESTS {
        let mut channel = KeptChannel::open(machine.front).await?;
        let short = Request::new("POST", "/x/a", &format!("short-{i}"), TIMEOUT);
        let outcome = channel.call(&short).await;
        if !outcome.is_complete {
            return Err("a short request was not served".into());
        }
        let id = format!("long-{i}");
        let mut long = Request::new("POST", "/x/a", &id, TIMEOUT);
        long.body = vec![b'x'; BODY_BYTES];
        let sent = record.now();
        let outcome = channel.call(&long).await;
        let took = (record.now() - sent).as_secs_f64();
        let is_whole = outcome.is_complete && outcome.body == replica::body(ANSWER_BYTES);
        record.line(&format!(
            "{id} on a kept channel: status {}, {} bytes of the answer, {} after {took:.3} s",
            outcome.status,
            outcome.body.len(),
            match (is_whole, outcome.is_open) {
                (true, _) => "complete",
                (false, true) => "open, given up",
                (false, false) => "closed by the machine without the answer",
            }
        ));
        let has_run = replicas.iter().any(|r| r.has_run(&id));
        cut += usize::from(has_run && !is_whole);
        served += usize::from(is_whole);
    }
    record.line(&format!(
        "long requests passed on: {}, served: {served}, closed without an answer: {cut}",
        cut + served
    ));
    Ok(match cut > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
