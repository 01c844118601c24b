//! Limits on what an entry holds, derived from the memory of its host.
//!
//! An entry that exceeds the memory of its host is killed with all its requests. It
//! accepts fewer connections and requests instead, so that callers reach other
//! entries or are refused in time.

use crate::settings::Limits;

#[cfg(test)]
mod tests;

/// Memory of an entry without connections: the program, the settings and the state
/// of upstreams and organisations, in bytes.
const BASE_BYTES: u64 = 24 << 20;

/// Memory of a connection: buffers for reading and writing, and the task, in bytes. A
/// connection on which nothing was sent takes 25,896 (`memory_slopes` in `platform/tests/`).
/// The rest is for a head of 4 KiB and for 2 KiB that were sent ahead; longer heads are counted
/// apart.
pub const CONNECTION_BYTES: u64 = 30 << 10;

/// Memory of a request in progress without its body: its task, the connection to an
/// upstream, and parts of the answer, in bytes. With its caller's connection and beside the
/// body, it takes 64,788 with a short prompt and 91,330 with a long one.
pub const REQUEST_BYTES: u64 = 70 << 10;

/// The parts of the memory above the base that connections, requests, their bodies, long
/// heads and answers held for slow callers may each use, in percent. The rest is left for fragmentation and for settings that
/// are being replaced.
const CONNECTIONS_PERCENT: u64 = 15;
const REQUESTS_PERCENT: u64 = 35;
const BODIES_PERCENT: u64 = 15;
const HEADS_PERCENT: u64 = 2;
const ANSWERS_PERCENT: u64 = 8;

/// The parts of the sockets that the connections of callers, and those of requests to
/// upstreams, may each use, in percent. The rest is left for the store, agents,
/// other entries and probes.
const CONNECTION_SOCKETS_PERCENT: usize = 40;
const REQUEST_SOCKETS_PERCENT: usize = 35;

/// Total size of the answers that are held for slow callers where the memory is not
/// limited, in bytes. It is the default limit for the bodies of requests.
const DEFAULT_ANSWER_BYTES: u64 = 64 << 20;

/// Size of the kernel's send buffer for a caller on a host with limited memory, in bytes.
/// The kernel lets it grow to 4 MiB otherwise, and its memory may count as the process's.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Size of the kernel's receive buffer for a caller on a host with limited memory, in bytes.
/// What callers send ahead waits there.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Total memory of long heads where the memory is not limited, in bytes.
const DEFAULT_HEAD_BYTES: u64 = 64 << 20;

/// The largest numbers of connections and requests, and the largest total size of
/// bodies, that fit in the memory of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryBudget {
    /// Connections of callers.
    pub connections: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Total size of the bodies of these requests, in bytes.
    pub body_bytes: u64,
    /// Total memory of heads that are longer than the memory of a connection covers, in
    /// bytes.
    pub head_bytes: u64,
    /// Total size of the answers that slow callers have not read yet, in bytes.
    pub answer_bytes: u64,
    /// Size of the kernel's send buffer for a caller, in bytes; `None` if the kernel decides.
    pub send_buffer: Option<usize>,
    /// Size of the kernel's receive buffer for a caller, in bytes; `None` if the kernel decides.
    pub receive_buffer: Option<usize>,
}

impl MemoryBudget {
    /// Returns the budget of a host with `memory` bytes; unlimited for `None`.
    pub fn new(memory: Option<u64>) -> Self {
        let Some(memory) = memory else {
            return Self {
                connections: usize::MAX,
                requests: usize::MAX,
                body_bytes: u64::MAX,
                head_bytes: DEFAULT_HEAD_BYTES,
                answer_bytes: DEFAULT_ANSWER_BYTES,
                send_buffer: None,
                receive_buffer: None,
            };
        };
        let available = memory.saturating_sub(BASE_BYTES);
        let part = |percent: u64| available / 100 * percent;
        let count = |bytes: u64, each: u64| usize::try_from(bytes / each).unwrap_or(usize::MAX);
        Self {
            connections: count(part(CONNECTIONS_PERCENT), CONNECTION_BYTES).max(1),
            requests: count(part(REQUESTS_PERCENT), REQUEST_BYTES).max(1),
            body_bytes: part(BODIES_PERCENT),
            head_bytes: part(HEADS_PERCENT),
            answer_bytes: part(ANSWERS_PERCENT),
            send_buffer: Some(SEND_BUFFER_BYTES),
            receive_buffer: Some(RECEIVE_BUFFER_BYTES),
        }
    }

    /// Returns the smaller of this budget and the operators' limits.
    pub fn within(self, limits: &Limits) -> Self {
        Self {
            connections: self.connections.min(limits.connections as usize),
            requests: self.requests.min(limits.entry_requests as usize),
            body_bytes: self.body_bytes.min(limits.entry_bodies),
            ..self
        }
    }

    /// Returns the smaller of this budget and what a process that may open `sockets`
    /// sockets needs.
    pub fn with_sockets(self, sockets: usize) -> Self {
        let part = |percent: usize| (sockets.saturating_mul(percent) / 100).max(1);
        Self {
            connections: self.connections.min(part(CONNECTION_SOCKETS_PERCENT)),
            requests: self.requests.min(part(REQUEST_SOCKETS_PERCENT)),
            ..self
        }
    }
}
