//! A probe that is no case of the review: an entry of another writer in the store holds a byte
//! that JSON allows only escaped. Entries that start beside it never become ready.

use serde_json::json;

use super::World;
use super::plain_service;
use crate::Verdict;
use crate::client::HOST;

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let route = json!({"name": "r-8m82thh", "hostname": HOST, "pathPrefix": "/puxa403/",
        "type": "idempotent", "timeoutMs": 3_000, "goalMs": 300, "priority": 1,
        "backend": "wuno96b", "attempts": 2, "public": false});
    world.configure(7, &[route], &[plain_service("wuno96b")]);
    let _server = world.start_server(world.spec(21, "wuno96b", "v1", false));
    let bytes: &[u8] = if is_troubled {
        b"\"\x1b\""
    } else {
        b"\"\xff\xfe\""
    };
    world.store.set_raw("raw-zone", bytes);
    let entry = json!({"backend": "wuno96b", "addr": "127.0.0.1:9", "zone": "raw-zone",
        "version": "v1", "slots": 4, "state": "ready", "seq": 1});
    world.store.put("servers", "x-1", &entry);
    let is_ready = world.start_entries(&[1]);
    world.say(&format!("the entry became ready: {is_ready}"));
    match is_ready {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
