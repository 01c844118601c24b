//! A probe that is no case of the review. UNASKED: a tenant is named `public`. Replicas get its
//! requests without `Tenant`.

use std::time::Duration;

use serde_json::json;

use super::World;
use super::plain_service;
use crate::Verdict;
use crate::client::HOST;
use crate::client::KEY;
use crate::client::Request;

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let tenant = if is_troubled { "public" } else { "publico" };
    let route = json!({"name": "r-8m82thh", "hostname": HOST, "pathPrefix": "/puxa403/",
        "type": "non_idempotent", "timeoutMs": 3_000, "goalMs": 300, "priority": 1,
        "backend": "wuno96b", "attempts": 1, "public": false});
    let configuration = json!({
        "version": 7, "routes": [route], "backends": [plain_service("wuno96b")],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": tenant, "apiKeys": [KEY], "priority": 1, "unit": "token",
            "plainTokens": 200, "ratePerS": 0, "burst": 0}],
    });
    world.store.put("config", "main", &configuration);
    let _server = world.start_server(world.spec(21, "wuno96b", "v1", false));
    if !world.start_entries(&[1]) {
        return Verdict::CouldNotRun;
    }
    let request = Request {
        method: "POST",
        path: "/puxa403/2f".to_owned(),
        id: "log-1".to_owned(),
        deadline: Duration::from_secs(3),
        gap: Duration::from_secs(3),
        resumes: None,
        is_prompt: false,
        part: None,
        body: b"an entry of the log".to_vec(),
    };
    let got = request.send(world.network.front(1), None, &world.record);
    let named = world.record.contains(&format!("tenant {tenant}"));
    world.say(&format!(
        "status {}, the replica got the tenant's name: {named}",
        got.status
    ));
    match (got.status, named) {
        (200, true) => Verdict::Held,
        (200, false) => Verdict::Broken,
        _ => Verdict::CouldNotRun,
    }
}
