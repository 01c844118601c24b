//! UNASKED: a configuration adds a tenant with the name `public`, and its requests reach
//! replicas without `Tenant`.

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

pub async fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let deployment = Deployment::start(record).await?;
    let store = &deployment.store;
    let routes = json!([{
        "name": "r", "hostname": "a.example", "pathPrefix": "/x/", "type": "idempotent",
        "timeoutMs": TIMEOUT.as_millis() as u64, "goalMs": 300, "priority": 0,
        "backend": "api", "attempts": 2,
    }]);
    let backends = json!([{"name": "api"}]);
    let first = configuration(1, routes.clone(), backends.clone());
    store.put("config", "main", &first);
    let answer = Answer::Body {
        bytes: 800,
        after: Duration::from_millis(20),
    };
    let ip = deployment.new_ip();
    let replica = Replica::start(ip, "i-0", "api", "v1", answer, record).await?;
    replica.register(store);
    let mut machine = deployment.edge("edge-a-0");
    machine.start()?;
    machine.wait_until_ready(Duration::from_secs(10)).await?;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    let name = if has_trouble { "public" } else { "wuve12" };
    let mut second = configuration(2, routes, backends);
    let tenants = second["tenants"].as_array_mut().ok_or("no tenants")?;
    tenants.push(json!({"name": name, "apiKeys": ["second"], "ratePerS": 0, "burst": 0}));
    store.put("config", "main", &second);
    tokio::time::sleep(CONFIG + Duration::from_millis(500)).await;
    let mut wrong = 0;
    for i in 0..5 {
        let mut request = Request::new("GET", "/x/a", &format!("r-{i}"), TIMEOUT);
        request.key = "second".to_owned();
        let outcome = call(machine.front, &request).await;
        let runs = replica.runs.borrow();
        let run = runs.iter().find(|r| r.id == request.id).ok_or("not run")?;
        record.line(&format!(
            "{} at {} for a key of {name}: {}, run with Tenant {:?}",
            run.path,
            run.at.as_millis(),
            outcome.status,
            run.tenant
        ));
        wrong += usize::from(run.tenant != name);
    }
    record.line(&format!("requests run without their tenant: {wrong} of 5"));
    Ok(match wrong > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
