//! The entry's connections to agents.
//!
//! One task per agent maintains the connection, exchanges heartbeats and
//! synchronises the settings in both directions.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use rand::RngExt;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::active_settings::ActiveSettings;
use crate::active_settings::AdoptError;
use crate::active_settings::Revision;
use crate::active_settings::SettingsOrigin;
use crate::active_settings::SettingsUpdate;
use crate::active_settings::log_adoption;
use crate::agent_client::AgentConnection;
use crate::agent_client::connect;
use crate::almondramp_capnp::desk;
use crate::almondramp_capnp::gate;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::config::EntryConfig;
use crate::directory::Directory;
use crate::directory::Upstreams;
use crate::dispatch::Event;
use crate::entry::transfer_turns::TransferTurns;
use crate::event_loop;
use crate::handshake::AuthenticatedAgent;
use crate::handshake::authenticate;
use crate::ids::Incarnation;
use crate::ids::LinkId;
use crate::ids::RequestId;
use crate::name::Name;
use crate::site_key::SiteKey;
use crate::spare_links::SpareLinks;
use crate::subset;
use crate::units::millis;

mod spares;
mod usage;

use usage::LinkUsage;

/// The shortest delay between two connection attempts.
const RECONNECT_MIN: Duration = Duration::from_millis(50);

/// The longest delay between two connection attempts.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// The longest time for which an agent delays its answer to a heartbeat on a
/// connection in use. A heartbeat is a long poll: see `run_heartbeats`.
const BUSY_HEARTBEAT_HOLD: Duration = Duration::from_secs(1);

/// The longest time for which an agent delays its answer to a heartbeat on an
/// idle connection.
const IDLE_HEARTBEAT_HOLD: Duration = Duration::from_secs(10);

/// The longest random delay before an entry sends new settings to an agent.
/// With the delay, most agents are already updated by another entry, and changes
/// in quick succession are sent together. It is acceptable because no decision
/// of an agent depends on settings that are urgent.
const SETTINGS_DELAY_MAX: Duration = Duration::from_secs(1);

/// The time allowed for an answer to a heartbeat, in addition to its hold, and
/// for the handshake. When it has passed, the connection is closed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest age of the settings at which the store counts as reachable. It exceeds the
/// time between two answers of the store.
const STORE_ANSWER_AGE: Duration = Duration::from_secs(4);

/// The time that a reachable store gets to deliver new settings before they are fetched
/// from an agent, so that a slow link doesn't carry them twice.
const STORE_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// An established connection to an agent.
#[derive(Clone)]
pub struct Link {
    /// The id of the connection. A reconnection gets a new id.
    pub id: LinkId,
    /// The agent's scheduler.
    pub scheduler: desk::Client,
    /// When the connection was last used.
    pub usage: Rc<LinkUsage>,
}

/// The entry's connections to agents, by upstream.
pub struct Links {
    config: EntryConfig,
    incarnation: Incarnation,
    active_settings: Rc<ActiveSettings>,
    directory: Rc<Directory>,
    log: Logger,
    /// The id of the last established connection.
    last_id: Cell<u64>,
    /// The established connections.
    connected: RefCell<BTreeMap<Name, Link>>,
    /// The upstreams whose agents this entry always connects to.
    selected: RefCell<BTreeSet<Name>>,
    /// Whether these are all that have agents.
    selects_all: Cell<bool>,
    /// The others to whose agents it connects.
    spares: RefCell<SpareLinks>,
    /// Notified when `spares` has changed.
    spares_changed: Notify,
    /// Since when there is no connection to an agent to which this entry connects.
    disconnected_since: RefCell<BTreeMap<Name, Timestamp>>,
    clock: Clock,
    /// The turns of the connections over which settings are fetched, and sent.
    fetch_turns: TransferTurns,
    send_turns: TransferTurns,
    /// The event channels of requests to notify when a connection is lost.
    listeners: RefCell<HashMap<Name, HashMap<RequestId, UnboundedSender<Event>>>>,
}

impl Links {
    /// Creates an empty set of connections. `run` establishes them.
    pub fn new(
        config: EntryConfig,
        incarnation: Incarnation,
        active_settings: Rc<ActiveSettings>,
        directory: Rc<Directory>,
        log: Logger,
    ) -> Self {
        Self {
            spares: RefCell::new(SpareLinks::new(config.name.clone())),
            config,
            incarnation,
            active_settings,
            directory,
            log,
            last_id: Cell::new(0),
            connected: RefCell::default(),
            selected: RefCell::default(),
            selects_all: Cell::new(true),
            spares_changed: Notify::new(),
            disconnected_since: RefCell::default(),
            clock: Clock::new(),
            fetch_turns: TransferTurns::new(),
            send_turns: TransferTurns::new(),
            listeners: RefCell::default(),
        }
    }

    /// Returns the connection to the agent of `upstream`, if established.
    pub fn get(&self, upstream: &Name) -> Option<Link> {
        self.connected.borrow().get(upstream).cloned()
    }

    /// Returns the number of established connections.
    pub fn count(&self) -> usize {
        self.connected.borrow().len()
    }

    /// Registers `events` to receive `Event::ConnectionLost` when the connection to the
    /// agent of `upstream` is lost.
    pub fn register(&self, upstream: &Name, request: RequestId, events: UnboundedSender<Event>) {
        let mut listeners = self.listeners.borrow_mut();
        let requests = listeners.entry(upstream.clone()).or_default();
        requests.insert(request, events);
    }

    /// Removes the registration of a request.
    pub fn unregister(&self, upstream: &Name, request: RequestId) {
        if let Some(requests) = self.listeners.borrow_mut().get_mut(upstream) {
            requests.remove(&request);
        }
    }

    /// Connects to the selected agents of the directory, and adapts to changes
    /// of the directory and the settings.
    pub async fn run(self: Rc<Self>) {
        let mut changes = self.directory.subscribe();
        let mut revisions = self.active_settings.subscribe();
        let mut tasks: BTreeMap<(Name, SocketAddr), JoinHandle<()>> = BTreeMap::new();
        loop {
            let upstreams = self.directory.upstreams();
            let links = self.active_settings.settings().limits.links as usize;
            let selected =
                subset::select_upstreams(&self.config.name, &self.config.zone, &upstreams, links);
            let targets = self.targets(&upstreams, &selected, &tasks);
            let mut staying = upstreams.iter().filter(|(_, u)| !u.leaving);
            let selects_all = staying.all(|(name, u)| u.agent.is_none() || selected.contains(name));
            self.selects_all.set(selects_all);
            self.selected.replace(selected);
            tasks.retain(|key, task| {
                let keep = targets.contains(key);
                if !keep {
                    task.abort();
                    self.handle_disconnect(&key.0);
                    self.disconnected_since.borrow_mut().remove(&key.0);
                }
                keep
            });
            for key in targets {
                let (name, address) = key.clone();
                tasks.entry(key).or_insert_with(|| {
                    let mut disconnected = self.disconnected_since.borrow_mut();
                    disconnected.insert(name.clone(), self.clock.now());
                    actix_rt::spawn(Rc::clone(&self).maintain(name, address))
                });
            }
            let changed = tokio::select! {
                changed = changes.changed() => changed,
                changed = revisions.changed() => changed,
                () = self.spares_changed.notified() => Ok(()),
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Returns the agents to connect to: those of the selected upstreams and the spare ones, and
    /// the connected ones of upstreams that are leaving, where requests may still run. Drops the
    /// spare connections that are no longer any.
    fn targets(
        &self,
        upstreams: &Upstreams,
        selected: &BTreeSet<Name>,
        tasks: &BTreeMap<(Name, SocketAddr), JoinHandle<()>>,
    ) -> BTreeSet<(Name, SocketAddr)> {
        let mut spares = self.spares.borrow_mut();
        spares.retain(|name| upstreams.contains_key(name) && !selected.contains(name));
        let targets = upstreams.iter().filter_map(|(name, u)| {
            let key = (name.clone(), u.agent?);
            let is_leaving = u.leaving && tasks.contains_key(&key);
            (selected.contains(name) || spares.contains(name) || is_leaving).then_some(key)
        });
        targets.collect()
    }

    /// Maintains one connection and reconnects, with backoff, when it is lost.
    async fn maintain(self: Rc<Self>, upstream: Name, address: SocketAddr) {
        let mut backoff = RECONNECT_MIN;
        loop {
            let key = self.config.site_key.wait().await;
            let started = Instant::now();
            self.run_connection(&upstream, address, &key).await;
            if started.elapsed() > RECONNECT_MAX {
                backoff = RECONNECT_MIN;
            }
            let jitter = rand::rng().random_range(0.5..1.0);
            actix_rt::time::sleep(backoff.mul_f64(jitter)).await;
            backoff = RECONNECT_MAX.min(backoff * 2);
        }
    }

    /// Connects once, runs the connection, and returns when the connection has
    /// ended or could not be established.
    async fn run_connection(&self, upstream: &Name, address: SocketAddr, key: &SiteKey) {
        let Some(AgentConnection { gate, rpc }) = connect(address).await else {
            return;
        };
        tokio::select! {
            _ = rpc => {}
            () = self.run_session(upstream, &gate, key) => {}
        }
        self.handle_disconnect(upstream);
    }

    /// Authenticates to the agent and exchanges heartbeats until one fails.
    async fn run_session(&self, upstream: &Name, gate: &gate::Client, key: &SiteKey) {
        let handshake = authenticate(gate, key, &self.config.name, self.incarnation);
        let authenticated = match event_loop::timeout(HEARTBEAT_TIMEOUT, handshake).await {
            Ok(Ok(authenticated)) => authenticated,
            Ok(Err(e)) => {
                warn!(self.log, "could not authenticate to agent"; "upstream" => %upstream, "error" => %e);
                if e.is_key_mismatch() {
                    self.config.site_key.report_mismatch();
                }
                return;
            }
            Err(_) => return,
        };
        let AuthenticatedAgent {
            scheduler,
            incarnation,
            revision,
        } = authenticated;
        info!(self.log, "connected to agent"; "upstream" => %upstream, "incarnation" => %incarnation);
        // An agent needs settings before it gets tickets. Newer ones of the agent are fetched
        // after its first heartbeat.
        if revision < self.active_settings.revision()
            && let Err(e) = self.exchange_settings(upstream, &scheduler, revision).await
        {
            warn!(self.log, "could not exchange settings with agent"; "upstream" => %upstream, "error" => %e);
        }
        self.last_id.set(self.last_id.get() + 1);
        let link = Link {
            id: LinkId(self.last_id.get()),
            scheduler,
            usage: Rc::default(),
        };
        self.connected
            .borrow_mut()
            .insert(upstream.clone(), link.clone());
        if let Err(e) = self.run_heartbeats(upstream, &link).await {
            debug!(self.log, "connection to agent lost"; "upstream" => %upstream, "error" => %e);
        }
    }

    /// Exchanges heartbeats and settings until one fails. A heartbeat is a long
    /// poll: the agent answers when its settings revision changes, so that new
    /// settings spread immediately, or after the hold time. An idle connection
    /// has a long hold, which ends early when the connection is used.
    async fn run_heartbeats(&self, upstream: &Name, link: &Link) -> Result<(), capnp::Error> {
        let mut revisions = self.active_settings.subscribe();
        loop {
            let hold = match link.usage.is_recent() {
                true => BUSY_HEARTBEAT_HOLD,
                false => IDLE_HEARTBEAT_HOLD,
            };
            let ours = *revisions.borrow_and_update();
            let theirs = tokio::select! {
                revision = heartbeat(&link.scheduler, ours, hold) => revision?,
                () = link.usage.resumed() => heartbeat(&link.scheduler, ours, Duration::ZERO).await?,
                _ = revisions.changed() => {
                    let jitter = rand::rng().random_range(0.0..1.0);
                    actix_rt::time::sleep(SETTINGS_DELAY_MAX.mul_f64(jitter)).await;
                    heartbeat(&link.scheduler, self.active_settings.revision(), Duration::ZERO).await?
                }
            };
            self.exchange_settings(upstream, &link.scheduler, theirs)
                .await?;
        }
    }

    /// Transfers the newer settings to the side that has the older ones. `theirs` is the
    /// agent's revision.
    async fn exchange_settings(
        &self,
        upstream: &Name,
        scheduler: &desk::Client,
        theirs: Revision,
    ) -> Result<(), capnp::Error> {
        let ours = self.active_settings.revision();
        if theirs < ours {
            let sent = self.send_turns.run(|| true, self.send_newer(scheduler));
            return sent.await.unwrap_or(Ok(()));
        }
        if theirs > ours {
            self.wait_for_store(theirs).await;
            let is_needed = || self.active_settings.revision() < theirs;
            let fetch = self.fetch_newer(upstream, scheduler);
            let fetched = self.fetch_turns.run(is_needed, fetch);
            return fetched.await.unwrap_or(Ok(()));
        }
        Ok(())
    }

    /// Waits some time for the store to deliver settings of this revision, if it has lately
    /// answered.
    async fn wait_for_store(&self, revision: Revision) {
        let age = self.active_settings.age();
        if age.is_none_or(|age| age > STORE_ANSWER_AGE) {
            return;
        }
        let mut revisions = self.active_settings.subscribe();
        let delivered = revisions.wait_for(|ours| *ours >= revision);
        // Otherwise they are fetched from the agent.
        let _ = actix_rt::time::timeout(STORE_DELIVERY_TIME, delivered).await;
    }

    /// Sends the active settings to an agent that still has older ones. Others may have
    /// updated it while this connection waited for its turn.
    async fn send_newer(&self, scheduler: &desk::Client) -> Result<(), capnp::Error> {
        let ours = self.active_settings.revision();
        let theirs = heartbeat(scheduler, ours, Duration::ZERO).await?;
        if theirs < ours && self.send_settings(scheduler, theirs).await? < ours {
            // The agent's revision has changed in the meantime, so the update
            // did not apply. A full update applies to any revision.
            self.send_settings(scheduler, Revision::default()).await?;
        }
        Ok(())
    }

    /// Fetches newer settings from an agent.
    async fn fetch_newer(
        &self,
        upstream: &Name,
        scheduler: &desk::Client,
    ) -> Result<(), capnp::Error> {
        let ours = self.active_settings.revision();
        if !self.fetch_settings(upstream, scheduler, ours).await? {
            // A full update applies to any files.
            self.fetch_settings(upstream, scheduler, Revision::default())
                .await?;
        }
        Ok(())
    }

    /// Fetches the changes since revision `ours` from an agent and adopts them. Returns
    /// whether they apply to the files of this entry.
    async fn fetch_settings(
        &self,
        upstream: &Name,
        scheduler: &desk::Client,
        ours: Revision,
    ) -> Result<bool, capnp::Error> {
        let mut req = scheduler.settings_request();
        req.get().set_have(ours.0);
        let started = Instant::now();
        let reply = req.send().promise.await?;
        let encoded = reply.get()?.get_handover()?;
        info!(self.log, "settings received from agent";
            "upstream" => %upstream,
            "base" => ours.0,
            "bytes" => encoded.len(),
            "milliseconds" => millis(started.elapsed()));
        let update = serde_json::from_slice::<SettingsUpdate>(encoded);
        let update = update.map_err(|e| capnp::Error::failed(e.to_string()))?;
        match self.active_settings.apply_update(&update).await {
            Ok(adoption) => {
                if let Some(adoption) = adoption {
                    let origin = SettingsOrigin::Agent(upstream);
                    log_adoption(&self.log, update.revision, &adoption, origin);
                }
                Ok(true)
            }
            // This entry's revision has changed in the meantime. The exchange is repeated at
            // the next heartbeat.
            Err(AdoptError::BaseNotActive(_)) => Ok(true),
            Err(AdoptError::BaseDiffers(_)) => Ok(false),
            Err(AdoptError::Invalid(e)) => Err(capnp::Error::failed(e.to_string())),
        }
    }

    /// Sends the changes since revision `theirs` to an agent and returns the
    /// agent's new revision.
    async fn send_settings(
        &self,
        scheduler: &desk::Client,
        theirs: Revision,
    ) -> Result<Revision, capnp::Error> {
        let update = self.active_settings.encoded_update_since(theirs);
        let update = update.map_err(|e| capnp::Error::failed(e.to_string()))?;
        let mut req = scheduler.adopt_request();
        req.get().set_handover(&update);
        let reply = req.send().promise.await?;
        Ok(Revision(reply.get()?.get_revision()))
    }

    /// Removes the connection to `upstream` and notifies the waiting requests.
    fn handle_disconnect(&self, upstream: &Name) {
        let Some(link) = self.connected.borrow_mut().remove(upstream) else {
            return;
        };
        let mut disconnected = self.disconnected_since.borrow_mut();
        disconnected.insert(upstream.clone(), self.clock.now());
        drop(disconnected);
        let requests = self.listeners.borrow_mut().remove(upstream);
        for events in requests.unwrap_or_default().into_values() {
            // Fails only if the request has already ended.
            let _ = events.send(Event::ConnectionLost(upstream.clone(), link.id));
        }
    }
}

/// Sends a heartbeat and returns the agent's revision.
async fn heartbeat(
    scheduler: &desk::Client,
    revision: Revision,
    hold: Duration,
) -> Result<Revision, capnp::Error> {
    let mut req = scheduler.heartbeat_request();
    req.get().set_revision(revision.0);
    let hold_millis = u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
    req.get().set_hold_millis(hold_millis);
    let reply = event_loop::timeout(hold + HEARTBEAT_TIMEOUT, req.send().promise);
    let timed_out = |_| capnp::Error::disconnected("heartbeat timed out".to_owned());
    let reply = reply.await.map_err(timed_out)??;
    Ok(Revision(reply.get()?.get_revision()))
}
