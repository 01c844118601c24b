//! The platform's store, as PROTOCOL.md has it: objects by kind and name, revisions,
//! conditional writes and watches.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;

/// What a copy of the store holds.
#[derive(Clone)]
pub struct Copy(State);

#[derive(Clone, Default)]
struct State {
    /// The number of times that the store has come back from a copy.
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value, bool)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    is_away: AtomicBool,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("the store binds");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
            is_away: AtomicBool::new(false),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as its owner does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().unwrap();
        state.write(kind, name, spec, None);
        self.changed.notify_all();
    }

    /// Deletes an object, as the store does when a replica has been silent for too long.
    pub fn delete(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().delete(kind, name);
        self.changed.notify_all();
    }

    /// A replica's liveness report: writes its entry unless it is there already. An entry
    /// changes when more than `seq` changes.
    pub fn beat(&self, name: &str, spec: Value) {
        self.put("servers", name, spec);
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Goes away: calls get no answer, and their channels end.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Comes back from a copy, as in a drill.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = copy.0.clone();
        state.era = era;
        self.is_away.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(mut reader) = http::buffered(&stream) else {
            return;
        };
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_sized(&mut reader, &head) else {
                return;
            };
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let (status, reply) = self.handle(&head, &body);
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let reply = reply.to_string();
            let era = self.state.lock().unwrap().era;
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{reply}",
                reply.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, head: &http::Head, body: &[u8]) -> (u16, Value) {
        let (method, target) = head.method_and_target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|q| q.split_once('=')).collect();
        let parts: Vec<&str> = path.split('/').skip(2).collect();
        let kind = parts.first().copied().unwrap_or("");
        match (method, parts.get(1).copied()) {
            ("GET", None) => self.list(kind, &query),
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
                object.map_or((404, json!({})), |o| (200, o.clone()))
            }
            ("DELETE", Some(name)) => {
                let mut state = self.state.lock().unwrap();
                state.delete(kind, name);
                self.changed.notify_all();
                (200, json!({}))
            }
            (_, name) => {
                let Ok(object) = serde_json::from_slice::<Value>(body) else {
                    return (400, json!({}));
                };
                let named = object["meta"]["name"].as_str().unwrap_or("").to_owned();
                let name = name.map_or(named, str::to_owned);
                self.write(method, kind, &name, &object, parts.len() > 2)
            }
        }
    }

    fn list(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let Some(from) = query.get("watch").and_then(|v| v.parse::<u64>().ok()) else {
            let entries = state.objects.iter().filter(|((k, _), _)| k == kind);
            let entries: Vec<&Value> = entries.map(|(_, o)| o).collect();
            let reply = json!({"entries": entries, "hasMore": false, "asOf": state.revision});
            return (200, reply);
        };
        let wait = query.get("waitMs").and_then(|v| v.parse().ok());
        let end = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let era = state.era;
        loop {
            let is_away = self.is_away.load(Ordering::SeqCst);
            if from > state.revision || era != state.era || is_away {
                return (410, json!({}));
            }
            let of_kind = state.events.iter().filter(|e| e.0 > from && e.1 == kind);
            let events: Vec<Value> = of_kind
                .map(|(_, _, object, deleted)| json!({"object": object, "deleted": deleted}))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "asOf": state.revision}));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        object: &Value,
        is_status: bool,
    ) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let before = state.objects.get(&key).cloned();
        let spec = object["spec"].clone();
        let written = match (method, before) {
            ("POST", Some(before)) => return (409, before),
            ("POST", None) => state.write(kind, name, spec, None),
            (_, None) => return (404, json!({})),
            (_, Some(before)) => {
                let expected = &object["meta"]["rev"];
                if !expected.is_null() && *expected != before["meta"]["rev"] {
                    return (409, before);
                }
                match is_status {
                    true => {
                        let status = object["status"].clone();
                        state.write(kind, name, before["spec"].clone(), Some(status))
                    }
                    false => state.write(kind, name, spec, None),
                }
            }
        };
        self.changed.notify_all();
        (200, written)
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Value, status: Option<Value>) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key);
        if let Some(before) = before
            && before["spec"] == spec
            && status.is_none()
        {
            return before.clone();
        }
        let status = status.unwrap_or_else(|| before.map_or(Value::Null, |b| b["status"].clone()));
        let created = before.map_or(self.revision + 1, |b| {
            b["meta"]["created"].as_u64().unwrap_or(0)
        });
        self.revision += 1;
        let object = json!({
            "meta": {"name": name, "rev": self.revision, "created": created,
                     "finalizers": [], "deleting": false},
            "spec": spec, "status": status,
        });
        self.objects.insert(key, object.clone());
        let event = (self.revision, kind.to_owned(), object.clone(), false);
        self.events.push(event);
        object
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            let event = (self.revision, kind.to_owned(), object, true);
            self.events.push(event);
        }
    }
}
