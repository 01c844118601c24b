//! A replica: a sound server that answers as its case says.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Head;
use crate::store::Store;

/// Answers a request; returns whether the whole answer was written.
pub type Answer = Arc<dyn Fn(&Replica, &mut TcpStream, &Head) -> bool + Send + Sync>;

pub struct Replica {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub born: u64,
    slots: u32,
    active: AtomicU64,
    is_dead: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    accepting: Mutex<Option<JoinHandle<()>>>,
    answer: Answer,
}

/// What distinguishes a replica from others.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub version: String,
    pub slots: u32,
}

impl Replica {
    /// Starts a replica at `address`; port 0 takes a free one.
    pub fn start(address: &str, identity: &Identity, answer: Answer) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a replica binds");
        listener.set_nonblocking(true).expect("it does not block");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let replica = Arc::new(Self {
            id: identity.id.clone(),
            service: identity.service.clone(),
            version: identity.version.clone(),
            address: listener.local_addr().expect("an address"),
            born: born.map_or(0, |b| b.as_millis() as u64),
            slots: identity.slots,
            active: AtomicU64::new(0),
            is_dead: AtomicBool::new(false),
            connections: Mutex::default(),
            accepting: Mutex::default(),
            answer,
        });
        let accepting = Arc::clone(&replica);
        let handle = thread::spawn(move || accepting.accept(&listener));
        *replica.accepting.lock().unwrap() = Some(handle);
        replica
    }

    /// Registers the replica in the platform's store.
    pub fn register(&self, store: &Store) {
        store.beat(&self.id, self.registration());
    }

    fn registration(&self) -> Value {
        json!({
            "backend": self.service, "addr": self.address.to_string(), "zone": "a",
            "version": self.version, "slots": self.slots, "state": "ready", "coldLeftMs": 0,
            "stage": "both", "models": [], "seq": 1, "born": self.born,
        })
    }

    /// Lets replicas crash at the same moment: nobody listens any more, and all connections
    /// end, as the kernel ends them.
    pub fn crash_all(replicas: &[Arc<Self>]) {
        for replica in replicas {
            replica.is_dead.store(true, Ordering::SeqCst);
        }
        for replica in replicas {
            if let Some(handle) = replica.accepting.lock().unwrap().take() {
                let _ = handle.join();
            }
        }
        for replica in replicas {
            for stream in replica.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_dead.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                self.connections.lock().unwrap().push(clone);
            }
            let replica = Arc::clone(self);
            thread::spawn(move || replica.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(mut reader) = http::buffered(&stream) else {
            return;
        };
        while let Some(head) = http::read_head(&mut reader) {
            if http::read_sized(&mut reader, &head).is_none() {
                return;
            }
            let is_served = match head.method_and_target().1 {
                "/report" => self.report(&mut stream),
                "/healthz" => self.health(&mut stream),
                _ => self.run(&mut stream, &head),
            };
            if !is_served {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn run(&self, stream: &mut TcpStream, head: &Head) -> bool {
        if head.get("expect-instance").is_some_and(|id| id != self.id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance: {}\r\nRequest-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id,
                head.get("request-id").unwrap_or("")
            );
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        self.active.fetch_add(1, Ordering::SeqCst);
        let is_served = (self.answer)(self, stream, head);
        self.active.fetch_sub(1, Ordering::SeqCst);
        is_served
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let report = json!({
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": false, "seq": 1, "queued": 0, "active": self.active.load(Ordering::SeqCst),
            "kvUsed": 0, "kvTotal": 554_688, "handles": 0, "runs": [], "born": self.born,
        });
        let report = report.to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}",
            report.len()
        );
        stream.write_all(answer.as_bytes()).is_ok()
    }

    fn health(&self, stream: &mut TcpStream) -> bool {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nInstance: {}\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        stream.write_all(answer.as_bytes()).is_ok()
    }
}

/// Writes a stream of `count` events, one each `pause`, after the one that the request names.
pub fn stream_events(
    replica: &Replica,
    stream: &mut TcpStream,
    head: &Head,
    count: u64,
    pause: Duration,
) -> bool {
    let last = head.get("last-event-id").and_then(|v| v.parse().ok());
    let id = head.get("request-id").unwrap_or("");
    let begin = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
         Server-Stamp: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
        replica.id
    );
    if stream.write_all(begin.as_bytes()).is_err() {
        return false;
    }
    for number in last.unwrap_or(0) + 1..=count {
        let event = format!(
            "id: {number}\ndata: {} {}\n\n",
            replica.service, replica.version
        );
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if replica.is_dead.load(Ordering::SeqCst) || stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}
