//! A stand-in for a replica: a model replica that sends streams of events, or an
//! application service.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployment::HEARTBEAT;
use crate::http;
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

/// The receive buffer of a replica's channels, in bytes.
const RECEIVE_BUFFER: u32 = 64 << 10;

/// What a replica does with the requests that it runs.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A stream of so many events, with this pause before each.
    Stream { events: u64, pause: Duration },
    /// A whole body after so long, of so many bytes or as many as the request names.
    Body { bytes: usize, after: Duration },
    /// Like `Body`, but the replica fails so many in a hundred of its requests with its own
    /// 503, after it has run them.
    Failing { bytes: usize, percent: usize },
    /// Like `Body`, but one answer in `every` is spoilt: other bytes that look like an
    /// answer of some other server are sent in its place.
    Spoilt { bytes: usize, every: usize },
    /// The head of the answer as soon as so many bytes of a longer request body have arrived,
    /// and its body of `bytes` when the whole request is there. The replica pauses in between.
    Early {
        begin_after: usize,
        pause: Duration,
        bytes: usize,
    },
}

/// A request that a replica has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub tenant: String,
    pub path: String,
}

pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    pub service: String,
    pub runs: RefCell<Vec<Run>>,
    answer: Answer,
    active: Cell<u64>,
    born: u64,
    seq: Cell<u64>,
    is_registered: Cell<bool>,
    record: Record,
}

impl Replica {
    pub async fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        version: &str,
        answer: Answer,
        record: &Record,
    ) -> std::io::Result<Rc<Self>> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.bind((ip, 0).into())?;
        let listener = socket.listen(1024)?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let replica = Rc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            version: version.to_owned(),
            service: service.to_owned(),
            runs: RefCell::default(),
            answer,
            active: Cell::new(0),
            born: u64::try_from(born.unwrap_or_default().as_millis()).unwrap_or(0),
            seq: Cell::new(0),
            is_registered: Cell::new(false),
            record: record.clone(),
        });
        let serving = Rc::clone(&replica);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = Rc::clone(&serving);
                tokio::task::spawn_local(async move {
                    let _ = replica.serve(stream).await;
                });
            }
        });
        Ok(replica)
    }

    /// Registers the replica in the store, and renews the entry until it is removed.
    pub fn register(self: &Rc<Self>, store: &Rc<Store>) {
        self.record.line(&format!(
            "{} of version {} registers",
            self.id, self.version
        ));
        self.is_registered.set(true);
        let (replica, store) = (Rc::clone(self), Rc::clone(store));
        replica.beat(&store);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                if !replica.is_registered.get() {
                    return;
                }
                replica.beat(&store);
            }
        });
    }

    /// Removes the entry of the replica, which goes on to serve.
    pub fn remove(&self, store: &Store) {
        self.record
            .line(&format!("the entry of {} is removed", self.id));
        self.is_registered.set(false);
        store.delete("servers", &self.id);
    }

    fn beat(&self, store: &Store) {
        self.seq.set(self.seq.get() + 1);
        let entry = json!({
            "backend": self.service, "addr": self.address.to_string(), "zone": "a",
            "version": self.version, "slots": 12, "state": "ready", "coldLeftMs": 0,
            "seq": self.seq.get(), "born": self.born, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        });
        store.put("servers", &self.id, &entry);
    }

    /// Returns whether the replica has run the request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.borrow().iter().any(|run| run.id == id)
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut writer) = http::split(stream);
        while let Some(head) = http::read_head(&mut reader).await? {
            if let Answer::Early {
                begin_after,
                pause,
                bytes,
            } = self.answer
                && head.length().is_some_and(|length| length > begin_after)
            {
                self.answer_early(&mut reader, &mut writer, &head, begin_after, pause, bytes)
                    .await?;
                continue;
            }
            let _body = http::read_body(&mut reader, &head).await?;
            let path = head.word(1).to_owned();
            if path == "/report" {
                self.send_report(&mut writer).await?;
                continue;
            }
            if head.get("expect-instance").is_some_and(|id| id != self.id) {
                let answer = "HTTP/1.1 421 Misdirected Request\r\nnot-executed: 1\r\n\
                              content-length: 0\r\n\r\n";
                writer.write_all(answer.as_bytes()).await?;
                continue;
            }
            let Some(id) = head.get("request-id").map(str::to_owned) else {
                let answer = "HTTP/1.1 400 Bad Request\r\nnot-executed: 1\r\n\
                              content-length: 0\r\n\r\n";
                writer.write_all(answer.as_bytes()).await?;
                continue;
            };
            self.record.line(&format!(
                "{} ({}) runs {id} from event {}",
                self.id,
                self.version,
                head.get("last-event-id").unwrap_or("0")
            ));
            self.runs.borrow_mut().push(Run {
                at: self.record.now(),
                id: id.clone(),
                tenant: head.get("tenant").unwrap_or_default().to_owned(),
                path,
            });
            self.active.set(self.active.get() + 1);
            // A replica drops a request whose channel closes.
            let mut rest = [0; 1];
            let ended = tokio::select! {
                ended = self.answer(&mut writer, &head, &id) => ended,
                _ = reader.read(&mut rest) => Err(std::io::ErrorKind::BrokenPipe.into()),
            };
            self.active.set(self.active.get() - 1);
            if ended.is_err() {
                self.record.line(&format!("{} drops {id}", self.id));
            }
            ended?;
        }
        Ok(())
    }

    async fn answer<W>(&self, writer: &mut W, head: &Head, id: &str) -> std::io::Result<()>
    where
        W: AsyncWriteExt + Unpin,
    {
        let common = format!(
            "request-id: {id}\r\nserver-stamp: {}.{id}\r\ninstance: {}\r\n\
             server-load: {},0,12\r\n",
            self.id,
            self.id,
            self.active.get()
        );
        match self.answer {
            Answer::Stream { events, pause } => {
                let last = head.get("last-event-id").and_then(|v| v.parse().ok());
                let begin = format!(
                    "HTTP/1.1 200 OK\r\n{common}weight-versions: 1\r\n\
                     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                writer.write_all(begin.as_bytes()).await?;
                for i in last.unwrap_or(0) + 1..=events {
                    tokio::time::sleep(pause).await;
                    let event = format!("id: {i}\ndata: {} {}\n\n", self.version, self.id);
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    writer.write_all(chunk.as_bytes()).await?;
                }
                writer.write_all(b"0\r\n\r\n").await
            }
            Answer::Failing { bytes, percent } => {
                let run = self.runs.borrow().len();
                if run * percent / 100 > (run - 1) * percent / 100 {
                    self.record
                        .line(&format!("{} has run {id} and answers 503", self.id));
                    let failure = format!(
                        "HTTP/1.1 503 Service Unavailable\r\n{common}content-length: 6\r\n\r\nfailed"
                    );
                    return writer.write_all(failure.as_bytes()).await;
                }
                let begin = format!("HTTP/1.1 200 OK\r\n{common}content-length: {bytes}\r\n\r\n");
                writer.write_all(begin.as_bytes()).await?;
                writer.write_all(&body(bytes)).await
            }
            Answer::Spoilt { bytes, every } => {
                if self.runs.borrow().len() % every == 0 {
                    self.record
                        .line(&format!("{} spoils its answer to {id}", self.id));
                    let spoilt = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok\n";
                    return writer.write_all(spoilt.as_bytes()).await;
                }
                let begin = format!("HTTP/1.1 200 OK\r\n{common}content-length: {bytes}\r\n\r\n");
                writer.write_all(begin.as_bytes()).await?;
                writer.write_all(&body(bytes)).await
            }
            Answer::Early { bytes, .. } => {
                let begin = format!("HTTP/1.1 200 OK\r\n{common}content-length: {bytes}\r\n\r\n");
                writer.write_all(begin.as_bytes()).await?;
                writer.write_all(&body(bytes)).await
            }
            Answer::Body { bytes, after } => {
                let asked = head.get("answer-bytes").and_then(|v| v.parse().ok());
                let bytes = asked.unwrap_or(bytes);
                tokio::time::sleep(after).await;
                let begin = format!(
                    "HTTP/1.1 200 OK\r\n{common}content-type: application/octet-stream\r\n\
                     content-length: {bytes}\r\n\r\n"
                );
                writer.write_all(begin.as_bytes()).await?;
                writer.write_all(&body(bytes)).await
            }
        }
    }

    /// Answers before the whole request has arrived, keeps the channel and reads on.
    async fn answer_early<W>(
        &self,
        reader: &mut http::Reader,
        writer: &mut W,
        head: &Head,
        begin_after: usize,
        pause: Duration,
        bytes: usize,
    ) -> std::io::Result<()>
    where
        W: AsyncWriteExt + Unpin,
    {
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let length = head.length().unwrap_or(0);
        let mut received = vec![0; begin_after];
        reader.read_exact(&mut received).await?;
        self.record.line(&format!(
            "{} runs {id} and answers 200 after {begin_after} of {length} bytes of its body",
            self.id
        ));
        self.runs.borrow_mut().push(Run {
            at: self.record.now(),
            id: id.clone(),
            tenant: head.get("tenant").unwrap_or_default().to_owned(),
            path: head.word(1).to_owned(),
        });
        let begin = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: {}.{id}\r\n\
             content-type: application/octet-stream\r\ncontent-length: {bytes}\r\n\r\n",
            self.id
        );
        writer.write_all(begin.as_bytes()).await?;
        tokio::time::sleep(pause).await;
        let mut rest = vec![0; 64 << 10];
        let mut count = begin_after;
        while count < length {
            let wanted = rest.len().min(length - count);
            match reader.read(&mut rest[..wanted]).await {
                Ok(read) if read > 0 => count += read,
                ended => {
                    self.record.line(&format!(
                        "{} has got {count} of {length} bytes of {id} when its channel ends",
                        self.id
                    ));
                    ended?;
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
        self.record
            .line(&format!("{} has got the whole body of {id}", self.id));
        writer.write_all(&body(bytes)).await
    }

    async fn send_report<W>(&self, writer: &mut W) -> std::io::Result<()>
    where
        W: AsyncWriteExt + Unpin,
    {
        let report = json!({
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": false, "seq": 0, "queued": 0, "active": self.active.get(),
            "kvUsed": 0, "kvTotal": 500_000, "handles": 0, "pinned": 0, "held": 0,
            "state": "ready", "next": 0, "runs": [], "born": self.born,
        });
        let report = serde_json::to_vec(&report)?;
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            report.len()
        );
        writer.write_all(head.as_bytes()).await?;
        writer.write_all(&report).await
    }
}

/// Returns the whole body of an answer of so many bytes.
pub fn body(bytes: usize) -> Vec<u8> {
    (0..bytes)
        .map(|i| b'a' + u8::try_from(i % 23).unwrap_or(0))
        .collect()
}
