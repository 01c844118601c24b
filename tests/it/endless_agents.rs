//! Engines that write bytes without end when a standalone agent reads their load or their
//! models. The memory of the agent stays bounded, its connections don't pile up, and it
//! grants its engine to callers meanwhile.

use std::cell::Cell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use almondramp::name::Name;
use almondramp::settings::File;
use almondramp_standins::Platform;
use almondramp_standins::Process;
use almondramp_standins::read_request;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::Env;
use crate::support::KEY;
use crate::support::chat_body;
use crate::support::settings;
use crate::support::spec;

/// The most memory that an agent may ever have used, in kB. Its host has 192 MB.
const MEMORY_BOUND_KB: u64 = 88_000;

/// The number of reads of each kind after which the memory is measured.
const READS: u32 = 4;

/// The time for these reads. One of the models comes up to 10 s after the one before: a pause
/// of 5 s and a timeout of 5 s.
const READ_TIME: Duration = Duration::from_secs(60);

/// The number of bytes that are written at once, and the pause after them.
const BURST_BYTES: usize = 32 << 10;
const BURST_PAUSE: Duration = Duration::from_millis(2);

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
const LENGTH: &str = "content-length: 99999999999\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
     transfer-encoding: chunked\r\n\r\n";

/// How an engine answers the reads of its agent.
#[derive(Clone, Debug)]
struct Endless {
    begin: String,
    /// What follows without end.
    repeated: String,
}

impl Endless {
    fn new(begin: &str, repeated: &str) -> Self {
        Self {
            begin: begin.to_owned(),
            repeated: repeated.repeat(BURST_BYTES / repeated.len()),
        }
    }

    async fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.begin.as_bytes()).await?;
        loop {
            stream.write_all(self.repeated.as_bytes()).await?;
            actix_rt::time::sleep(BURST_PAUSE).await;
        }
    }
}

/// The reads at one path of an engine.
#[derive(Debug, Default)]
struct PathReads {
    count: Cell<u32>,
    open: Cell<u32>,
    most_open: Cell<u32>,
}

impl PathReads {
    async fn answer(&self, mut stream: TcpStream, endless: &Endless) {
        self.count.set(self.count.get() + 1);
        self.open.set(self.open.get() + 1);
        let most_open = self.most_open.get().max(self.open.get());
        self.most_open.set(most_open);
        // The agent may have closed the connection.
        let _ = endless.write(&mut stream).await;
        self.open.set(self.open.get() - 1);
    }
}

/// The reads of an agent.
#[derive(Debug, Default)]
struct Reads {
    load: PathReads,
    models: PathReads,
}

impl Reads {
    fn are_enough(&self) -> bool {
        [&self.load, &self.models]
            .iter()
            .all(|r| r.count.get() >= READS)
    }
}

/// Starts an engine that answers prompts soundly and reads without end.
async fn start_engine(endless: Endless) -> (SocketAddr, Rc<Reads>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("it has an address");
    let reads: Rc<Reads> = Rc::default();
    let counts = Rc::clone(&reads);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (endless, counts) = (endless.clone(), Rc::clone(&counts));
            actix_rt::spawn(async move {
                let request = read_request(&mut stream).await;
                match request.split(' ').nth(1) {
                    Some("/load") => counts.load.answer(stream, &endless).await,
                    Some("/v1/models") => counts.models.answer(stream, &endless).await,
                    Some(_) | None => answer_prompt(&mut stream).await,
                }
            });
        }
    });
    (address, reads)
}

async fn answer_prompt(stream: &mut TcpStream) {
    let body = json!({
        "choices": [{"message": {"content": "yes"}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 6, "completion_tokens": 1},
    });
    let body = body.to_string();
    let answer = format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len());
    // The caller may have left.
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.read_u8().await;
}

/// Returns the most memory that the process has used, in kB.
fn peak_memory_kb(process: &Process) -> u64 {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).expect("a number")
}

/// Starts an engine and its agent for each answer, and an entry.
async fn assert_bounded(answers: &[Endless]) {
    let (mut engines, mut addresses) = (String::new(), String::new());
    let mut reads = Vec::new();
    for (i, endless) in answers.iter().enumerate() {
        let (address, engine_reads) = start_engine(endless.clone()).await;
        reads.push(engine_reads);
        // The addresses are placeholders until those of the site are known.
        write!(
            engines,
            "[upstreams.endless-{i}]\nkind = \"model\"\nzone = \"a\"\n\
             address = \"127.0.0.1:1\"\nagent = \"127.0.0.1:{port}\"\n\
             serves = [\"m-{i}\"]\nloads = [\"gear-large\"]\nslots = 4\ncache_tokens = 65536\n",
            port = 10 + i,
        )
        .expect("text can be appended");
        write!(
            addresses,
            "[upstreams.endless-{i}]\naddress = \"{address}\"\n"
        )
        .expect("text can be appended");
    }
    let mut document = settings(&engines);
    document.files.push(File {
        name: Name::new("95-raw.toml"),
        text: addresses,
    });
    let platform = Platform::start();
    let env = Env::start(&spec(document).with_platform(&platform)).await;
    let enough = async {
        while !reads.iter().all(|r| r.are_enough()) {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let enough = actix_rt::time::timeout(READ_TIME, enough).await;
    assert!(enough.is_ok(), "{reads:?}");
    for (i, (endless, reads)) in answers.iter().zip(&reads).enumerate() {
        let mut body = chat_body("endless", false, 1, "is this tolerance right?");
        body["model"] = json!(format!("m-{i}"));
        let reply = env.post_as(0, KEY, "/v1/chat/completions", &body).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let used = peak_memory_kb(&env.site.agents[&*format!("endless-{i}")]);
        println!("{used} kB with {:?}, {reads:?}", endless.begin);
        assert!(
            used < MEMORY_BOUND_KB,
            "{:?}: the agent used {used} kB",
            endless.begin,
        );
        // A connection that was closed may not have been noticed yet.
        for reads in [&reads.load, &reads.models] {
            assert!(reads.most_open.get() <= 2, "{:?}: {reads:?}", endless.begin);
        }
    }
}

// Bytes without end in the head of the answers.
#[actix_rt::test]
async fn endless_heads_of_reads_keep_the_memory_of_agents_bounded() {
    let answers = [
        Endless::new("", "a"),
        Endless::new("", "\r\n"),
        Endless::new("HTTP/1.1 200 ", "a"),
        Endless::new(&format!("{HEAD}x-long: "), "a"),
        Endless::new(HEAD, "x-more: 1\r\n"),
        Endless::new("", "HTTP/1.1 100 Continue\r\n\r\n"),
        Endless::new("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
    ];
    assert_bounded(&answers).await;
}

// The same in their body: with a length, chunks, or neither, also inside a value that is
// parsed.
#[actix_rt::test]
async fn endless_bodies_of_reads_keep_the_memory_of_agents_bounded() {
    let answers = [
        Endless::new(&format!("{HEAD}\r\n"), " "),
        Endless::new(&format!("{HEAD}{LENGTH}"), "["),
        Endless::new(&format!("{HEAD}{LENGTH}{{\"running\":"), "1"),
        Endless::new(&format!("{HEAD}{LENGTH}{{\"data\":["), "{\"id\":\"a\"},"),
        Endless::new(CHUNKED, "1\r\n[\r\n"),
        Endless::new(&format!("{CHUNKED}ffffffffffff\r\n{{\"data\":[\""), "a"),
    ];
    assert_bounded(&answers).await;
}

// The same in the lines around chunks.
#[actix_rt::test]
async fn endless_chunk_framing_of_reads_keeps_the_memory_of_agents_bounded() {
    let answers = [
        Endless::new(CHUNKED, "0"),
        Endless::new(&format!("{CHUNKED}5;"), "a"),
        Endless::new(&format!("{CHUNKED}5 "), " "),
        Endless::new(&format!("{CHUNKED}0\r\n"), "x-trailer: 1\r\n"),
        Endless::new(&format!("{CHUNKED}0\r\nx-trailer: "), "a"),
    ];
    assert_bounded(&answers).await;
}
