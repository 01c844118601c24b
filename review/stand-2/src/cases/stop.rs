//! LOST: an entry gets SIGTERM while requesters read long answers slowly. It ends before it has
//! passed on the last bytes.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::World;
use super::plain_service;
use crate::Verdict;
use crate::client::HOST;
use crate::client::KEY;
use crate::http::read_head;
use crate::record::Record;
use crate::server::LONG_PATH;

const ENTRIES: [u8; 2] = [1, 2];
const LENGTHS: u32 = 96;

/// The requesters of each length.
const EACH: u32 = 2;
const REQUESTERS: u32 = LENGTHS * EACH;

/// The bytes of the shortest answer, and how much longer each next one is. What the buffers of
/// two hosts hold is between the shortest and the longest one.
const SHORTEST: u32 = 60_000;
const LONGER_BY: u32 = 4_000;

/// The time from the requests to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// The time for which the requester of the longest answer reads nothing, and how much later
/// each next one begins. Each reads all then.
const FIRST_READ: Duration = Duration::from_millis(3_300);
const READ_LATER_BY: Duration = Duration::from_millis(25);

/// `graceS`, and the second after it that the rule names.
const GRACE: Duration = Duration::from_secs(8);

pub fn run(world: &World, is_troubled: bool) -> Verdict {
    let route = json!({"name": "r-26tta82", "hostname": HOST, "pathPrefix": LONG_PATH,
        "type": "non_idempotent", "timeoutMs": 15_000, "goalMs": 800, "priority": 0,
        "backend": "wuno96b", "attempts": 1, "public": false});
    world.configure(7, &[route], &[plain_service("wuno96b")]);
    let _servers = [21, 22, 23, 24, 25]
        .map(|machine| world.start_server(world.spec(machine, "wuno96b", "v1", false)));
    if !world.start_entries(&ENTRIES) {
        return Verdict::CouldNotRun;
    }
    let front = world.network.front(1);
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let record = Arc::clone(&world.record);
            std::thread::sleep(Duration::from_millis(2));
            std::thread::spawn(move || read_slowly(front, number, &record))
        })
        .collect();
    std::thread::sleep(STOP_AFTER);
    let stopped = Instant::now();
    if is_troubled {
        world.record.line("entry 1 gets SIGTERM");
        world.network.terminate_entry(1);
    }
    while is_troubled && stopped.elapsed() < GRACE && world.network.runs_entry(1) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let ended = format!("{} ms after SIGTERM", stopped.elapsed().as_millis());
    if is_troubled {
        world.say(&format!(
            "the entry ended {ended}, by itself: {}",
            !world.network.runs_entry(1)
        ));
    }
    let ends: Vec<End> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok())
        .collect();
    let whole = ends.iter().filter(|e| e.is_whole()).count();
    let cut = ends.iter().filter(|e| e.status == 200 && !e.is_whole());
    let cut = cut.filter(|e| e.ended.duration_since(stopped) < GRACE + Duration::from_secs(1));
    let cut = cut.count();
    world.say(&format!(
        "{whole} of {REQUESTERS} answers are whole, {cut} are cut off"
    ));
    match (whole, cut) {
        (_, 1..) => Verdict::Broken,
        (whole, 0) if whole == REQUESTERS as usize => Verdict::Held,
        _ => Verdict::CouldNotRun,
    }
}

/// How an answer has ended.
struct End {
    status: u16,
    /// The bytes of the whole answer, as the replica tells, and those that have come.
    length: usize,
    read: usize,
    /// Whether the last chunk has come.
    is_ended: bool,
    ended: Instant,
}

impl End {
    fn is_whole(&self) -> bool {
        self.read == self.length && self.length > 0 && self.is_ended
    }
}

fn read_slowly(front: SocketAddr, number: u32, record: &Record) -> End {
    let id = format!("long-{number}");
    let mut end = End {
        status: 0,
        length: 0,
        read: 0,
        is_ended: false,
        ended: Instant::now(),
    };
    let length = (SHORTEST + LONGER_BY * (number / EACH)) as usize;
    let result = read(front, number, &id, length, &mut end);
    end.ended = Instant::now();
    record.line(&format!(
        "requester {id}: status {}, {} of {} bytes, last chunk {}, {:?}",
        end.status,
        end.read,
        end.length,
        end.is_ended,
        result.err()
    ));
    end
}

fn read(
    front: SocketAddr,
    number: u32,
    id: &str,
    length: usize,
    end: &mut End,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let request = format!(
        "POST {LONG_PATH}{length} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 15000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nread"
    );
    stream.write_all(request.as_bytes())?;
    std::thread::sleep(FIRST_READ + READ_LATER_BY * (LENGTHS - 1 - number / EACH));
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    end.status = head.status();
    end.length = length;
    let mut part = [0; 64 << 10];
    let mut chunks = Chunks::default();
    loop {
        let count = reader.read(&mut part)?;
        if count == 0 {
            return Ok(());
        }
        end.read += chunks.push(&part[..count]);
        end.is_ended = chunks.is_ended;
        if chunks.is_ended {
            return Ok(());
        }
    }
}

/// Reads a chunked body as its bytes come.
#[derive(Default)]
struct Chunks {
    /// The bytes that are left of a chunk, with the end of its line.
    left: usize,
    size: String,
    is_ended: bool,
}

impl Chunks {
    /// Returns how many bytes of the body have come.
    fn push(&mut self, mut bytes: &[u8]) -> usize {
        let mut read = 0;
        while !bytes.is_empty() && !self.is_ended {
            if self.left > 0 {
                let count = self.left.min(bytes.len());
                let body_left = self.left.saturating_sub(2);
                read += count.min(body_left);
                self.left -= count;
                bytes = &bytes[count..];
                continue;
            }
            self.size.push(bytes[0] as char);
            bytes = &bytes[1..];
            if self.size.ends_with('\n') {
                let size = usize::from_str_radix(self.size.trim(), 16).unwrap_or(0);
                self.is_ended = size == 0;
                self.left = size + 2;
                self.size.clear();
            }
        }
        read
    }
}
