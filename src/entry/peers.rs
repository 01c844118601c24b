//! Exchange of datagrams between entries: quota reports, messages on where streams began,
//! which `streams` handles, and on parts of prompts that crash upstreams, which `suspects`
//! handles.
//!
//! A report states what organisations have spent at an entry. It is sent as a
//! datagram, authenticated by a tag that is made with the site key. A lost
//! report does no harm, since each report holds the totals since the entry's
//! start. An entry that is not known yet is added when its first report
//! arrives.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;
use rand::RngExt;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::almondramp_capnp::spend_report;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::entry::streams::Streams;
use crate::entry::suspects::Audience;
use crate::entry::suspects::Suspects;
use crate::ids::Incarnation;
use crate::prompt_parts::PartId;
use crate::quota::Quota;
use crate::quota::QuotaReport;
use crate::quota::REPORT_TIMEOUT;
use crate::site_key::KeyHolder;
use crate::wire;

mod datagram;

pub use datagram::DatagramKind;
use datagram::TAG_SIZE;

/// The shortest interval between two reports. It limits spending beyond a quota
/// to the demand of a tenth of a second, even for the largest organisations.
const INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The increase of the interval for each peer. Each report is sent as one
/// datagram to each peer, so an entry sends at most a hundred datagrams a second
/// until the interval reaches `INTERVAL_MAX`.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

/// The longest interval between two reports. It must stay below
/// `quota::REPORT_TIMEOUT`, after which an entry counts as unreachable.
const INTERVAL_MAX: Duration = Duration::from_millis(400);

/// The size of the largest report, in bytes, bounded by that of a datagram.
const MAX_REPORT_SIZE: usize = 60 << 10;

/// The other entries, and the socket for exchanging reports with them.
pub struct Peers {
    socket: UdpSocket,
    addresses: RefCell<BTreeSet<SocketAddr>>,
    /// When each entry last sent a report, or became known.
    last_heard: RefCell<HashMap<SocketAddr, Timestamp>>,
    parts: PeerParts,
}

/// The parts of an entry of which it informs the others.
pub struct PeerParts {
    /// The organisations' quotas.
    pub quota: Rc<RefCell<Quota>>,
    /// The streams of the entries.
    pub streams: Rc<Streams>,
    /// The parts of prompts that may crash upstreams.
    pub suspects: Rc<Suspects>,
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The key that signs datagrams.
    pub key: KeyHolder,
    /// The incarnation of this entry.
    pub incarnation: Incarnation,
    /// The clock of this entry.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

impl Peers {
    /// Binds a UDP socket to `listen`. Fails if the address can't be bound.
    pub async fn bind(listen: SocketAddr, parts: PeerParts) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            socket: UdpSocket::bind(listen).await?,
            addresses: RefCell::default(),
            last_heard: RefCell::default(),
            parts,
        }))
    }

    /// Adds entries as they are discovered. Returns when the sender is dropped.
    pub async fn follow_discovered(
        self: Rc<Self>,
        mut discovered: watch::Receiver<BTreeSet<SocketAddr>>,
    ) {
        loop {
            let peers = discovered.borrow_and_update().clone();
            peers.into_iter().for_each(|peer| self.add(peer));
            if discovered.changed().await.is_err() {
                return;
            }
        }
    }

    fn add(&self, peer: SocketAddr) {
        let own = self.socket.local_addr().ok();
        if Some(peer) == own || !self.addresses.borrow_mut().insert(peer) {
            return;
        }
        self.last_heard
            .borrow_mut()
            .insert(peer, self.parts.clock.now());
        let entries = self.addresses.borrow().len() + 1;
        self.parts.quota.borrow_mut().set_entries(entries);
        info!(self.parts.log, "entry discovered"; "peer" => %peer, "entries" => entries);
    }

    /// Sends and receives reports, once the site key is known, until the task is
    /// aborted.
    pub async fn run(self: Rc<Self>) {
        self.parts.key.wait().await;
        let receiving = async {
            let mut buf = vec![0; MAX_REPORT_SIZE];
            loop {
                match self.socket.recv_from(&mut buf).await {
                    Ok((length, peer)) => self.receive(&buf[..length], peer).await,
                    // A peer's host rejected a datagram that was sent earlier.
                    Err(_) => actix_rt::time::sleep(INTERVAL_MIN).await,
                }
            }
        };
        let sending = async {
            loop {
                self.send_report().await;
                self.send_suspects().await;
                let peers = u32::try_from(self.addresses.borrow().len()).unwrap_or(u32::MAX);
                let interval = INTERVAL_PER_PEER * peers;
                actix_rt::time::sleep(interval.clamp(INTERVAL_MIN, INTERVAL_MAX)).await;
            }
        };
        futures::future::join(receiving, sending).await;
    }

    async fn send_report(&self) {
        let now = self.parts.clock.now();
        let window = self.parts.active_settings.settings().limits.quota_window;
        let report = self
            .parts
            .quota
            .borrow_mut()
            .report(now, window, self.parts.incarnation);
        let mut message = Builder::new_default();
        wire::write_report(&report, message.init_root::<spend_report::Builder<'_>>());
        let message = serialize::write_message_to_words(&message);
        let peers: Vec<SocketAddr> = self.addresses.borrow().iter().copied().collect();
        // The next report makes up for one that can't be sent.
        self.send(DatagramKind::Quotas, &message, &peers).await;
    }

    /// Sends what is known of parts that crash upstreams, if there is anything to tell.
    async fn send_suspects(&self) {
        let Some((message, audience)) = self.parts.suspects.next_message() else {
            return;
        };
        let mut peers = self.reachable();
        if audience == Audience::One {
            let chosen = rand::rng().random_range(0..peers.len().max(1));
            peers = peers.get(chosen).copied().into_iter().collect();
        }
        // Changes are sent several times.
        self.send(DatagramKind::Suspects, &message, &peers).await;
    }

    /// Sends a message to some entries, once the site key is known. It may be lost.
    pub async fn send(&self, kind: DatagramKind, message: &[u8], peers: &[SocketAddr]) {
        let key = self.parts.key.wait().await;
        let datagram = kind.sign(&key, message);
        for peer in peers {
            let _ = self.socket.send_to(&datagram, *peer).await;
        }
    }

    /// Returns whether this entry comes before all others that may be running in the order
    /// of this part, which is the same at all entries (rendezvous hashing).
    pub fn is_closest(&self, part: PartId) -> bool {
        let Ok(own) = self.socket.local_addr() else {
            return false;
        };
        let order = |peer: SocketAddr| {
            Sha256::new()
                .chain_update(part.0.to_le_bytes())
                .chain_update(peer.to_string())
                .finalize()
        };
        let own_order = order(own);
        self.reachable()
            .into_iter()
            .all(|peer| own_order < order(peer))
    }

    /// Returns the entries that may be running: all that are known, without those whose
    /// reports have stopped.
    pub fn reachable(&self) -> Vec<SocketAddr> {
        let now = self.parts.clock.now();
        let last_heard = self.last_heard.borrow();
        let has_stopped = |peer: &SocketAddr| {
            let at = last_heard.get(peer);
            at.is_some_and(|at| now.since(*at) >= REPORT_TIMEOUT)
        };
        let addresses = self.addresses.borrow();
        let reachable = addresses.iter().filter(|peer| !has_stopped(peer));
        reachable.copied().collect()
    }

    async fn receive(&self, datagram: &[u8], peer: SocketAddr) {
        if self.parts.key.get().is_none() {
            return;
        }
        let Some((message, tag)) = datagram.split_last_chunk::<TAG_SIZE>() else {
            return;
        };
        let kind = Cell::new(None);
        let accepted = self.parts.key.find(|key| {
            kind.set(DatagramKind::signed_by(key, message, tag));
            kind.get().is_some()
        });
        match kind.get().filter(|_| accepted.is_some()) {
            None => {
                warn!(self.parts.log, "rejected a datagram that is not signed with the site key"; "peer" => %peer);
            }
            Some(DatagramKind::Streams) => {
                if let Some(reply) = self.parts.streams.receive(message, peer) {
                    self.send(DatagramKind::Streams, &reply, &[peer]).await;
                }
            }
            Some(DatagramKind::Suspects) => self.parts.suspects.receive(message),
            Some(DatagramKind::Quotas) => self.receive_report(message, peer),
        }
    }

    fn receive_report(&self, message: &[u8], peer: SocketAddr) {
        match decode_report(message) {
            Ok(report) => {
                self.add(peer);
                self.last_heard
                    .borrow_mut()
                    .insert(peer, self.parts.clock.now());
                let window = self.parts.active_settings.settings().limits.quota_window;
                let now = self.parts.clock.now();
                self.parts
                    .quota
                    .borrow_mut()
                    .merge_report(now, window, &report);
            }
            Err(e) => {
                warn!(self.parts.log, "could not decode quota report"; "peer" => %peer, "error" => %e)
            }
        }
    }
}

fn decode_report(message: &[u8]) -> Result<QuotaReport, capnp::Error> {
    let mut words = message;
    let reader = serialize::read_message(&mut words, ReaderOptions::new())?;
    wire::read_report(reader.get_root()?)
}
