//! Settings, upstreams and peers that a platform tells.
//!
//! The platform is asked through [`Platform`]. Nothing on a request's way
//! waits for it: while it is away, what it said last stays in force.

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
use crate::clock::Clock;
use crate::directory::Directory;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::name::Name;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::registrations::Registrations;
use crate::settings::Document;
use crate::site_key;
use crate::site_key::KeyHolder;

/// The pause after a change of the upstreams, so that many changes at once
/// cost one call. It is a small part of the time that a platform gives to
/// stop sending to an upstream that leaves.
const CHANGES_PAUSE: Duration = Duration::from_millis(200);

/// The shortest time between tries while the platform can't be reached.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The longest time between tries while the platform can't be reached.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// An upstream as the platform tells of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DiscoveredUpstream {
    /// Its name; it is the upstream's own from start to end.
    pub name: Name,
    /// The service that it serves.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where the agent beside it listens; absent without one.
    pub agent: Option<SocketAddr>,
    /// Its present life, by which it tells calls that are meant for another.
    pub instance: Option<Name>,
    /// When it started, on its own clock in Unix milliseconds; absent where it
    /// tells none.
    pub started: Option<u64>,
    /// Requests in flight at most; absent where it tells none.
    pub slots: Option<u32>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A configuration as the platform tells of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Configuration {
    /// Its number; it only grows.
    pub revision: Revision,
    /// The settings.
    pub document: Document,
}

/// What a platform is asked for. The first call of a kind answers at once, a
/// later one when there is something new, or with none after some time.
pub trait Platform {
    /// The configuration.
    fn configuration(&self) -> LocalBoxFuture<'_, Result<Option<Configuration>, StoreError>>;

    /// All upstreams that are registered.
    fn upstreams(&self) -> LocalBoxFuture<'_, Result<Option<Vec<DiscoveredUpstream>>, StoreError>>;

    /// Makes this entry known to the others.
    fn announce(&self, name: Name, peer: SocketAddr) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// The entries that have made themselves known.
    fn peers(&self) -> LocalBoxFuture<'_, Result<BTreeSet<SocketAddr>, StoreError>>;

    /// The object that holds the site's key.
    fn keys(&self) -> &dyn ObjectStore;
}

/// Where the answers of a platform go.
#[derive(Clone)]
pub struct Destinations {
    /// The settings in force.
    pub active_settings: Rc<ActiveSettings>,
    /// The upstreams that are there.
    pub directory: Rc<Directory>,
    /// The site's key.
    pub key: KeyHolder,
    /// The other entries.
    pub peers: watch::Sender<BTreeSet<SocketAddr>>,
}

/// What a process wants to know of its platform.
#[derive(Clone, Debug)]
pub enum DiscoveryScope {
    /// An entry wants all; it makes itself known under this name and address.
    All(Name, SocketAddr),
    /// An agent wants the site's key and hears the rest from entries; its own
    /// upstream is known.
    Key(DiscoveredUpstream),
}

/// Follows a platform.
pub struct DiscoveryService {
    follower: Rc<Follower>,
    scope: DiscoveryScope,
}

struct Follower {
    platform: Rc<dyn Platform>,
    to: Destinations,
    clock: Clock,
    log: Logger,
}

impl DiscoveryService {
    /// A service that asks `platform` for what is wanted.
    pub fn new(
        platform: Rc<dyn Platform>,
        scope: DiscoveryScope,
        to: Destinations,
        log: Logger,
    ) -> Self {
        let follower = Follower {
            platform,
            to,
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
        actix_rt::spawn(follower().agree_on_key());
        match self.scope.clone() {
            DiscoveryScope::All(name, peer) => {
                actix_rt::spawn(follower().follow_configuration());
                actix_rt::spawn(follower().follow_upstreams());
                actix_rt::spawn(follower().meet_peers(name, peer));
            }
            DiscoveryScope::Key(own) => {
                actix_rt::spawn(follower().place_own(own));
            }
        }
        futures::future::ready(Ok(())).boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

impl Follower {
    async fn agree_on_key(self: Rc<Self>) {
        let mut retry = Retry::new("site key", self.log.clone());
        loop {
            let key = site_key::load_or_create(self.platform.keys()).await;
            match key {
                Ok(key) => {
                    self.to.key.set(key);
                    return retry.succeeded();
                }
                Err(e) => retry.failed(&e).await,
            }
        }
    }

    async fn follow_configuration(self: Rc<Self>) {
        let mut retry = Retry::new("configuration", self.log.clone());
        loop {
            match self.platform.configuration().await {
                Ok(configuration) => {
                    retry.succeeded();
                    if let Some(configuration) = configuration {
                        self.adopt(configuration);
                    }
                }
                Err(e) => retry.failed(&e).await,
            }
        }
    }

    fn adopt(&self, configuration: Configuration) {
        let revision = configuration.revision;
        match self
            .to
            .active_settings
            .adopt(revision, configuration.document)
        {
            Ok(true) => info!(self.log, "settings in force"; "revision" => revision.0),
            Ok(false) => {}
            Err(e) => warn!(self.log, "settings not valid";
                "revision" => revision.0,
                "error" => %e),
        }
    }

    async fn follow_upstreams(self: Rc<Self>) {
        let (heard, mut answers) = mpsc::unbounded_channel();
        actix_rt::spawn(Rc::clone(&self).ask_for_upstreams(heard));
        let mut registrations = Registrations::new();
        let mut revisions = self.to.active_settings.subscribe();
        loop {
            let until = registrations.next_tick().map(|at| self.clock.instant(at));
            tokio::select! {
                Some(answer) = answers.recv() => match answer {
                    Some(listed) => registrations.update(self.clock.now(), listed),
                    None => {
                        registrations.mark_unreachable();
                        continue;
                    }
                },
                () = sleep_until(until) => {
                    registrations.tick(self.clock.now());
                }
                // The settings say what the upstreams of a service are.
                Ok(()) = revisions.changed() => {}
            }
            self.publish(&registrations);
        }
    }

    /// Passes on what the platform tells, and none when it does not answer.
    async fn ask_for_upstreams(
        self: Rc<Self>,
        heard: UnboundedSender<Option<Vec<DiscoveredUpstream>>>,
    ) {
        let mut retry = Retry::new("upstreams", self.log.clone());
        loop {
            match self.platform.upstreams().await {
                Ok(None) => retry.succeeded(),
                Ok(Some(listed)) => {
                    retry.succeeded();
                    if heard.send(Some(listed)).is_err() {
                        return;
                    }
                    actix_rt::time::sleep(CHANGES_PAUSE).await;
                }
                Err(e) => {
                    if heard.send(None).is_err() {
                        return;
                    }
                    retry.failed(&e).await;
                }
            }
        }
    }

    fn publish(&self, registrations: &Registrations) {
        let upstreams = registrations.upstreams(&self.to.active_settings.settings());
        let before = self.to.directory.upstreams();
        for (name, upstream) in &upstreams {
            let leaving = before.get(name).is_some_and(|b| b.leaving);
            if !before.contains_key(name) || leaving != upstream.leaving {
                info!(self.log, "upstream";
                    "upstream" => %name,
                    "service" => upstream.serves.first().map(ToString::to_string),
                    "address" => %upstream.address,
                    "leaving" => upstream.leaving);
            }
        }
        for name in before.keys().filter(|name| !upstreams.contains_key(*name)) {
            info!(self.log, "upstream is gone"; "upstream" => %name);
        }
        self.to.directory.set(upstreams);
    }

    /// Holds the agent's own upstream as the settings describe its service.
    async fn place_own(self: Rc<Self>, own: DiscoveredUpstream) {
        let mut registrations = Registrations::new();
        registrations.update(self.clock.now(), vec![own]);
        let mut revisions = self.to.active_settings.subscribe();
        while revisions.changed().await.is_ok() {
            let settings = self.to.active_settings.settings();
            self.to.directory.set(registrations.upstreams(&settings));
        }
    }

    async fn meet_peers(self: Rc<Self>, name: Name, peer: SocketAddr) {
        let mut retry = Retry::new("entries", self.log.clone());
        loop {
            let met = async {
                self.platform.announce(name.clone(), peer).await?;
                self.platform.peers().await
            };
            match met.await {
                Ok(peers) => {
                    self.to.peers.send_replace(peers);
                    return retry.succeeded();
                }
                Err(e) => retry.failed(&e).await,
            }
        }
    }
}

async fn sleep_until(at: Option<std::time::Instant>) {
    match at {
        Some(at) => actix_rt::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Spaces out tries, and logs when the platform is lost and regained.
struct Retry {
    what: &'static str,
    pause: Duration,
    failures: u32,
    log: Logger,
}

impl Retry {
    fn new(what: &'static str, log: Logger) -> Self {
        Self {
            what,
            pause: RETRY_MIN,
            failures: 0,
            log,
        }
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            info!(self.log, "platform answers again"; "about" => self.what, "failures" => self.failures);
        }
        self.failures = 0;
        self.pause = RETRY_MIN;
    }

    async fn failed(&mut self, e: &StoreError) {
        if self.failures == 0 {
            warn!(self.log, "platform does not answer"; "about" => self.what, "error" => %e);
        }
        self.failures = self.failures.saturating_add(1);
        let spread = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(self.pause.mul_f64(spread)).await;
        self.pause = RETRY_MAX.min(self.pause * 2);
    }
}
