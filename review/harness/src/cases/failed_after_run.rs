//! REFUSED: a replica fails requests that it has run with a 503 that doesn't say that they
//! have not run.

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
use crate::requester::call;

const SAVES: usize = 300;
const TIMEOUT: Duration = Duration::from_secs(3);
const ANSWER_BYTES: usize = 800;

/// One of eight replicas fails 40 in 100 of its requests: `share` (.15), `x` (.4).
const REPLICAS: usize = 8;
const FAILED_PERCENT: usize = 40;

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let routes = json!([{
        "name": "w", "hostname": "a.example", "pathPrefix": "/w/", "type": "non_idempotent",
        "timeoutMs": TIMEOUT.as_millis() as u64, "goalMs": 300, "priority": 0,
        "backend": "api", "attempts": 2,
    }]);
    store.put(
        "config",
        "main",
        &configuration(1, routes, json!([{"name": "api"}])),
    );
    let mut replicas = Vec::new();
    for i in 0..REPLICAS {
        let answer = match has_trouble && i == 0 {
            true => Answer::Failing {
                bytes: ANSWER_BYTES,
                percent: FAILED_PERCENT,
            },
            false => Answer::Body {
                bytes: ANSWER_BYTES,
                after: Duration::ZERO,
            },
        };
        let id = format!("i-{i}");
        let ip = deployment.new_ip();
        let replica = Replica::start(ip, &id, "api", "v1", answer, record).await?;
        replica.register(store);
        replicas.push(replica);
    }
    let mut machine = deployment.edge("edge-a-0");
    machine.start()?;
    machine.wait_until_ready(Duration::from_secs(10)).await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let (mut saved, mut refused, mut twice) = (0, 0, 0);
    for i in 0..SAVES {
        let mut runs = 0;
        // A requester repeats a request that isn't idempotent only after a promise.
        for attempt in 0..2 {
            let id = format!("save-{i}-{attempt}");
            let outcome = call(machine.front, &Request::new("POST", "/w/a", &id, TIMEOUT)).await;
            let has_run = replicas.iter().any(|r| r.has_run(&id));
            runs += usize::from(has_run);
            if outcome.status == 200 {
                saved += 1;
                break;
            }
            record.line(&format!(
                "{id} is answered {} with Server-Stamp {:?}; has run: {has_run}",
                outcome.status, outcome.stamp
            ));
            if !matches!(outcome.status, 408 | 421 | 429 | 503) {
                break;
            }
            refused += usize::from(has_run);
        }
        twice += usize::from(runs > 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    record.line(&format!(
        "of {SAVES} saves: {saved} answered 200; requests answered 503 that had run: {refused}; \
         saves that were run twice, the second time after the promise: {twice}"
    ));
    if saved < SAVES / 2 {
        return Err("too few were served".into());
    }
    Ok(match refused > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
