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

/// The largest number and size of the entries of a page.
const PAGE_ENTRIES: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// The body of a reply that holds nothing.
const NOTHING: &str = "null";

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// The changes, with their revision and the kind of the object.
    events: Vec<(u64, String, Rc<str>)>,
}

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    /// The encoded object.
    text: Rc<str>,
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
        let created = state.objects.get(&key).map_or(rev, |o| o.created);
        let object = json!({
            "meta": {"name": name, "rev": rev, "created": created,
                     "finalizers": [], "deleting": false},
            "spec": spec,
        });
        let text: Rc<str> = object.to_string().into();
        let event = format!("{{\"object\":{text},\"deleted\":false}}");
        state.objects.insert(key, Object { rev, created, text });
        state.events.push((rev, kind.to_owned(), event.into()));
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
            let event = format!("{{\"object\":{},\"deleted\":true}}", object.text);
            state.events.push((rev, kind.to_owned(), event.into()));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = http::split(stream);
        while let Some(head) = http::read_head(&mut reader).await? {
            let body = http::read_body(&mut reader, &head).await?;
            let (status, reply) = self.execute(&head, &body).await;
            let answer = format!(
                "HTTP/1.1 {status} R\r\ncontent-type: application/json\r\nstore-era: 1\r\n\
                 content-length: {}\r\n\r\n",
                reply.len()
            );
            writer.write_all(answer.as_bytes()).await?;
            writer.write_all(reply.as_bytes()).await?;
        }
        Ok(())
    }

    async fn execute(&self, head: &http::Head, body: &[u8]) -> (u16, String) {
        let target = head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(path) = path.strip_prefix("/objects/") else {
            return (404, NOTHING.to_owned());
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
                    Some(object) => (200, object.text.to_string()),
                    None => (404, NOTHING.to_owned()),
                }
            }
            ("GET", None) => match parameter("watch").and_then(|v| v.parse().ok()) {
                Some(since) => {
                    let wait = parameter("waitMs").and_then(|v| v.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0).min(30_000));
                    self.watch(kind, since, wait).await
                }
                None => self.list(kind, parameter("after").as_deref()),
            },
            ("POST", None) => self.write(kind, body, None),
            ("PUT", Some(name)) if parts.next().is_none() => self.write(kind, body, Some(name)),
            _ => (404, NOTHING.to_owned()),
        }
    }

    /// Returns a page of the objects of a kind that come after a name.
    fn list(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let state = self.state.borrow();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let mut rest = of_kind.filter(|((_, name), _)| after.is_none_or(|a| name.as_str() > a));
        let (mut entries, mut bytes): (Vec<&str>, usize) = (Vec::new(), 0);
        let mut has_more = false;
        for (_, object) in &mut rest {
            bytes += object.text.len();
            has_more = !entries.is_empty() && (bytes > PAGE_BYTES || entries.len() == PAGE_ENTRIES);
            if has_more {
                break;
            }
            entries.push(&object.text);
        }
        let entries = entries.join(",");
        let as_of = state.revision;
        let page = format!("{{\"entries\":[{entries}],\"hasMore\":{has_more},\"asOf\":{as_of}}}");
        (200, page)
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
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
        let events = self.events(kind, since).join(",");
        let as_of = self.state.borrow().revision;
        (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"))
    }

    fn events(&self, kind: &str, since: u64) -> Vec<Rc<str>> {
        let state = self.state.borrow();
        let first = state.events.partition_point(|(rev, ..)| *rev <= since);
        let later = state.events[first..].iter().filter(|(_, k, _)| k == kind);
        later.map(|(_, _, event)| Rc::clone(event)).collect()
    }

    /// Creates an object if `name` is not given, else replaces it.
    fn write(&self, kind: &str, body: &[u8], name: Option<&str>) -> (u16, String) {
        let Ok(object) = serde_json::from_slice::<Value>(body) else {
            return (400, NOTHING.to_owned());
        };
        let meta_name = object["meta"]["name"].as_str().unwrap_or_default();
        let key = (kind.to_owned(), name.unwrap_or(meta_name).to_owned());
        let present = self.state.borrow().objects.get(&key).cloned();
        let expected = object["meta"]["rev"].as_u64();
        match (&present, name) {
            (Some(present), None) => return (409, present.text.to_string()),
            (None, Some(_)) => return (404, NOTHING.to_owned()),
            (Some(present), Some(_)) if expected.is_some_and(|rev| rev != present.rev) => {
                return (409, present.text.to_string());
            }
            _ => {}
        }
        self.put(kind, &key.1, &object["spec"]);
        let state = self.state.borrow();
        let stored = state.objects.get(&key);
        (200, stored.map_or(NOTHING, |o| &*o.text).to_owned())
    }
}
