//! Exchange of datagrams between entries: quota reports, messages on where streams began,
//! which `streams` handles, on parts of prompts that crash upstreams, which `suspects`
//! handles, on rate limits, which `upstream_limits` handles, on upstreams that are
//! leaving, which `notices` handles, and rows and reports, which `gossip` handles.
//!
//! A report states what organisations have spent at an entry. It is sent as a
//! datagram, authenticated by a tag that is made with the site key. A lost
//! report does no harm, since each report holds the totals since the entry's
//! start. An entry that is not known yet is added when its first report
//! arrives.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;
use rand::RngExt;
use rand::seq::IndexedRandom;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::almondramp_capnp::spend_report;
use crate::clock::Clock;
use crate::crash_suspects::NEWS_FANOUT;
use crate::crash_suspects::SuspectId;
use crate::datagram::DatagramKind;
use crate::datagram::OpenError;
use crate::entry::gossip::EntryGossip;
use crate::entry::loans::Loans;
use crate::entry::notices::Notices;
use crate::entry::streams::Streams;
use crate::entry::suspects::Audience;
use crate::entry::suspects::Suspects;
use crate::entry::upstream_limits::UpstreamLimits;
use crate::gossip;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::peer_table::PeerTable;
use crate::quota::Quota;
use crate::quota::QuotaReport;
use crate::site_key::KeyHolder;
use crate::stream_holders::Holder;
use crate::wire;
use crate::wire::limits;
use crate::wire::limits::LimitMessage;

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
    table: RefCell<PeerTable>,
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
    /// The rate limits of upstreams.
    pub upstream_limits: Rc<UpstreamLimits>,
    /// What upstreams say of themselves.
    pub notices: Rc<Notices>,
    /// The loans of quota.
    pub loans: Rc<Loans>,
    /// Rows and reports.
    pub gossip: Rc<EntryGossip>,
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
        let socket = UdpSocket::bind(listen).await?;
        let own = socket.local_addr()?;
        Ok(Rc::new(Self {
            socket,
            table: RefCell::new(PeerTable::new(own)),
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
        let mut table = self.table.borrow_mut();
        if table.add(self.parts.clock.now(), peer) {
            let entries = table.entries();
            self.parts.quota.borrow_mut().set_entries(entries);
            info!(self.parts.log, "entry discovered"; "peer" => %peer, "entries" => entries);
        }
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
                self.send_limits().await;
                self.send_departures().await;
                self.send_gossip().await;
                let entries = self.table.borrow().entries();
                let peers = u32::try_from(entries - 1).unwrap_or(u32::MAX);
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
        let peers = self.table.borrow().all();
        // The next report makes up for one that can't be sent.
        self.send(DatagramKind::Quotas, &message, &peers).await;
    }

    /// Sends what is known of parts that crash upstreams, if there is anything to tell.
    async fn send_suspects(&self) {
        if let Some((message, audience)) = self.parts.suspects.next_message() {
            let peers = self.audience(audience);
            self.send(DatagramKind::Suspects, &message, &peers).await;
        }
    }

    /// Sends what is known of the rate limits of upstreams, and that this entry is
    /// stopping.
    async fn send_limits(&self) {
        let limits = &self.parts.upstream_limits;
        if let Some(message) = limits.leaving_message() {
            let peers = self.reachable();
            self.send(DatagramKind::Limits, &message, &peers).await;
        }
        if let Some((message, audience)) = limits.next_message() {
            let peers = self.audience(audience);
            self.send(DatagramKind::Limits, &message, &peers).await;
        }
    }

    /// Sends which upstreams are leaving, if any are.
    async fn send_departures(&self) {
        if let Some((message, audience)) = self.parts.notices.next_message() {
            let peers = self.audience(audience);
            self.send(DatagramKind::Departures, &message, &peers).await;
        }
    }

    async fn send_gossip(&self) {
        for (message, receivers) in self.parts.gossip.next_messages(self) {
            self.send(DatagramKind::Gossip, &message, &receivers).await;
        }
    }

    /// Returns the entries to which a message is to be sent. Those to all are sent several
    /// times.
    fn audience(&self, audience: Audience) -> Vec<SocketAddr> {
        let peers = self.reachable();
        match audience {
            Audience::All => peers,
            Audience::Few => peers
                .sample(&mut rand::rng(), NEWS_FANOUT)
                .copied()
                .collect(),
            Audience::One => {
                let chosen = rand::rng().random_range(0..peers.len().max(1));
                peers.get(chosen).copied().into_iter().collect()
            }
        }
    }

    /// Sends a message to some entries, once the site key is known. It may be lost.
    pub async fn send(&self, kind: DatagramKind, message: &[u8], peers: &[SocketAddr]) {
        let key = self.parts.key.wait().await;
        let datagram = kind.sign(&key, message);
        for peer in peers {
            let _ = self.socket.send_to(&datagram, *peer).await;
        }
    }

    /// Returns whether this entry is the one of all that probes a suspect.
    pub fn is_closest(&self, suspect: SuspectId) -> bool {
        let key = match suspect {
            SuspectId::Part(part) => part.0,
            SuspectId::Request(digest) => digest.0,
        };
        let table = self.table.borrow();
        table.is_closest(self.parts.clock.now(), &key.to_le_bytes())
    }

    /// Returns the entry that aggregates what entries report under a key; `None` for this one.
    pub fn holder(&self, key: &[u8], is_leaving: bool) -> Option<SocketAddr> {
        let table = self.table.borrow();
        table.holder(self.parts.clock.now(), key, is_leaving)
    }

    /// Returns the entries to which this one forwards the rows under a key.
    pub fn children(&self, key: &[u8]) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        table.children(self.parts.clock.now(), key, gossip::FANOUT)
    }

    /// Returns one random entry, if another can be reached.
    pub fn one_of_reachable(&self) -> Vec<SocketAddr> {
        self.audience(Audience::One)
    }

    /// Returns the entry that issues the permits of an upstream; `None` for this one.
    pub fn issuer_of(&self, upstream: &Name, is_leaving: bool) -> Option<SocketAddr> {
        let table = self.table.borrow();
        table.holder(self.parts.clock.now(), upstream.as_bytes(), is_leaving)
    }

    /// Returns the entry that lends the units of an organisation's quota; `None` for this
    /// one.
    pub fn lender_of(&self, organisation: &Name, is_leaving: bool) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let now = self.parts.clock.now();
        table.holder(now, organisation.as_bytes(), is_leaving)
    }

    /// Returns the part of the entries that this one can reach, of those that may be
    /// running.
    pub fn reachable_fraction(&self) -> f64 {
        let table = self.table.borrow();
        table.reachable_fraction(self.parts.clock.now())
    }

    /// Returns the entries that may be running: all that are known, without those whose
    /// reports have stopped.
    pub fn reachable(&self) -> Vec<SocketAddr> {
        self.table.borrow().reachable(self.parts.clock.now())
    }

    /// Returns what this entry is to others as a keeper of records.
    pub fn own_holder(&self) -> Holder {
        Holder {
            address: self.table.borrow().own(),
            run: self.parts.incarnation.0,
        }
    }

    /// Returns the entries that may be running and can keep records of streams.
    pub fn holders(&self) -> Vec<Holder> {
        let table = self.table.borrow();
        let runs = table.reachable_runs(self.parts.clock.now()).into_iter();
        let holder = |(address, run): (SocketAddr, Option<Incarnation>)| Holder {
            address,
            run: run.map_or(0, |run| run.0),
        };
        runs.map(holder).collect()
    }

    async fn receive(&self, datagram: &[u8], peer: SocketAddr) {
        let (kind, message) = match DatagramKind::open(&self.parts.key, datagram) {
            Ok(opened) => opened,
            Err(OpenError::NoKey) => return,
            Err(e) => {
                warn!(self.parts.log, "rejected a datagram"; "peer" => %peer, "error" => %e);
                return;
            }
        };
        match kind {
            DatagramKind::Streams => {
                if let Some(reply) = self.parts.streams.receive(message, peer) {
                    self.send(DatagramKind::Streams, &reply, &[peer]).await;
                }
            }
            DatagramKind::Suspects => self.parts.suspects.receive(message),
            DatagramKind::Departures => self.parts.notices.receive(message),
            DatagramKind::Gossip => self.parts.gossip.receive(message),
            DatagramKind::Loans => {
                if let Some(reply) = self.parts.loans.receive(message, peer) {
                    self.send(DatagramKind::Loans, &reply, &[peer]).await;
                }
            }
            DatagramKind::Limits => self.receive_limits(message, peer).await,
            DatagramKind::Quotas => self.receive_report(message, peer),
        }
    }

    async fn receive_limits(&self, message: &[u8], peer: SocketAddr) {
        match limits::decode(message) {
            Ok(LimitMessage::Leaving(incarnation)) => {
                self.table.borrow_mut().record_leaving(peer, incarnation);
            }
            Ok(message) => {
                if let Some(reply) = self.parts.upstream_limits.receive(message, peer) {
                    self.send(DatagramKind::Limits, &reply, &[peer]).await;
                }
            }
            Err(e) => {
                warn!(self.parts.log, "could not decode a message on rate limits";
                    "peer" => %peer,
                    "error" => %e);
            }
        }
    }

    fn receive_report(&self, message: &[u8], peer: SocketAddr) {
        match decode_report(message) {
            Ok(report) => {
                self.add(peer);
                let now = self.parts.clock.now();
                let is_first = {
                    let mut table = self.table.borrow_mut();
                    table.record_report(now, peer, report.from)
                };
                if is_first {
                    self.parts.streams.send_to_new_holders();
                }
                let window = self.parts.active_settings.settings().limits.quota_window;
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
