//! A stand-in for the platform's store, as PROTOCOL.md describes it: objects by kind and name
//! with one revision counter, conditional writes, listings in pages and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::read_body;
use crate::http::read_head;

const PAGE: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
    /// Texts in objects, in quotes, and the bytes that another writer has stored there.
    raw: Vec<(Vec<u8>, Vec<u8>)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            address,
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Lets objects hold `bytes` in the place of `text` and its quotes.
    pub fn set_raw(&self, text: &str, bytes: &[u8]) {
        let mut state = self.state.lock().expect("a store");
        let text = format!("\"{text}\"").into_bytes();
        state.raw.push((text, bytes.to_vec()));
    }

    /// Creates or replaces an object. One whose `seq` alone differs keeps its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = self.state.lock().expect("a store");
        let key = (kind.to_owned(), name.to_owned());
        if let Some(old) = state.objects.get_mut(&key) {
            let mut same = old["spec"].clone();
            if spec.get("seq").is_some() {
                same["seq"] = spec["seq"].clone();
            }
            if same == *spec {
                old["spec"] = spec.clone();
                return;
            }
        }
        let status = state.objects.get(&key).map(|o| o["status"].clone());
        write(
            &mut state,
            kind,
            name,
            spec.clone(),
            status.unwrap_or(Value::Null),
        );
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let (status, reply) = self.answer(head.word(0), head.word(1), &body);
            let mut text = reply.to_string().into_bytes();
            for (from, to) in &self.state.lock().expect("a store").raw {
                text = replace(&text, from, to);
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                text.len()
            );
            writer.write_all(&[head.as_bytes(), &text].concat())?;
        }
        Ok(())
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, Value) {
        // The few milliseconds that the pages name for an answer.
        std::thread::sleep(Duration::from_millis(4));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let rev = body["meta"]["rev"].as_u64();
        let rev = rev.or_else(|| query.get("rev").and_then(|r| r.parse().ok()));
        match (method, name) {
            ("GET", None) => match query.get("watch").and_then(|r| r.parse().ok()) {
                Some(from) => {
                    let wait = query.get("waitMs").and_then(|w| w.parse().ok());
                    self.watch(&kind, from, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(&kind, query.get("after").copied()),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().expect("a store");
                match state.objects.get(&(kind, name)) {
                    Some(object) => (200, object.clone()),
                    None => (404, Value::Null),
                }
            }
            ("POST", None) => {
                let name = body["meta"]["name"].as_str().unwrap_or("").to_owned();
                let mut state = self.state.lock().expect("a store");
                if let Some(object) = state.objects.get(&(kind.clone(), name.clone())) {
                    return (409, object.clone());
                }
                let object = write(&mut state, &kind, &name, body["spec"].clone(), Value::Null);
                drop(state);
                self.changed.notify_all();
                (200, object)
            }
            ("PUT", Some(name)) => {
                let mut state = self.state.lock().expect("a store");
                let Some(old) = state.objects.get(&(kind.clone(), name.clone())).cloned() else {
                    return (404, Value::Null);
                };
                if rev.is_some() && rev != old["meta"]["rev"].as_u64() {
                    return (409, old);
                }
                let (spec, status) = match is_status {
                    true => (old["spec"].clone(), body["status"].clone()),
                    false => (body["spec"].clone(), old["status"].clone()),
                };
                if spec == old["spec"] && status == old["status"] {
                    return (200, old);
                }
                let object = write(&mut state, &kind, &name, spec, status);
                drop(state);
                self.changed.notify_all();
                (200, object)
            }
            ("DELETE", Some(name)) => {
                let mut state = self.state.lock().expect("a store");
                let old = state.objects.get(&(kind.clone(), name.clone())).cloned();
                match old {
                    None => (404, Value::Null),
                    Some(old) if rev.is_some() && rev != old["meta"]["rev"].as_u64() => (409, old),
                    Some(old) => {
                        remove(&mut state, &kind, &name);
                        drop(state);
                        self.changed.notify_all();
                        (200, old)
                    }
                }
            }
            _ => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Value) {
        let state = self.state.lock().expect("a store");
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let mut rest = of_kind.filter(|((_, name), _)| after.is_none_or(|a| name.as_str() > a));
        let entries: Vec<Value> = rest.by_ref().take(PAGE).map(|(_, o)| o.clone()).collect();
        let more = rest.next().is_some();
        (
            200,
            json!({"entries": entries, "hasMore": more, "asOf": state.revision}),
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("a store");
        if from > state.revision {
            return (410, Value::Null);
        }
        loop {
            let news = state
                .events
                .iter()
                .filter(|(r, k, _)| *r > from && k == kind);
            let events: Vec<Value> = news.map(|(_, _, e)| e.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "asOf": state.revision}));
            }
            state = self.changed.wait_timeout(state, left).expect("a store").0;
        }
    }
}

fn write(state: &mut State, kind: &str, name: &str, spec: Value, status: Value) -> Value {
    state.revision += 1;
    let rev = state.revision;
    let key = (kind.to_owned(), name.to_owned());
    let created = state
        .objects
        .get(&key)
        .and_then(|o| o["meta"]["created"].as_u64());
    let object = json!({
        "meta": {"name": name, "rev": rev, "created": created.unwrap_or(rev),
            "finalizers": [], "deleting": false},
        "spec": spec, "status": status,
    });
    state.objects.insert(key, object.clone());
    let event = json!({"object": object, "deleted": false});
    state.events.push((rev, kind.to_owned(), event));
    object
}

fn remove(state: &mut State, kind: &str, name: &str) {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(object) = state.objects.remove(&key) {
        state.revision += 1;
        let event = json!({"object": object, "deleted": true});
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), event));
    }
}

fn replace(text: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut replaced = Vec::with_capacity(text.len());
    let mut at = 0;
    while at < text.len() {
        if text[at..].starts_with(from) {
            replaced.extend_from_slice(to);
            at += from.len();
        } else {
            replaced.push(text[at]);
            at += 1;
        }
    }
    replaced
}
