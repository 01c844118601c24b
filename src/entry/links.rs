//! The entry's connections to agents.
//!
//! One task for each agent keeps its connection up, exchanges heartbeats and
//! hands newer settings over in both directions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use rand::RngExt;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::agent_client::Connected;
use crate::agent_client::connect;
use crate::almondramp_capnp::desk;
use crate::almondramp_capnp::gate;
use crate::config::EntryConfig;
use crate::current::Current;
use crate::current::Revision;
use crate::dispatch::Event;
use crate::handshake::Admitted;
use crate::handshake::introduce;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::settings::Document;
use crate::subset;

/// The shortest time between two tries to connect.
const RECONNECT_MIN: Duration = Duration::from_millis(50);

/// The longest time between two tries to connect.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

const HEARTBEAT: Duration = Duration::from_secs(1);

/// The time without an answer after which a connection is given up.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection in use.
#[derive(Clone)]
pub struct Link {
    /// The agent's desk.
    pub desk: desk::Client,
    /// The life of the agent at the other end.
    pub incarnation: Incarnation,
}

/// The connections of an entry, by upstream.
pub struct Links {
    config: EntryConfig,
    incarnation: Incarnation,
    current: Rc<Current>,
    log: Logger,
    up: RefCell<BTreeMap<Name, Link>>,
    /// Requests that have to hear when the connection to an agent is lost.
    waiting: RefCell<HashMap<Name, HashMap<RequestId, UnboundedSender<Event>>>>,
    /// Told when a connection came up.
    connected: Notify,
}

impl Links {
    /// An entry without connections.
    pub fn new(
        config: EntryConfig,
        incarnation: Incarnation,
        current: Rc<Current>,
        log: Logger,
    ) -> Self {
        Self {
            config,
            incarnation,
            current,
            log,
            up: RefCell::default(),
            waiting: RefCell::default(),
            connected: Notify::new(),
        }
    }

    /// The connection to the agent of `upstream`, if it is up.
    pub fn get(&self, upstream: &Name) -> Option<Link> {
        self.up.borrow().get(upstream).cloned()
    }

    /// Whether the connection to the agent of `upstream` is up.
    pub fn is_up(&self, upstream: &Name) -> bool {
        self.up.borrow().contains_key(upstream)
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

    /// Waits until the same life of the agent of `upstream` is connected, at
    /// most for `within`. Returns none if it has ended or stays away.
    pub async fn same_again(
        &self,
        upstream: &Name,
        incarnation: Incarnation,
        within: Duration,
    ) -> Option<Link> {
        let connected = async {
            loop {
                let connected = self.connected.notified();
                if let Some(link) = self.get(upstream) {
                    return Some(link).filter(|l| l.incarnation == incarnation);
                }
                connected.await;
            }
        };
        let waited = actix_rt::time::timeout(within, connected).await;
        waited.ok().flatten()
    }

    /// Connects to the agents that the settings name, and follows changes.
    pub async fn run(self: Rc<Self>) {
        let mut revisions = self.current.subscribe();
        let mut tasks: BTreeMap<(Name, SocketAddr), JoinHandle<()>> = BTreeMap::new();
        loop {
            let settings = self.current.settings();
            let chosen = subset::choose(
                &self.config.name,
                &self.config.zone,
                &settings.upstreams,
                settings.limits.links as usize,
            );
            let wanted = settings.upstreams.iter();
            let wanted = wanted.filter(|(name, _)| chosen.contains(*name));
            let wanted: BTreeMap<_, _> = wanted.map(|(n, u)| ((n.clone(), u.agent), ())).collect();
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
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }

    /// Keeps one connection up.
    async fn keep(self: Rc<Self>, upstream: Name, address: SocketAddr) {
        let mut pause = RECONNECT_MIN;
        loop {
            let since = std::time::Instant::now();
            self.connect(&upstream, address).await;
            if since.elapsed() > RECONNECT_MAX {
                pause = RECONNECT_MIN;
            }
            let spread = rand::rng().random_range(0.5..1.0);
            actix_rt::time::sleep(pause.mul_f64(spread)).await;
            pause = RECONNECT_MAX.min(pause * 2);
        }
    }

    /// Connects once and returns when the connection has ended.
    async fn connect(&self, upstream: &Name, address: SocketAddr) {
        let Some(Connected { gate, rpc }) = connect(address).await else {
            return;
        };
        tokio::select! {
            _ = rpc => {}
            () = self.converse(upstream, &gate) => {}
        }
        self.down(upstream);
    }

    /// Introduces this entry and exchanges heartbeats until they fail.
    async fn converse(&self, upstream: &Name, gate: &gate::Client) {
        let introduced = introduce(
            gate,
            &self.config.site_key,
            &self.config.name,
            self.incarnation,
        );
        let admitted = match actix_rt::time::timeout(HEARTBEAT_TIMEOUT, introduced).await {
            Ok(Ok(admitted)) => admitted,
            Ok(Err(e)) => {
                warn!(self.log, "not connected"; "upstream" => %upstream, "error" => %e);
                return;
            }
            Err(_) => return,
        };
        let Admitted {
            desk,
            incarnation,
            revision,
        } = admitted;
        info!(self.log, "connected"; "upstream" => %upstream, "incarnation" => %incarnation);
        if let Err(e) = self.exchange_settings(&desk, revision).await {
            warn!(self.log, "settings not handed over"; "upstream" => %upstream, "error" => %e);
        }
        let link = Link {
            desk: desk.clone(),
            incarnation,
        };
        self.up.borrow_mut().insert(upstream.clone(), link);
        self.connected.notify_waiters();
        if let Err(e) = self.beat(&desk).await {
            debug!(self.log, "connection lost"; "upstream" => %upstream, "error" => %e);
        }
    }

    async fn beat(&self, desk: &desk::Client) -> Result<(), capnp::Error> {
        let mut revisions = self.current.subscribe();
        loop {
            let mut req = desk.heartbeat_request();
            req.get().set_revision(self.current.revision().0);
            let beat = actix_rt::time::timeout(HEARTBEAT_TIMEOUT, req.send().promise);
            let reply = beat
                .await
                .map_err(|_| capnp::Error::disconnected("no heartbeat".to_owned()))??;
            let revision = Revision(reply.get()?.get_revision());
            self.exchange_settings(desk, revision).await?;
            // A new revision is handed on at once.
            tokio::select! {
                () = actix_rt::time::sleep(HEARTBEAT) => {}
                _ = revisions.changed() => {}
            }
        }
    }

    /// Hands the newer settings to the side that has the older ones.
    async fn exchange_settings(
        &self,
        desk: &desk::Client,
        theirs: Revision,
    ) -> Result<(), capnp::Error> {
        let ours = self.current.get();
        if theirs < ours.revision {
            let document = serde_json::to_vec(&*ours.document);
            let document = document.map_err(|e| capnp::Error::failed(e.to_string()))?;
            let mut req = desk.adopt_request();
            req.get().set_revision(ours.revision.0);
            req.get().set_document(&document);
            req.send().promise.await?;
        }
        if theirs > ours.revision {
            let reply = desk.settings_request().send().promise.await?;
            let reply = reply.get()?;
            let document = serde_json::from_slice::<Document>(reply.get_document()?);
            let document = document.map_err(|e| capnp::Error::failed(e.to_string()))?;
            let revision = Revision(reply.get_revision());
            let adopted = self.current.adopt(revision, document);
            adopted.map_err(|e| capnp::Error::failed(e.to_string()))?;
        }
        Ok(())
    }

    fn down(&self, upstream: &Name) {
        self.up.borrow_mut().remove(upstream);
        let requests = self.waiting.borrow_mut().remove(upstream);
        for events in requests.unwrap_or_default().into_values() {
            // A request that has ended no longer listens.
            let _ = events.send(Event::Lost(upstream.clone()));
        }
    }
}
