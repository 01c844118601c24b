//! Reports of what organisations have spent, exchanged between entries.
//!
//! A report is a datagram with a tag made with the site key. A lost one does
//! no harm, since each tells the sums since the entry's start. An entry that
//! is not known yet makes itself known by its first report.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::almondramp_capnp::spend_report;
use crate::clock::Clock;
use crate::ids::Incarnation;
use crate::quota::Quota;
use crate::quota::QuotaReport;
use crate::site_key::KeyHolder;
use crate::site_key::SiteKey;
use crate::wire;

/// The shortest interval between two reports: with the largest organisations'
/// demand it bounds what is spent beyond a quota to a tenth of a second's.
const INTERVAL_MIN: Duration = Duration::from_millis(50);

/// What the interval grows by for each entry, so that an entry's reports
/// stay at some hundred a second however many entries there are.
const INTERVAL_EACH: Duration = Duration::from_millis(10);

/// The interval stays below the time after which an entry counts as silent.
const INTERVAL_MAX: Duration = Duration::from_millis(400);

/// The length of a tag, in bytes.
const TAG: usize = 32;

/// The largest report, in bytes: what a datagram holds.
const MAX_REPORT: usize = 60 << 10;

/// The other entries.
pub struct Peers {
    socket: UdpSocket,
    known: RefCell<BTreeSet<SocketAddr>>,
    quota: Rc<RefCell<Quota>>,
    active_settings: Rc<ActiveSettings>,
    key: KeyHolder,
    incarnation: Incarnation,
    clock: Clock,
    log: Logger,
}

impl Peers {
    /// Binds to `listen`.
    pub async fn bind(
        listen: SocketAddr,
        quota: Rc<RefCell<Quota>>,
        active_settings: Rc<ActiveSettings>,
        key: KeyHolder,
        incarnation: Incarnation,
        clock: Clock,
        log: Logger,
    ) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            socket: UdpSocket::bind(listen).await?,
            known: RefCell::default(),
            quota,
            active_settings,
            key,
            incarnation,
            clock,
            log,
        }))
    }

    /// Adds entries as they become known, until the task ends.
    pub async fn follow(self: Rc<Self>, mut found: watch::Receiver<BTreeSet<SocketAddr>>) {
        loop {
            let peers = found.borrow_and_update().clone();
            peers.into_iter().for_each(|peer| self.add(peer));
            if found.changed().await.is_err() {
                return;
            }
        }
    }

    fn add(&self, peer: SocketAddr) {
        let own = self.socket.local_addr().ok();
        if Some(peer) == own || !self.known.borrow_mut().insert(peer) {
            return;
        }
        let entries = self.known.borrow().len() + 1;
        self.quota.borrow_mut().set_entries(entries);
        info!(self.log, "entry found"; "peer" => %peer, "entries" => entries);
    }

    /// Sends and receives reports until the task ends.
    pub async fn run(self: Rc<Self>) {
        let key = self.key.wait().await;
        let listening = async {
            let mut buf = vec![0; MAX_REPORT];
            loop {
                match self.socket.recv_from(&mut buf).await {
                    Ok((length, peer)) => self.receive(&buf[..length], peer),
                    // Another host refused an earlier datagram.
                    Err(_) => actix_rt::time::sleep(INTERVAL_MIN).await,
                }
            }
        };
        let telling = async {
            loop {
                self.tell(&key).await;
                let entries = u32::try_from(self.known.borrow().len()).unwrap_or(u32::MAX);
                let interval = INTERVAL_EACH * entries;
                actix_rt::time::sleep(interval.clamp(INTERVAL_MIN, INTERVAL_MAX)).await;
            }
        };
        futures::future::join(listening, telling).await;
    }

    async fn tell(&self, key: &SiteKey) {
        let now = self.clock.now();
        let window = self.active_settings.settings().limits.quota_window;
        let report = self
            .quota
            .borrow_mut()
            .report(now, window, self.incarnation);
        let mut message = Builder::new_default();
        wire::write_report(&report, message.init_root::<spend_report::Builder<'_>>());
        let mut datagram = serialize::write_message_to_words(&message);
        datagram.extend(key.sign(&datagram));
        let known: Vec<SocketAddr> = self.known.borrow().iter().copied().collect();
        for peer in known {
            // A report that can't be sent is made up for by the next.
            let _ = self.socket.send_to(&datagram, peer).await;
        }
    }

    fn receive(&self, datagram: &[u8], peer: SocketAddr) {
        let Some(key) = self.key.get() else {
            return;
        };
        let Some((message, tag)) = datagram.split_last_chunk::<TAG>() else {
            return;
        };
        if !key.is_signed(message, tag) {
            warn!(self.log, "refused a report without the site's key"; "peer" => %peer);
            return;
        }
        match read(message) {
            Ok(report) => {
                self.add(peer);
                let window = self.active_settings.settings().limits.quota_window;
                let now = self.clock.now();
                self.quota.borrow_mut().merge_report(now, window, &report);
            }
            Err(e) => warn!(self.log, "report not read"; "peer" => %peer, "error" => %e),
        }
    }
}

fn read(message: &[u8]) -> Result<QuotaReport, capnp::Error> {
    let mut words = message;
    let reader = serialize::read_message(&mut words, ReaderOptions::new())?;
    wire::read_report(reader.get_root()?)
}
