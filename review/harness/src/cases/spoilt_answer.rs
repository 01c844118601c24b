//! MIXED: replicas hand out wrong bytes in place of some of their answers.

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
use crate::requester::Request;
use crate::requester::call;

const REQUESTS: usize = 800;
const REQUEST_GAP: Duration = Duration::from_millis(10);
const ANSWER_BYTES: usize = 800;
const TIMEOUT: Duration = Duration::from_secs(3);

/// One answer in so many is spoilt at half of the replicas: `x` (.02), `share` (.5).
const SPOILT_EVERY: usize = 50;

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "hostname": "a.example", "pathPrefix": prefix, "type": kind,
            "timeoutMs": TIMEOUT.as_millis() as u64, "goalMs": 300, "priority": 0,
            "backend": "api", "attempts": 2,
        })
    };
    let routes = json!([
        route("r", "/x/", "idempotent"),
        route("w", "/w/", "non_idempotent")
    ]);
    store.put(
        "config",
        "main",
        &configuration(1, routes, json!([{"name": "api"}])),
    );
    let mut replicas = Vec::new();
    for i in 0..4 {
        let answer = match has_trouble && i % 2 == 0 {
            true => Answer::Spoilt {
                bytes: ANSWER_BYTES,
                every: SPOILT_EVERY,
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
    let (mut served, mut unstamped, mut failed) = (0, 0, 0);
    for i in 0..REQUESTS {
        let id = format!("r-{i}");
        let request = match i % 2 {
            0 => Request::new("GET", "/x/a", &id, TIMEOUT),
            _ => Request::new("POST", "/w/a", &id, TIMEOUT),
        };
        let outcome = call(machine.front, &request).await;
        let is_success = outcome.is_complete && (200..300).contains(&outcome.status);
        let is_whole = outcome.body == replica::body(ANSWER_BYTES);
        match (is_success, &outcome.stamp) {
            (true, Some(_)) if is_whole => served += 1,
            (true, stamp) => {
                unstamped += 1;
                record.line(&format!(
                    "{} {id} gets {} with Server-Stamp {stamp:?} and the body {:?}",
                    request.method,
                    outcome.status,
                    String::from_utf8_lossy(&outcome.body)
                ));
            }
            (false, _) => {
                failed += 1;
                record.line(&format!("{} {id} gets {}", request.method, outcome.status));
            }
        }
        tokio::time::sleep(REQUEST_GAP).await;
    }
    record.line(&format!(
        "of {REQUESTS} requests: {served} served, {failed} failed, \
         {unstamped} answered with success and wrong bytes"
    ));
    if served < REQUESTS / 2 {
        return Err("too few requests were served".into());
    }
    Ok(match unstamped > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
