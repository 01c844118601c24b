//! Discovers settings, upstreams and peers through a platform.
//!
//! The platform is queried through [`Platform`]. Requests never wait for a
//! query; while the platform can't be reached, its last answers stay active.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::active_settings::Revision;
use crate::active_settings::SettingsOrigin;
use crate::active_settings::log_adoption;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::name::Name;
use crate::object_store::ObjectStore;
use crate::object_store::RestoreWatch;
use crate::object_store::StoreError;
use crate::pacer::Pacer;
use crate::registrations::Registrations;
use crate::settings::Document;
use crate::site_key;
use crate::site_key::KeyHolder;
use crate::site_key::SiteKey;

mod backoff;
mod rollouts;

pub(crate) use backoff::Backoff;
pub use rollouts::FoundRollout;
pub use rollouts::RolloutStatus;
pub use rollouts::RolloutStore;

/// The pause after a change of the upstreams, which lets one call cover a burst
/// of changes. It is a small part of the time that a platform gives entries
/// to stop sending requests to a leaving upstream.
const CHANGE_BATCH_PAUSE: Duration = Duration::from_millis(200);

/// The longest random delay before a process writes again what a platform that was
/// restored from an older copy may lack. It spreads the writes of all processes.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);

/// The shortest time between two checks of the site key.
const KEY_CHECK_PAUSE: Duration = Duration::from_secs(1);

/// An upstream as registered at the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DiscoveredUpstream {
    /// The name of the upstream. It identifies one process from its start to
    /// its end.
    pub name: Name,
    /// The service that the upstream belongs to.
    pub service: Name,
    /// The availability zone of the upstream.
    pub zone: Name,
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    /// The address of the agent on the same host; `None` without an agent.
    pub agent: Option<SocketAddr>,
    /// Identifies the running instance of the upstream, which rejects calls
    /// meant for another instance; `None` if not reported.
    pub instance: Option<Name>,
    /// The start time on the upstream's own clock, in Unix milliseconds; `None`
    /// if not reported.
    pub started: Option<u64>,
    /// The version of the upstream's software; `None` if not reported.
    pub version: Option<Name>,
    /// The time for which the upstream is still slow after its start; `None` if not
    /// reported.
    pub cold_left: Option<Duration>,
    /// The maximum number of requests in flight; `None` if not reported.
    pub slots: Option<u32>,
    /// Whether the upstream is leaving and accepts no new requests.
    pub leaving: bool,
}

/// A configuration as published by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Configuration {
    /// The revision of the configuration, which never decreases.
    pub revision: Revision,
    /// The settings files.
    pub document: Document,
}

/// A platform's answer to a query for a state of type `T`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer<T> {
    /// The whole state, at the first query or after a change.
    State(T),
    /// The state has not changed since the last answer.
    Unchanged,
    /// The changes since the last answer are not known. The next query returns the
    /// whole state.
    Unknown,
}

/// Queries to a platform. The first call of `configuration` or `upstreams`
/// returns the current state. Later calls wait some time for a change.
pub trait Platform {
    /// Returns the configuration.
    fn configuration(&self) -> LocalBoxFuture<'_, Result<Answer<Configuration>, StoreError>>;

    /// Returns all registered upstreams.
    fn upstreams(&self) -> LocalBoxFuture<'_, Result<Answer<Vec<DiscoveredUpstream>>, StoreError>>;

    /// Returns the shortest time without the platform after which a registration of
    /// a running upstream can have expired.
    fn shortest_lapse(&self) -> Duration;

    /// Returns the time after its start within which an upstream has registered; `None` if that
    /// is not known.
    fn registration_time(&self) -> Option<Duration>;

    /// Returns the time after which the registration of a silent upstream is certain to have
    /// expired, while the platform is there; `None` if it never is.
    fn longest_lapse(&self) -> Option<Duration>;

    /// Registers this entry under `name` with its peer address.
    fn announce(&self, name: Name, peer: SocketAddr) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Returns the peer addresses of all registered entries.
    fn peers(&self) -> LocalBoxFuture<'_, Result<BTreeSet<SocketAddr>, StoreError>>;

    /// Returns the object store that holds the site key.
    fn key_store(&self) -> &dyn ObjectStore;

    /// Returns a watch for restores of the platform from an older copy.
    fn restores(&self) -> RestoreWatch {
        RestoreWatch::new(self.key_store().timelines())
    }
}

/// News on the registered upstreams.
enum UpstreamNews {
    /// The platform lists these.
    Listed(Vec<DiscoveredUpstream>),
    /// The platform lists the same as before.
    Unchanged,
    /// The platform can't be reached.
    Unreachable,
    /// The platform was restored from an older copy.
    Restored,
}

/// The state of a process that is updated with what discovery finds.
#[derive(Clone)]
pub struct DiscoveredState {
    /// The active settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The known upstreams.
    pub directory: Rc<Directory>,
    /// The site key.
    pub key: KeyHolder,
    /// The peer addresses of all registered entries.
    pub peers: watch::Sender<BTreeSet<SocketAddr>>,
}

/// The part of the platform's state that a process discovers.
#[derive(Clone, Debug)]
pub enum DiscoveryScope {
    /// Everything, for an entry. The entry registers under this name and peer
    /// address.
    All(Name, SocketAddr),
    /// Only the site key, for an agent. The agent receives the settings from
    /// entries, and its own upstream is given here.
    SiteKey(DiscoveredUpstream),
}

/// Keeps the state of the process in step with a platform.
pub struct DiscoveryService {
    follower: Rc<Follower>,
    scope: DiscoveryScope,
}

struct Follower {
    platform: Rc<dyn Platform>,
    state: DiscoveredState,
    clock: Clock,
    log: Logger,
}

impl DiscoveryService {
    /// Creates a service that queries `platform` for `scope` and updates
    /// `state`.
    pub fn new(
        platform: Rc<dyn Platform>,
        scope: DiscoveryScope,
        state: DiscoveredState,
        log: Logger,
    ) -> Self {
        let follower = Follower {
            platform,
            state,
            clock: Clock::new(),
            log,
        };
        Self {
            follower: Rc::new(follower),
            scope,
        }
    }
}

impl Service for DiscoveryService {
    fn name(&self) -> Name {
        Name::new("discovery")
    }

    fn start<'a>(
        &'a self,
        _registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>> {
        let follower = || Rc::clone(&self.follower);
        actix_rt::spawn(follower().maintain_site_key());
        match self.scope.clone() {
            DiscoveryScope::All(name, peer) => {
                actix_rt::spawn(follower().follow_configuration());
                actix_rt::spawn(follower().follow_upstreams());
                actix_rt::spawn(follower().discover_peers(name, peer));
            }
            DiscoveryScope::SiteKey(own) => {
                actix_rt::spawn(follower().publish_own_upstream(own));
            }
        }
        futures::future::ready(Ok(())).boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

impl Follower {
    /// Loads the site key. Checks it after the platform was restored from an older
    /// copy, which may lack it, and when a peer holds another one.
    async fn maintain_site_key(self: Rc<Self>) {
        let mut restores = self.platform.restores();
        let key = self
            .query_site_key(|| site_key::load_or_create(self.platform.key_store()))
            .await;
        restores.start();
        self.state.key.set(key);
        loop {
            tokio::select! {
                timeline = restores.restored() => {
                    info!(self.log, "platform was restored from an older copy"; "timeline" => timeline.0);
                    sleep_up_to(RESTORE_SPREAD).await;
                }
                () = self.state.key.mismatch() => {}
            }
            let held = self.state.key.wait().await;
            let agreed = self
                .query_site_key(|| site_key::agree(self.platform.key_store(), held.clone()))
                .await;
            if self.state.key.set(agreed) {
                warn!(
                    self.log,
                    "site key replaced by the one that the platform keeps"
                );
            }
            actix_rt::time::sleep(KEY_CHECK_PAUSE).await;
        }
    }

    async fn query_site_key<F, Fut>(&self, query: F) -> SiteKey
    where
        F: Fn() -> Fut,
        Fut: Future<Output = Result<SiteKey, StoreError>>,
    {
        let mut backoff = Backoff::new("site key", self.log.clone());
        loop {
            backoff.begin_call();
            match query().await {
                Ok(key) => {
                    backoff.record_success();
                    return key;
                }
                Err(e) => backoff.wait_after_failure(&e).await,
            }
        }
    }

    async fn follow_configuration(self: Rc<Self>) {
        let mut backoff = Backoff::new("configuration", self.log.clone());
        let mut pacer = Pacer::new();
        loop {
            actix_rt::time::sleep(pacer.delay(self.clock.now())).await;
            backoff.begin_call();
            match self.platform.configuration().await {
                Ok(configuration) => {
                    backoff.record_success();
                    match configuration {
                        Answer::State(configuration) => {
                            self.adopt_configuration(configuration).await;
                            self.state.active_settings.confirm();
                        }
                        Answer::Unchanged => self.state.active_settings.confirm(),
                        Answer::Unknown => {}
                    }
                }
                Err(e) => backoff.wait_after_failure(&e).await,
            }
        }
    }

    async fn adopt_configuration(&self, configuration: Configuration) {
        let revision = configuration.revision;
        let active_settings = &self.state.active_settings;
        match active_settings
            .adopt(revision, configuration.document)
            .await
        {
            Ok(Some(adoption)) => {
                log_adoption(&self.log, revision, &adoption, SettingsOrigin::Store);
            }
            Ok(None) => {}
            Err(e) => warn!(self.log, "settings rejected as invalid";
                "revision" => revision.0,
                "error" => %e),
        }
    }

    async fn follow_upstreams(self: Rc<Self>) {
        let (tx, mut rx) = mpsc::unbounded_channel();
        actix_rt::spawn(Rc::clone(&self).poll_upstreams(tx));
        let registration_time = self.platform.registration_time();
        self.state
            .directory
            .set_registration_time(registration_time);
        let mut registrations = Registrations::new()
            .with_shortest_lapse(self.platform.shortest_lapse())
            .with_longest_lapse(self.platform.longest_lapse());
        let mut revisions = self.state.active_settings.subscribe();
        loop {
            let next_tick = registrations.next_tick().map(|at| self.clock.instant(at));
            tokio::select! {
                Some(news) = rx.recv() => match news {
                    UpstreamNews::Listed(listed) => registrations.update(self.clock.now(), listed),
                    UpstreamNews::Unchanged => {
                        registrations.confirm(self.clock.now());
                        continue;
                    }
                    UpstreamNews::Unreachable => {
                        registrations.mark_unreachable();
                        continue;
                    }
                    UpstreamNews::Restored => {
                        registrations.mark_restored();
                        continue;
                    }
                },
                () = sleep_until(next_tick) => {
                    registrations.tick(self.clock.now());
                }
                // Properties of the upstreams, such as the kind, come from the
                // settings of their service.
                Ok(()) = revisions.changed() => {}
            }
            self.publish_upstreams(&registrations);
        }
    }

    /// Sends what the platform tells of the upstreams to `tx`. Returns when the
    /// receiver is closed.
    async fn poll_upstreams(self: Rc<Self>, tx: UnboundedSender<UpstreamNews>) {
        let mut backoff = Backoff::new("upstreams", self.log.clone());
        let mut restores = self.platform.restores();
        let mut pacer = Pacer::new();
        loop {
            actix_rt::time::sleep(pacer.delay(self.clock.now())).await;
            backoff.begin_call();
            match self.platform.upstreams().await {
                Ok(Answer::Unknown) => backoff.record_success(),
                Ok(Answer::Unchanged) => {
                    backoff.record_success();
                    self.state.directory.confirm();
                    if tx.send(UpstreamNews::Unchanged).is_err() {
                        return;
                    }
                }
                Ok(Answer::State(listed)) => {
                    backoff.record_success();
                    self.state.directory.confirm();
                    if restores.is_restored() && tx.send(UpstreamNews::Restored).is_err() {
                        return;
                    }
                    if tx.send(UpstreamNews::Listed(listed)).is_err() {
                        return;
                    }
                    actix_rt::time::sleep(CHANGE_BATCH_PAUSE).await;
                }
                Err(e) => {
                    // The first failure may concern only the connection of the watch, unless
                    // a second connection was tried as well.
                    let is_outage = backoff.is_failing() || e == StoreError::NoReply;
                    if is_outage && tx.send(UpstreamNews::Unreachable).is_err() {
                        return;
                    }
                    backoff.wait_after_failure(&e).await;
                }
            }
        }
    }

    fn publish_upstreams(&self, registrations: &Registrations) {
        let upstreams = registrations.upstreams(&self.state.active_settings.settings());
        let before = self.state.directory.upstreams();
        for (name, upstream) in &upstreams {
            let leaving = before.get(name).is_some_and(|b| b.leaving);
            if !before.contains_key(name) || leaving != upstream.leaving {
                info!(self.log, "upstream added or changed";
                    "upstream" => %name,
                    "service" => upstream.serves.first().map(ToString::to_string),
                    "address" => %upstream.address,
                    "version" => upstream.version.as_deref(),
                    "leaving" => upstream.leaving);
            }
        }
        for name in before.keys().filter(|name| !upstreams.contains_key(*name)) {
            info!(self.log, "upstream removed"; "upstream" => %name);
        }
        let kept = registrations.kept();
        if kept.len() != self.state.directory.kept() {
            let names: Vec<&str> = kept.iter().map(|name| name.as_str()).collect();
            info!(self.log, "upstreams without a registration kept"; "upstreams" => names.join(" "));
        }
        self.state.directory.set_kept(kept.len());
        self.state.directory.set(upstreams);
    }

    /// Publishes the agent's own upstream, with the properties that the settings
    /// give its service.
    async fn publish_own_upstream(self: Rc<Self>, own: DiscoveredUpstream) {
        let mut registrations = Registrations::new();
        registrations.update(self.clock.now(), vec![own]);
        let mut revisions = self.state.active_settings.subscribe();
        while revisions.changed().await.is_ok() {
            let settings = self.state.active_settings.settings();
            self.state.directory.set(registrations.upstreams(&settings));
        }
    }

    /// Registers this entry and discovers the others, and does both again when the
    /// platform was restored from an older copy.
    async fn discover_peers(self: Rc<Self>, name: Name, peer: SocketAddr) {
        let mut restores = self.platform.restores();
        let mut backoff = Backoff::new("entries", self.log.clone());
        loop {
            let discovered = async {
                self.platform.announce(name.clone(), peer).await?;
                restores.start();
                self.platform.peers().await
            };
            backoff.begin_call();
            match discovered.await {
                Ok(peers) => {
                    backoff.record_success();
                    self.state.peers.send_replace(peers);
                    restores.restored().await;
                    sleep_up_to(RESTORE_SPREAD).await;
                }
                Err(e) => backoff.wait_after_failure(&e).await,
            }
        }
    }
}

/// Sleeps for a random time up to `longest`.
async fn sleep_up_to(longest: Duration) {
    let fraction = rand::rng().random_range(0.0..1.0);
    actix_rt::time::sleep(longest.mul_f64(fraction)).await;
}

async fn sleep_until(at: Option<std::time::Instant>) {
    match at {
        Some(at) => actix_rt::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
