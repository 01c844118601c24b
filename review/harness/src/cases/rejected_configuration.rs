//! CONFIG: a configuration allows longer bodies than the system does, and none of it is
//! applied.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::CaseError;
use crate::Verdict;
use crate::deployment::CONFIG;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::record::Record;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::requester::Request;
use crate::requester::call;

const REQUESTS: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(3);

fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "hostname": "a.example", "pathPrefix": prefix, "type": "idempotent",
        "timeoutMs": TIMEOUT.as_millis() as u64, "goalMs": 300, "priority": 0,
        "backend": service, "attempts": 2,
    })
}

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let backends = json!([{"name": "old"}, {"name": "new"}]);
    let mut first = configuration(1, json!([route("r", "/x/", "old")]), backends.clone());
    first["tenants"][0]["apiKeys"] = json!(["key", "dropped"]);
    store.put("config", "main", &first);
    let answer = Answer::Body {
        bytes: 800,
        after: Duration::from_millis(20),
    };
    let mut replicas = Vec::new();
    for (i, service) in ["old", "new"].into_iter().enumerate() {
        let ip = deployment.new_ip();
        let id = format!("i-{i}");
        let replica = Replica::start(ip, &id, service, "v1", answer.clone(), record).await?;
        replica.register(store);
        replicas.push(replica);
    }
    let mut machine = deployment.edge("edge-a-0");
    machine.start()?;
    machine.wait_until_ready(Duration::from_secs(10)).await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let routes = json!([route("r", "/x/", "new"), route("s", "/s/", "new")]);
    let mut second = configuration(2, routes, backends);
    if has_trouble {
        second["limits"]["maxBodyBytes"] = json!(32 << 20);
    }
    store.put("config", "main", &second);
    record.line(&format!(
        "version 2 moves a route, adds one and drops a key; maxBodyBytes {}",
        second["limits"]["maxBodyBytes"]
    ));
    tokio::time::sleep(CONFIG + Duration::from_millis(500)).await;
    let mut stale = 0;
    for i in 0..REQUESTS {
        let moved = Request::new("GET", "/x/a", &format!("moved-{i}"), TIMEOUT);
        let added = Request::new("GET", "/s/a", &format!("added-{i}"), TIMEOUT);
        let mut dropped = Request::new("GET", "/x/a", &format!("dropped-{i}"), TIMEOUT);
        dropped.key = "dropped".to_owned();
        for request in [moved, added, dropped] {
            let outcome = call(machine.front, &request).await;
            let ran = replicas.iter().find(|r| r.has_run(&request.id));
            let service = ran.map_or("nobody", |r| r.service.as_str());
            record.line(&format!(
                "{}: {}, run by {service}",
                request.id, outcome.status
            ));
            let is_dropped = request.id.starts_with("dropped");
            stale += usize::from(
                outcome.status == 404 || service == "old" || is_dropped && service != "nobody",
            );
        }
    }
    machine.kill();
    machine.start()?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    record.line(&format!(
        "4 s after a restart the machine is ready: {}",
        machine.is_ready().await
    ));
    record.line(&format!(
        "handled as only version 1 allows: {stale} of {}",
        3 * REQUESTS
    ));
    Ok(match stale > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
