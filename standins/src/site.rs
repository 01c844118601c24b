//! A whole site on the loopback address: stand-ins for the upstreams that the
//! settings name, an agent beside each, and entries in front.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use almondramp::apply::MergeBase;
use almondramp::apply::apply;
use almondramp::http_client::new_client;
use almondramp::name::Name;
use almondramp::object_store::HttpObjectStore;
use almondramp::settings::Document;
use almondramp::settings::File;
use almondramp::settings::Settings;
use almondramp::settings::UpstreamKind;
use awc::Client;
use sha2::Digest;
use sha2::Sha256;
use tempfile::TempDir;

use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::engine::SeenPrefixes;
use crate::platform::Platform;
use crate::ports::Ports;
use crate::process::Launcher;
use crate::process::Process;
use crate::relay::Relay;
use crate::service::Service;

/// The file by which the addresses of the settings are replaced.
const OVERLAY: &str = "90-loopback.toml";

/// The time that a site gets to become ready; it catches a hang, not a speed.
const READY: Duration = Duration::from_secs(30);

const MAX_METRICS_BYTES: usize = 64 << 20;

const SITE_KEY: &str = "000102030405060708090a0b0c0d0e0f";

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct SiteSpec {
    /// The operators' settings; addresses in them are replaced.
    pub document: Document,
    /// The availability zone of each entry.
    pub entry_zones: Vec<Name>,
    /// How engines behave, by upstream; the default for those not named.
    pub engines: BTreeMap<Name, EngineConfig>,
    /// The address of the platform. With one, settings come from its store
    /// and idempotency keys are kept there.
    pub platform: Option<String>,
    /// Whether a relay stands in front of each agent.
    pub relays: bool,
    /// How the daemons are started.
    pub launcher: Launcher,
}

impl SiteSpec {
    /// A site with one entry in zone `a`, without a platform and relays.
    pub fn new(document: Document, launcher: Launcher) -> Self {
        Self {
            document,
            entry_zones: vec![Name::new("a")],
            engines: BTreeMap::new(),
            platform: None,
            relays: false,
            launcher,
        }
    }

    /// The same site with one entry in each of these zones.
    pub fn with_entries(mut self, zones: &[&str]) -> Self {
        self.entry_zones = zones.iter().map(|z| Name::new(z)).collect();
        self
    }

    /// The same site with an engine that behaves as given.
    pub fn with_engine(mut self, upstream: &str, config: EngineConfig) -> Self {
        self.engines.insert(Name::new(upstream), config);
        self
    }

    /// The same site with a platform.
    pub fn with_platform(mut self, platform: &Platform) -> Self {
        self.platform = Some(platform.url());
        self
    }

    /// The same site with relays in front of the agents.
    pub fn with_relays(mut self) -> Self {
        self.relays = true;
        self
    }
}

/// A running site. Everything ends when it is dropped.
pub struct Site {
    /// Stand-ins of model engines, by upstream.
    pub engines: BTreeMap<Name, Engine>,
    /// Stand-ins of plain services, by upstream.
    pub services: BTreeMap<Name, Service>,
    /// The agents, by upstream.
    pub agents: BTreeMap<Name, Process>,
    /// The entries.
    pub entries: Vec<Process>,
    /// Where each entry listens for callers.
    pub callers: Vec<SocketAddr>,
    /// Where each agent serves its metrics, by upstream.
    pub agent_admins: BTreeMap<Name, SocketAddr>,
    /// Where each entry serves its metrics.
    pub admins: Vec<SocketAddr>,
    /// The relays in front of the agents, by upstream.
    pub relays: BTreeMap<Name, Relay>,
    /// The operators' settings with the addresses in use.
    pub document: Document,
    /// The files that the daemons read.
    pub folder: TempDir,
    platform: Option<String>,
    launcher: Launcher,
    _ports: Ports,
}

impl Site {
    /// Starts a site. The daemons may not be ready yet when this returns.
    pub fn start(spec: &SiteSpec) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let mut site = Self {
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            agents: BTreeMap::new(),
            entries: Vec::new(),
            callers: Vec::new(),
            agent_admins: BTreeMap::new(),
            admins: Vec::new(),
            relays: BTreeMap::new(),
            document: Document::default(),
            folder,
            platform: spec.platform.clone(),
            launcher: spec.launcher.clone(),
            _ports: Ports::new(),
        };
        write(&site.site_key_file(), SITE_KEY);
        let settings = Settings::new(&spec.document).expect("the settings are valid");
        site.start_upstreams(spec, &settings);
        let overlay = site.start_agents(spec, &settings);
        site.write_settings(&spec.document, overlay);
        for (i, zone) in spec.entry_zones.iter().enumerate() {
            site.start_entry(i, zone);
        }
        site
    }

    /// Starts the agent of `upstream` anew.
    pub fn restart_agent(&mut self, upstream: &str) {
        let config = self.config_path(&format!("agent-{upstream}"));
        let process = self.launcher.agent(&config);
        self.agents.insert(Name::new(upstream), process);
    }

    /// Starts an entry anew.
    pub fn restart_entry(&mut self, number: usize) {
        let config = self.config_path(&format!("entry-{number}"));
        self.entries[number] = self.launcher.entry(&config);
    }

    fn start_upstreams(&mut self, spec: &SiteSpec, settings: &Settings) {
        let seen = SeenPrefixes::default();
        for (name, upstream) in &settings.upstreams {
            match upstream.kind {
                UpstreamKind::Model => {
                    let config = spec.engines.get(name).cloned().unwrap_or_default();
                    let engine = Engine::start(config, SeenPrefixes::clone(&seen));
                    self.engines.insert(name.clone(), engine);
                }
                UpstreamKind::Service => {
                    self.services.insert(name.clone(), Service::start());
                }
            }
        }
    }

    fn start_agents(&mut self, spec: &SiteSpec, settings: &Settings) -> String {
        let mut overlay = String::new();
        for name in settings.upstreams.keys() {
            let (agent, admin) = (self._ports.reserve(), self._ports.reserve());
            let address = match self.engines.get(name) {
                Some(engine) => engine.address(),
                None => self.services[name].address(),
            };
            self.agent_admins.insert(name.clone(), admin);
            let mut reached = agent;
            if spec.relays {
                let relay = Relay::start(agent);
                reached = relay.address();
                self.relays.insert(name.clone(), relay);
            }
            let _ = write!(
                overlay,
                "[upstreams.{name}]\naddress = \"{address}\"\nagent = \"{reached}\"\n"
            );
            let store = self
                .platform
                .iter()
                .map(|url| format!("store = \"{url}\"\n"));
            let store: String = store.collect();
            let text = format!(
                "name = \"agent-{name}\"\nupstream = \"{name}\"\nlisten = \"{agent}\"\n\
                 admin = \"{admin}\"\nsite_key_file = \"site.key\"\n{store}"
            );
            let config = self.config_path(&format!("agent-{name}"));
            write(&config, &text);
            let process = self.launcher.agent(&config);
            self.agents.insert(name.clone(), process);
        }
        overlay
    }

    fn write_settings(&mut self, document: &Document, overlay: String) {
        let folder = self.settings_folder();
        fs::create_dir(&folder).expect("a folder can be made");
        let mut files = document.files.clone();
        files.push(File {
            name: Name::new(OVERLAY),
            text: overlay,
        });
        for f in &files {
            write(&folder.join(f.name.as_str()), &f.text);
        }
        self.document = Document::new(files);
        if let Some(platform) = self.platform.clone() {
            apply_in_thread(platform, self.document.clone());
        }
    }

    /// The folder of the operators' settings.
    pub fn settings_folder(&self) -> PathBuf {
        self.folder.path().join("settings")
    }

    /// The file of the site's key.
    pub fn site_key_file(&self) -> PathBuf {
        self.folder.path().join("site.key")
    }

    fn start_entry(&mut self, number: usize, zone: &Name) {
        let (listen, admin) = (self._ports.reserve(), self._ports.reserve());
        let source = match &self.platform {
            Some(url) => {
                format!("settings = \"store\"\nstore = \"{url}\"\nhost_list = \"{url}\"\n")
            }
            None => "settings.folder = \"settings\"\n".to_owned(),
        };
        let text = format!(
            "name = \"entry-{number}\"\nzone = \"{zone}\"\nlisten = \"{listen}\"\n\
             admin = \"{admin}\"\nsite_key_file = \"site.key\"\n{source}"
        );
        let config = self.config_path(&format!("entry-{number}"));
        write(&config, &text);
        self.entries.push(self.launcher.entry(&config));
        self.callers.push(listen);
        self.admins.push(admin);
    }

    fn config_path(&self, process: &str) -> PathBuf {
        self.folder.path().join(format!("{process}.toml"))
    }
}

/// Applies settings to an empty store.
fn apply_in_thread(platform: String, document: Document) {
    let applying = std::thread::spawn(move || {
        let store = HttpObjectStore::new(&platform);
        let base = MergeBase::default();
        let applied = apply(&store, &base, &document, 1);
        actix_rt::System::new().block_on(applied).map(drop)
    });
    let applied = applying.join().expect("the thread ends");
    applied.expect("the settings are applied");
}

/// Waits until every entry is connected to every agent.
pub async fn wait_until_ready(site: &Site) {
    let client = new_client();
    let wanted = format!("almondramp_entry_links {}", site.agents.len());
    for admin in &site.admins {
        let started = Instant::now();
        while !metrics(&client, *admin).await.lines().any(|l| l == wanted) {
            assert!(started.elapsed() < READY, "the site is not ready in time");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// The metrics of a daemon, empty where it can't be reached.
pub async fn metrics(client: &Client, admin: SocketAddr) -> String {
    let Ok(mut res) = client.get(format!("http://{admin}/metrics")).send().await else {
        return String::new();
    };
    let body = res
        .body()
        .limit(MAX_METRICS_BYTES)
        .await
        .unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

/// The digest of an API key, as it stands in settings.
pub fn key_digest(key: &str) -> String {
    let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    almondramp::units::KeyDigest(digest).to_string()
}

fn write(path: &Path, text: &str) {
    fs::write(path, text).expect("a file can be written");
}
