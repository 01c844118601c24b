//! A stand-in for the platform's store, as far as the system uses it: objects by kind and
//! name with revisions, conditional writes, listings and watches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: RefCell<State>,
    changed: Notify,
}

impl Store {
    pub async fn start() -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Rc::new(Self {
            address: listener.local_addr()?,
            state: RefCell::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Notify::new(),
        });
        let serving = Rc::clone(&store);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = Rc::clone(&serving);
                tokio::task::spawn_local(async move {
                    let _ = store.serve(stream).await;
                });
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let rev = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let before = state.objects.get(&key);
        let created = before.and_then(|o| o["meta"]["created"].as_u64());
        let status = before.map_or(Value::Null, |o| o["status"].clone());
        let object = json!({
            "meta": {"name": name, "rev": rev, "created": created.unwrap_or(rev),
                     "finalizers": [], "deleting": false},
            "spec": spec, "status": status,
        });
        state.objects.insert(key, object.clone());
        let event = json!({"object": object, "deleted": false});
        state.events.push((rev, kind.to_owned(), event));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let rev = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            let event = json!({"object": object, "deleted": true});
            state.events.push((rev, kind.to_owned(), event));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = http::split(stream);
        while let Some(head) = http::read_head(&mut reader).await? {
            let body = http::read_body(&mut reader, &head).await?;
            let (status, reply) = self.execute(&head, &body).await;
            let reply = serde_json::to_vec(&reply)?;
            let answer = format!(
                "HTTP/1.1 {status} R\r\ncontent-type: application/json\r\nstore-era: 1\r\n\
                 content-length: {}\r\n\r\n",
                reply.len()
            );
            writer.write_all(answer.as_bytes()).await?;
            writer.write_all(&reply).await?;
        }
        Ok(())
    }

    async fn execute(&self, head: &http::Head, body: &[u8]) -> (u16, Value) {
        let target = head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(path) = path.strip_prefix("/objects/") else {
            return (404, Value::Null);
        };
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        match (head.word(0), name) {
            ("GET", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                match self.state.borrow().objects.get(&key) {
                    Some(object) => (200, object.clone()),
                    None => (404, Value::Null),
                }
            }
            ("GET", None) => match parameter("watch").and_then(|v| v.parse().ok()) {
                Some(since) => {
                    let wait = parameter("waitMs").and_then(|v| v.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0).min(30_000));
                    self.watch(kind, since, wait).await
                }
                None => self.list(kind),
            },
            ("POST", None) => self.write(kind, body, None),
            ("PUT", Some(name)) if parts.next().is_none() => self.write(kind, body, Some(name)),
            _ => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.state.borrow();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let entries: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
        let page = json!({"entries": entries, "hasMore": false, "asOf": state.revision});
        (200, page)
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, Value) {
        let changes = async {
            loop {
                let changed = self.changed.notified();
                if !self.events(kind, since).is_empty() {
                    return;
                }
                changed.await;
            }
        };
        let _ = tokio::time::timeout(wait, changes).await;
        let events = self.events(kind, since);
        let as_of = self.state.borrow().revision;
        (200, json!({"events": events, "asOf": as_of}))
    }

    fn events(&self, kind: &str, since: u64) -> Vec<Value> {
        let state = self.state.borrow();
        let later = state
            .events
            .iter()
            .filter(|(rev, k, _)| *rev > since && k == kind);
        later.map(|(_, _, event)| event.clone()).collect()
    }

    /// Creates an object if `name` is not given, else replaces it.
    fn write(&self, kind: &str, body: &[u8], name: Option<&str>) -> (u16, Value) {
        let Ok(object) = serde_json::from_slice::<Value>(body) else {
            return (400, Value::Null);
        };
        let meta_name = object["meta"]["name"].as_str().unwrap_or_default();
        let key = (kind.to_owned(), name.unwrap_or(meta_name).to_owned());
        let present = self.state.borrow().objects.get(&key).cloned();
        let expected = object["meta"]["rev"].as_u64();
        match (&present, name) {
            (Some(present), None) => return (409, present.clone()),
            (None, Some(_)) => return (404, Value::Null),
            (Some(present), Some(_)) => {
                if expected.is_some_and(|r| present["meta"]["rev"] != json!(r)) {
                    return (409, present.clone());
                }
            }
            (None, None) => {}
        }
        self.put(kind, &key.1, &object["spec"]);
        let stored = self.state.borrow().objects.get(&key).cloned();
        (200, stored.unwrap_or_default())
    }
}
