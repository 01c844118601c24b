//! The entry's connections to agents.
//!
//! One task for each agent keeps its connection up, exchanges heartbeats and
//! hands newer settings over in both directions.

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
use crate::active_settings::SettingsUpdate;
use crate::agent_client::AgentConnection;
use crate::agent_client::connect;
use crate::almondramp_capnp::desk;
use crate::almondramp_capnp::gate;
use crate::config::EntryConfig;
use crate::directory::Directory;
use crate::dispatch::Event;
use crate::handshake::AuthenticatedAgent;
use crate::handshake::authenticate;
use crate::ids::Incarnation;
use crate::ids::LinkId;
use crate::ids::RequestId;
use crate::name::Name;
use crate::settings::Upstream;
use crate::site_key::SiteKey;
use crate::subset;

/// The shortest time between two tries to connect.
const RECONNECT_MIN: Duration = Duration::from_millis(50);

/// The longest time between two tries to connect.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// The time for which an agent holds a heartbeat while the connection is used.
const BUSY_HOLD: Duration = Duration::from_secs(1);

/// The time for which an agent holds a heartbeat of an idle connection.
const IDLE_HOLD: Duration = Duration::from_secs(10);

/// New settings are handed on within this time, each entry in its own moment:
/// most agents then have them from another, and many changes in quick
/// succession travel as one. Agents decide nothing by what is urgent.
const HAND_ON_WITHIN: Duration = Duration::from_secs(1);

/// The time without an answer, beyond the hold of a heartbeat, after which a
/// connection is given up.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection in use.
#[derive(Clone)]
pub struct Link {
    /// Names the connection; an upstream's later connection has another id.
    pub id: LinkId,
    /// The agent's scheduler.
    pub scheduler: desk::Client,
    /// When it was used last.
    pub usage: Rc<LinkUsage>,
}

/// Whether a connection is in use.
#[derive(Default)]
pub struct LinkUsage {
    last: Cell<Option<Instant>>,
    begun: Notify,
}

impl LinkUsage {
    /// Notes a use, and has an idle connection tested at once.
    pub fn touch(&self) {
        let idle = !self.is_recent();
        self.last.set(Some(Instant::now()));
        if idle {
            self.begun.notify_waiters();
        }
    }

    fn is_recent(&self) -> bool {
        self.last.get().is_some_and(|at| at.elapsed() < BUSY_HOLD)
    }

    async fn begun(&self) {
        self.begun.notified().await;
    }
}

/// The connections of an entry, by upstream.
pub struct Links {
    config: EntryConfig,
    incarnation: Incarnation,
    active_settings: Rc<ActiveSettings>,
    directory: Rc<Directory>,
    log: Logger,
    /// The id of the last connection that came up.
    last: Cell<u64>,
    up: RefCell<BTreeMap<Name, Link>>,
    /// The upstreams to whose agents it connects.
    chosen: RefCell<BTreeSet<Name>>,
    /// Requests that have to hear when the connection to an agent is lost.
    waiting: RefCell<HashMap<Name, HashMap<RequestId, UnboundedSender<Event>>>>,
}

impl Links {
    /// An entry without connections.
    pub fn new(
        config: EntryConfig,
        incarnation: Incarnation,
        active_settings: Rc<ActiveSettings>,
        directory: Rc<Directory>,
        log: Logger,
    ) -> Self {
        Self {
            config,
            incarnation,
            active_settings,
            directory,
            log,
            last: Cell::new(0),
            up: RefCell::default(),
            chosen: RefCell::default(),
            waiting: RefCell::default(),
        }
    }

    /// The connection to the agent of `upstream`, if it is up.
    pub fn get(&self, upstream: &Name) -> Option<Link> {
        self.up.borrow().get(upstream).cloned()
    }

    /// Whether this entry sends to `upstream`: it has no agent, or is one of
    /// those to whose agents the entry connects. Without this bound every
    /// entry would use a part of every upstream that no agent sees.
    pub fn may_use(&self, name: &Name, upstream: &Upstream) -> bool {
        upstream.agent.is_none() || self.chosen.borrow().contains(name)
    }

    /// The number of connections that are up.
    pub fn count(&self) -> usize {
        self.up.borrow().len()
    }

    /// Has `events` told when the connection to `upstream` is lost.
    pub fn register(&self, upstream: &Name, request: RequestId, events: UnboundedSender<Event>) {
        let mut waiting = self.waiting.borrow_mut();
        let requests = waiting.entry(upstream.clone()).or_default();
        requests.insert(request, events);
    }

    /// Ends what `register` began.
    pub fn unregister(&self, upstream: &Name, request: RequestId) {
        if let Some(requests) = self.waiting.borrow_mut().get_mut(upstream) {
            requests.remove(&request);
        }
    }

    /// Connects to the agents of the directory, and follows changes.
    pub async fn run(self: Rc<Self>) {
        let mut changes = self.directory.subscribe();
        let mut revisions = self.active_settings.subscribe();
        let mut tasks: BTreeMap<(Name, SocketAddr), JoinHandle<()>> = BTreeMap::new();
        loop {
            let upstreams = self.directory.upstreams();
            let links = self.active_settings.settings().limits.links as usize;
            let chosen =
                subset::select_upstreams(&self.config.name, &self.config.zone, &upstreams, links);
            let wanted: BTreeMap<_, _> = upstreams
                .iter()
                .filter(|(name, _)| chosen.contains(*name))
                .filter_map(|(name, u)| Some(((name.clone(), u.agent?), ())))
                .collect();
            self.chosen.replace(chosen);
            tasks.retain(|key, task| {
                let keep = wanted.contains_key(key);
                if !keep {
                    task.abort();
                    self.down(&key.0);
                }
                keep
            });
            for key in wanted.into_keys() {
                let (name, address) = key.clone();
                let this = Rc::clone(&self);
                tasks
                    .entry(key)
                    .or_insert_with(|| actix_rt::spawn(this.keep(name, address)));
            }
            let changed = tokio::select! {
                changed = changes.changed() => changed,
                changed = revisions.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Keeps one connection up.
    async fn keep(self: Rc<Self>, upstream: Name, address: SocketAddr) {
        let key = self.config.site_key.wait().await;
        let mut pause = RECONNECT_MIN;
        loop {
            let since = Instant::now();
            self.connect(&upstream, address, &key).await;
            if since.elapsed() > RECONNECT_MAX {
                pause = RECONNECT_MIN;
            }
            let spread = rand::rng().random_range(0.5..1.0);
            actix_rt::time::sleep(pause.mul_f64(spread)).await;
            pause = RECONNECT_MAX.min(pause * 2);
        }
    }

    /// Connects once and returns when the connection has ended.
    async fn connect(&self, upstream: &Name, address: SocketAddr, key: &SiteKey) {
        let Some(AgentConnection { gate, rpc }) = connect(address).await else {
            return;
        };
        tokio::select! {
            _ = rpc => {}
            () = self.converse(upstream, &gate, key) => {}
        }
        self.down(upstream);
    }

    /// Introduces this entry and exchanges heartbeats until they fail.
    async fn converse(&self, upstream: &Name, gate: &gate::Client, key: &SiteKey) {
        let introduced = authenticate(gate, key, &self.config.name, self.incarnation);
        let admitted = match actix_rt::time::timeout(HEARTBEAT_TIMEOUT, introduced).await {
            Ok(Ok(admitted)) => admitted,
            Ok(Err(e)) => {
                warn!(self.log, "not connected"; "upstream" => %upstream, "error" => %e);
                return;
            }
            Err(_) => return,
        };
        let AuthenticatedAgent {
            scheduler,
            incarnation,
            revision,
        } = admitted;
        info!(self.log, "connected"; "upstream" => %upstream, "incarnation" => %incarnation);
        if let Err(e) = self.exchange_settings(&scheduler, revision).await {
            warn!(self.log, "settings not handed over"; "upstream" => %upstream, "error" => %e);
        }
        self.last.set(self.last.get() + 1);
        let link = Link {
            id: LinkId(self.last.get()),
            scheduler,
            usage: Rc::default(),
        };
        self.up.borrow_mut().insert(upstream.clone(), link.clone());
        if let Err(e) = self.beat(&link).await {
            debug!(self.log, "connection lost"; "upstream" => %upstream, "error" => %e);
        }
    }

    /// Exchanges heartbeats. The agent holds each until its revision changes,
    /// so that new settings spread at once; the hold is long while the
    /// connection is not used, and ends early when it is.
    async fn beat(&self, link: &Link) -> Result<(), capnp::Error> {
        let mut revisions = self.active_settings.subscribe();
        loop {
            let hold = match link.usage.is_recent() {
                true => BUSY_HOLD,
                false => IDLE_HOLD,
            };
            let ours = *revisions.borrow_and_update();
            let theirs = tokio::select! {
                revision = heartbeat(&link.scheduler, ours, hold) => revision?,
                () = link.usage.begun() => heartbeat(&link.scheduler, ours, Duration::ZERO).await?,
                _ = revisions.changed() => {
                    let spread = rand::rng().random_range(0.0..1.0);
                    actix_rt::time::sleep(HAND_ON_WITHIN.mul_f64(spread)).await;
                    heartbeat(&link.scheduler, self.active_settings.revision(), Duration::ZERO).await?
                }
            };
            self.exchange_settings(&link.scheduler, theirs).await?;
        }
    }

    /// Hands the newer settings to the side that has the older ones.
    async fn exchange_settings(
        &self,
        scheduler: &desk::Client,
        theirs: Revision,
    ) -> Result<(), capnp::Error> {
        let ours = self.active_settings.revision();
        if theirs < ours && self.hand_over(scheduler, theirs).await? < ours {
            // The agent has changed meanwhile; everything fits any revision.
            self.hand_over(scheduler, Revision::default()).await?;
        }
        if theirs > ours {
            let mut req = scheduler.settings_request();
            req.get().set_have(ours.0);
            let reply = req.send().promise.await?;
            let update = serde_json::from_slice::<SettingsUpdate>(reply.get()?.get_handover()?);
            let update = update.map_err(|e| capnp::Error::failed(e.to_string()))?;
            match self.active_settings.apply_update(&update) {
                // This entry has changed meanwhile; the next heartbeat tells.
                Ok(_) | Err(AdoptError::UnknownBase(_)) => {}
                Err(AdoptError::Invalid(e)) => return Err(capnp::Error::failed(e.to_string())),
            }
        }
        Ok(())
    }

    /// Hands settings to an agent of revision `theirs`; gives its new one.
    async fn hand_over(
        &self,
        scheduler: &desk::Client,
        theirs: Revision,
    ) -> Result<Revision, capnp::Error> {
        let update = serde_json::to_vec(&self.active_settings.update_since(theirs));
        let update = update.map_err(|e| capnp::Error::failed(e.to_string()))?;
        let mut req = scheduler.adopt_request();
        req.get().set_handover(&update);
        let reply = req.send().promise.await?;
        Ok(Revision(reply.get()?.get_revision()))
    }

    fn down(&self, upstream: &Name) {
        let Some(link) = self.up.borrow_mut().remove(upstream) else {
            return;
        };
        let requests = self.waiting.borrow_mut().remove(upstream);
        for events in requests.unwrap_or_default().into_values() {
            // A request that has ended no longer listens.
            let _ = events.send(Event::ConnectionLost(upstream.clone(), link.id));
        }
    }
}

/// Sends a heartbeat and gives the agent's revision.
async fn heartbeat(
    scheduler: &desk::Client,
    revision: Revision,
    hold: Duration,
) -> Result<Revision, capnp::Error> {
    let mut req = scheduler.heartbeat_request();
    req.get().set_revision(revision.0);
    let hold_millis = u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
    req.get().set_hold_millis(hold_millis);
    let answered = actix_rt::time::timeout(hold + HEARTBEAT_TIMEOUT, req.send().promise);
    let late = |_| capnp::Error::disconnected("no heartbeat".to_owned());
    let reply = answered.await.map_err(late)??;
    Ok(Revision(reply.get()?.get_revision()))
}
