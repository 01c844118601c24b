//! A stand-in for a replica, as PROTOCOL.md describes it: it checks `Expect-Instance`, echoes
//! `Request-Id`, signs its answers, goes on with a stream at `Last-Event-Id`, tells `born` in
//! all that it says of itself, and registers itself in the store.

use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde_json::json;

use crate::http::Head;
use crate::http::read_body;
use crate::http::read_head;
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
pub const SLOTS: i64 = 12;

/// A part of prompts on which replicas crash when they begin to write an answer.
pub const CRASHING_PART: &str = "0badf00d";

/// Requests that wait beside those in slots.
const QUEUED: i64 = 12;

/// Paths below this one are answered with a stream.
pub const STREAM_PATH: &str = "/s/";

/// Paths below this one are answered with a long body, of as many bytes as the path names.
pub const LONG_PATH: &str = "/long/";

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub version: String,
    /// Whether it is a model replica, which has `GET /report`.
    pub is_engine: bool,
    /// The events of a whole stream, and the time between two of them.
    pub events: u64,
    pub pause: Duration,
    /// Whether streams have neither a length nor chunks, and end with their channel.
    pub is_unframed: bool,
    /// One in so many streams is broken off between two events; none if 0.
    pub break_one_in: u64,
}

pub struct Server {
    pub spec: Spec,
    born: u64,
    is_alive: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicI64,
    /// The streams so far.
    streams: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Server {
    /// Starts to listen, and registers after `register_after`.
    pub fn start(
        spec: Spec,
        register_after: Duration,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = loop {
            match TcpListener::bind(spec.address) {
                Ok(listener) => break listener,
                Err(e) if e.kind() == ErrorKind::AddrInUse => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(e) => panic!("cannot listen at {}: {e}", spec.address),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = since_epoch.map_or(0, |t| t.as_millis() as u64);
        record.line(&format!("replica {} {} listens", spec.id, spec.version));
        let server = Arc::new(Self {
            spec,
            born,
            is_alive: AtomicBool::new(true),
            connections: Mutex::default(),
            running: AtomicI64::new(0),
            streams: AtomicU64::new(0),
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&server);
        std::thread::spawn(move || accepting.accept(&listener));
        let registering = Arc::clone(&server);
        std::thread::spawn(move || {
            std::thread::sleep(register_after);
            registering.register();
        });
        server
    }

    pub fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::SeqCst)
    }

    /// Ends like a process that is killed.
    pub fn crash(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let Spec { id, version, .. } = &self.spec;
        self.record.line(&format!("replica {id} {version} crashes"));
    }

    /// Renews the registration until the end of the process.
    fn register(&self) {
        let spec = &self.spec;
        let mut seq = 0;
        while self.is_alive() {
            seq += 1;
            let registration = json!({
                "backend": spec.service, "addr": spec.address.to_string(), "zone": spec.zone,
                "version": spec.version, "slots": SLOTS, "state": "ready", "coldLeftMs": 0,
                "born": self.born, "seq": seq,
            });
            self.store.put("servers", &spec.id, &registration);
            if seq == 1 {
                self.record
                    .line(&format!("replica {} {} registers", spec.id, spec.version));
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while self.is_alive() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let Ok(handle) = stream.try_clone() else {
                        continue;
                    };
                    self.connections.lock().expect("connections").push(handle);
                    let server = Arc::clone(&self);
                    std::thread::spawn(move || {
                        let _ = server.serve(stream);
                    });
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            if !self.is_alive() {
                return Ok(());
            }
            match head.word(1) {
                "/report" if self.spec.is_engine => {
                    let active = self.running.load(Ordering::SeqCst).max(0);
                    let report = json!({
                        "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                        "busy": false, "seq": 1, "queued": (active - SLOTS).max(0),
                        "active": active.min(SLOTS), "kvUsed": 0, "kvTotal": 500_000,
                        "handles": 0, "born": self.born,
                    });
                    self.reply(&mut writer, "200 OK", "", &report.to_string())?;
                }
                "/healthz" => {
                    let instance = format!("Instance: {}\r\n", self.spec.id);
                    self.reply(&mut writer, "200 OK", &instance, "")?;
                }
                _ => {
                    let body = read_body(&mut reader, &head)?;
                    self.run(&head, &body, &mut writer)?;
                }
            }
        }
        Ok(())
    }

    fn run(&self, head: &Head, body: &[u8], writer: &mut TcpStream) -> std::io::Result<()> {
        let spec = &self.spec;
        let (id, path) = (head.get("request-id").unwrap_or("-"), head.word(1));
        let echo = format!("Request-Id: {id}\r\n");
        if head.get("expect-instance").is_some_and(|i| i != spec.id) {
            self.record
                .line(&format!("replica {} answers {id} with 421", spec.id));
            let more = format!("{echo}Instance: {}\r\n", spec.id);
            return self.reply(writer, "421 Misdirected Request", &more, "");
        }
        let held = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let result = if held > SLOTS + QUEUED {
            let more = format!("{echo}Not-Executed: 1\r\n{}", self.load());
            self.reply(writer, "503 Service Unavailable", &more, "")
        } else if path.starts_with(STREAM_PATH) {
            self.run_stream(head, id, writer)
        } else {
            self.record.line(&format!(
                "replica {} of {} runs {id}: {} {path}, {} bytes, tenant {}",
                spec.id,
                spec.service,
                head.word(0),
                body.len(),
                head.get("tenant").unwrap_or("-")
            ));
            std::thread::sleep(Duration::from_millis(20));
            let more = format!("{echo}Server-Stamp: {}.{id}\r\n{}", spec.id, self.load());
            let mut body = format!("{} {id}", spec.service);
            if let Some(length) = path.strip_prefix(LONG_PATH) {
                body = "x".repeat(length.parse().unwrap_or(0));
            }
            self.reply(writer, "200 OK", &more, &body)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn load(&self) -> String {
        let held = self.running.load(Ordering::SeqCst);
        let (active, waiting) = (held.min(SLOTS), (held - SLOTS).max(0));
        format!("Server-Load: {active},{waiting},{SLOTS}\r\n")
    }

    fn run_stream(&self, head: &Head, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let spec = &self.spec;
        let after = head.get("last-event-id").and_then(|v| v.parse().ok());
        let after: u64 = after.unwrap_or(0);
        self.record.line(&format!(
            "replica {} of {} {} runs the stream {id} from event {}",
            spec.id,
            spec.service,
            spec.version,
            after + 1
        ));
        let framing = match spec.is_unframed {
            true => "",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\
             Request-Id: {id}\r\nServer-Stamp: {}.{id}\r\n{}Weight-Versions: 1\r\n\r\n",
            spec.id,
            self.load()
        );
        // The last part of the path can name the number of events.
        let named = head.word(1).rsplit('/').next();
        let events = named.and_then(|n| n.parse().ok()).unwrap_or(spec.events);
        let parts = head.get("prompt-prefix").unwrap_or("");
        if parts.split(',').any(|p| p.starts_with(CRASHING_PART)) {
            self.crash();
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let streams = self.streams.fetch_add(1, Ordering::SeqCst) + 1;
        let is_broken = spec.break_one_in > 0 && streams.is_multiple_of(spec.break_one_in);
        let last = if is_broken {
            after.max(events / 2)
        } else {
            events
        };
        if is_broken && after < last {
            let line = format!("replica {} breaks off {id} after event {last}", spec.id);
            self.record.line(&line);
        }
        for number in after + 1..=last {
            let event = format!(
                "id: {number}\ndata: {} {} {}\n\n",
                spec.service, spec.version, spec.id
            );
            match spec.is_unframed {
                true => answer.push_str(&event),
                false => answer.push_str(&format!("{:x}\r\n{event}\r\n", event.len())),
            }
            writer.write_all(answer.as_bytes())?;
            answer.clear();
            let until = Instant::now() + spec.pause;
            while Instant::now() < until {
                if !self.is_alive() || has_left(writer) {
                    return Err(ErrorKind::ConnectionAborted.into());
                }
                std::thread::sleep(Duration::from_millis(10).min(spec.pause));
            }
        }
        if spec.is_unframed {
            writer.write_all(answer.as_bytes())?;
            writer.shutdown(Shutdown::Write)?;
            return Err(ErrorKind::ConnectionAborted.into());
        }
        answer.push_str("0\r\n\r\n");
        writer.write_all(answer.as_bytes())
    }

    fn reply(
        &self,
        writer: &mut TcpStream,
        status: &str,
        more: &str,
        body: &str,
    ) -> std::io::Result<()> {
        let reply = format!(
            "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(reply.as_bytes())
    }
}

/// Returns whether the sender of a request has closed its connection.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let left = match stream.peek(&mut byte) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    left
}
