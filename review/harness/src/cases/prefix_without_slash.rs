//! ROUTE: a configuration adds a route, and a request that its prefix doesn't begin is run
//! by its service.

use std::time::Duration;

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

const TIMEOUT: Duration = Duration::from_secs(3);

/// The paths of requests. The prefix `/` begins all of them, the prefix `/orders/` none.
const PATHS: [&str; 4] = ["/orders", "/orders?day=5", "/orders.csv", "/order"];

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let route = |name: &str, prefix: &str, service: &str| {
        json!({
            "name": name, "hostname": "a.example", "pathPrefix": prefix,
            "type": "idempotent", "timeoutMs": TIMEOUT.as_millis() as u64, "goalMs": 300,
            "priority": 0, "backend": service, "attempts": 2,
        })
    };
    let backends = json!([{"name": "web"}, {"name": "orders"}]);
    let first = json!([route("root", "/", "web")]);
    store.put("config", "main", &configuration(1, first, backends.clone()));
    let answer = Answer::Body {
        bytes: 800,
        after: Duration::from_millis(20),
    };
    let mut replicas = Vec::new();
    for (i, service) in ["web", "web", "orders", "orders"].into_iter().enumerate() {
        let ip = deployment.new_ip();
        let id = format!("i-{i}");
        let replica = Replica::start(ip, &id, service, "v1", answer.clone(), record).await?;
        replica.register(store);
        replicas.push(replica);
    }
    let mut machines = Vec::new();
    for i in 0..2 {
        let mut machine = deployment.edge(&format!("edge-a-{i}"));
        machine.start()?;
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_until_ready(Duration::from_secs(10)).await?;
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;
    if has_trouble {
        let second = json!([
            route("root", "/", "web"),
            route("orders", "/orders/", "orders")
        ]);
        store.put("config", "main", &configuration(2, second, backends));
        record.line("version 2 adds a route with the prefix /orders/ to the service orders");
    }
    tokio::time::sleep(CONFIG + Duration::from_secs(1)).await;
    let (mut served, mut foreign) = (0, 0);
    for (i, machine) in machines.iter().enumerate() {
        for (j, path) in PATHS.into_iter().enumerate() {
            let id = format!("r-{i}-{j}");
            let outcome = call(machine.front, &Request::new("GET", path, &id, TIMEOUT)).await;
            let ran = replicas.iter().find(|r| r.has_run(&id));
            let service = ran.map_or("nobody", |r| r.service.as_str());
            record.line(&format!(
                "GET {path} at {}: status {}, run by {service}",
                machine.name, outcome.status
            ));
            served += usize::from(outcome.is_complete && outcome.status == 200);
            foreign += usize::from(service == "orders");
        }
    }
    let all = machines.len() * PATHS.len();
    record.line(&format!(
        "served: {served} of {all}; run by the service orders: {foreign}"
    ));
    if served == 0 {
        return Err("nothing was served".into());
    }
    Ok(match foreign > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
