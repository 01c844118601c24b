//! Fault: entries of another writer in the list of replicas take the memory of all machines.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
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

const MACHINES: usize = 2;

/// The memory of an `edge` machine of lada-counter, in megabytes.
const RAM_MB: u64 = 110;

/// The entries of the other writer, and the size of each, of which the platform allows
/// 1,048,576 bytes (`valueBytes`).
const ENTRIES: usize = 2;
const ENTRY_BYTES: usize = 700_000;

/// The pause of the platform before it starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

const WATCHED_FOR: Duration = Duration::from_secs(15);
const REQUEST_GAP: Duration = Duration::from_millis(100);

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let mut deployment = Deployment::start(record).await?;
    deployment.ram_mb = RAM_MB;
    let store = &deployment.store;
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "idempotent",
        "timeoutMs": 3000, "goalMs": 300, "priority": 0, "backend": "api", "attempts": 2,
    }]);
    store.put(
        "config",
        "main",
        &configuration(1, routes, json!([{"name": "api"}])),
    );
    let answer = Answer::Body {
        bytes: 800,
        after: Duration::from_millis(20),
    };
    let mut replicas = Vec::new();
    for i in 0..2 {
        let id = format!("i-{i}");
        let ip = deployment.new_ip();
        let replica = Replica::start(ip, &id, "api", "v1", answer.clone(), record).await?;
        replica.register(store);
        replicas.push(replica);
    }
    let mut machines = Vec::new();
    for i in 0..MACHINES {
        let mut machine = deployment.edge(&format!("edge-a-{i}"));
        machine.start()?;
        machine.wait_until_ready(Duration::from_secs(10)).await?;
        machines.push(machine);
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;
    for machine in &machines {
        let megabytes = machine.memory() / 1_000_000;
        record.line(&format!("{} uses {megabytes} of {RAM_MB} MB", machine.name));
    }
    if has_trouble {
        for i in 0..ENTRIES {
            // `{"a":0},` for each part.
            let parts = Value::Array(vec![json!({"a": 0}); ENTRY_BYTES / 8]);
            store.put("servers", &format!("odd-{i}"), &json!({ "parts": parts }));
            record.line(&format!(
                "another writer puts odd-{i} of {ENTRY_BYTES} bytes"
            ));
        }
    }
    let fronts: Vec<_> = machines.iter().map(|m| m.front).collect();
    let caller = tokio::task::spawn_local(async move {
        let until = Instant::now() + WATCHED_FOR;
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < until {
            let to = fronts[sent % fronts.len()];
            let id = format!("r-{sent}");
            let request = Request::new("GET", "/x/a", &id, Duration::from_secs(1));
            let outcome = call(to, &request).await;
            sent += 1;
            served += usize::from(outcome.is_complete && outcome.status == 200);
            tokio::time::sleep(REQUEST_GAP).await;
        }
        (sent, served)
    });
    let until = Instant::now() + WATCHED_FOR;
    let mut ends = [0; MACHINES];
    let mut starts_at = [None; MACHINES];
    let mut most = [0; MACHINES];
    while Instant::now() < until {
        for (i, machine) in machines.iter_mut().enumerate() {
            if let Some(at) = starts_at[i] {
                if Instant::now() >= at {
                    starts_at[i] = None;
                    machine.start()?;
                }
                continue;
            }
            let bytes = machine.memory();
            most[i] = most[i].max(bytes);
            if bytes > RAM_MB * 1_000_000 {
                let megabytes = bytes / 1_000_000;
                record.line(&format!("{} uses {megabytes} of {RAM_MB} MB", machine.name));
                machine.kill();
                ends[i] += 1;
                starts_at[i] = Some(Instant::now() + RESTART_PAUSE);
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (sent, served) = caller.await?;
    for i in 0..MACHINES {
        record.line(&format!(
            "edge-a-{i}: {} MB at most, {} times over its memory",
            most[i] / 1_000_000,
            ends[i]
        ));
    }
    record.line(&format!("requests served: {served} of {sent}"));
    Ok(match ends.iter().all(|n| *n >= 3) {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
