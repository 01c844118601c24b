//! A complete site on the loopback address: a stand-in for each upstream in the
//! settings, an agent for each upstream, and entries.

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
use crate::ports::datagram_address;
use crate::process::Launcher;
use crate::process::Process;
use crate::relay::Relay;
use crate::service::Service;

/// The settings file that overrides the addresses of upstreams.
const OVERLAY_FILE: &str = "90-loopback.toml";

/// Time for a site to become ready; long enough to fail only on a hang.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

const MAX_METRICS_BYTES: usize = 64 << 20;

const SITE_KEY: &str = "000102030405060708090a0b0c0d0e0f";

/// Configuration of a site.
#[derive(Clone, Debug)]
pub struct SiteSpec {
    /// The operators' settings; the site overrides the addresses.
    pub document: Document,
    /// The availability zone of each entry.
    pub entry_zones: Vec<Name>,
    /// Engine configuration by upstream; others use the default.
    pub engines: BTreeMap<Name, EngineConfig>,
    /// The base URL of the platform. If set, its store holds the settings and
    /// the claims of idempotency keys.
    pub platform: Option<String>,
    /// Whether entries connect to each agent through a relay.
    pub relays: bool,
    /// Whether entries know each other.
    pub peers: bool,
    /// The memory that each entry may use, in bytes; `None` if it is not limited.
    pub entry_memory: Option<u64>,
    /// The executable of the daemons.
    pub launcher: Launcher,
}

impl SiteSpec {
    /// Creates a site with one entry in zone `a`, no platform and no relays.
    pub fn new(document: Document, launcher: Launcher) -> Self {
        Self {
            document,
            entry_zones: vec![Name::new("a")],
            engines: BTreeMap::new(),
            platform: None,
            relays: false,
            peers: false,
            entry_memory: None,
            launcher,
        }
    }

    /// Sets the entries: one in each of these zones.
    pub fn with_entries(mut self, zones: &[&str]) -> Self {
        self.entry_zones = zones.iter().map(|z| Name::new(z)).collect();
        self
    }

    /// Sets the engine configuration of an upstream.
    pub fn with_engine(mut self, upstream: &str, config: EngineConfig) -> Self {
        self.engines.insert(Name::new(upstream), config);
        self
    }

    /// Sets the platform.
    pub fn with_platform(mut self, platform: &Platform) -> Self {
        self.platform = Some(platform.url());
        self
    }

    /// Lets entries know each other.
    pub fn with_peers(mut self) -> Self {
        self.peers = true;
        self
    }

    /// Connects entries to agents through relays.
    pub fn with_relays(mut self) -> Self {
        self.relays = true;
        self
    }
}

/// A running site. Dropping it stops all processes and servers.
pub struct Site {
    /// Stand-ins for model engines, by upstream.
    pub engines: BTreeMap<Name, Engine>,
    /// Stand-ins for plain services, by upstream.
    pub services: BTreeMap<Name, Service>,
    /// The agents, by upstream.
    pub agents: BTreeMap<Name, Process>,
    /// The entries.
    pub entries: Vec<Process>,
    /// The address on which each entry accepts callers.
    pub entry_addresses: Vec<SocketAddr>,
    /// The metrics address of each agent, by upstream.
    pub agent_admins: BTreeMap<Name, SocketAddr>,
    /// The metrics address of each entry.
    pub entry_admins: Vec<SocketAddr>,
    /// The relays to the agents, by upstream.
    pub relays: BTreeMap<Name, Relay>,
    /// The operators' settings with the actual addresses.
    pub document: Document,
    /// The folder of configuration and log files.
    pub folder: TempDir,
    platform: Option<String>,
    launcher: Launcher,
    ports: Ports,
}

impl Site {
    /// Starts a site without waiting until the daemons are ready.
    pub fn start(spec: &SiteSpec) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let mut site = Self {
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            agents: BTreeMap::new(),
            entries: Vec::new(),
            entry_addresses: Vec::new(),
            agent_admins: BTreeMap::new(),
            entry_admins: Vec::new(),
            relays: BTreeMap::new(),
            document: Document::default(),
            folder,
            platform: spec.platform.clone(),
            launcher: spec.launcher.clone(),
            ports: Ports::new(),
        };
        write(&site.site_key_file(), SITE_KEY);
        let settings = Settings::new(&spec.document).expect("the settings are valid");
        site.start_upstreams(spec, &settings);
        let overlay = site.start_agents(spec, &settings);
        site.write_settings(&spec.document, overlay);
        let peers: Vec<SocketAddr> = match spec.peers {
            true => spec
                .entry_zones
                .iter()
                .map(|_| site.ports.reserve())
                .collect(),
            false => Vec::new(),
        };
        let peers: Vec<SocketAddr> = peers.into_iter().map(datagram_address).collect();
        for (i, zone) in spec.entry_zones.iter().enumerate() {
            site.start_entry(i, zone, &peers, spec.entry_memory);
        }
        site
    }

    /// Restarts the agent of `upstream`.
    pub fn restart_agent(&mut self, upstream: &str) {
        let config = self.config_path(&format!("agent-{upstream}"));
        let process = self.launcher.agent(&config);
        self.agents.insert(Name::new(upstream), process);
    }

    /// Restarts the entry with this index.
    pub fn restart_entry(&mut self, number: usize) {
        let config = self.config_path(&format!("entry-{number}"));
        self.entries[number] = self.launcher.entry(&config);
    }

    fn start_upstreams(&mut self, spec: &SiteSpec, settings: &Settings) {
        let seen = SeenPrefixes::default();
        for (name, upstream) in settings.upstreams.iter() {
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
            let (agent, admin) = (self.ports.reserve(), self.ports.reserve());
            let address = match self.engines.get(name) {
                Some(engine) => engine.address(),
                None => self.services[name].address(),
            };
            self.agent_admins.insert(name.clone(), admin);
            let mut agent_address = agent;
            if spec.relays {
                let relay = Relay::start(agent);
                agent_address = relay.address();
                self.relays.insert(name.clone(), relay);
            }
            let _ = write!(
                overlay,
                "[upstreams.{name}]\naddress = \"{address}\"\nagent = \"{agent_address}\"\n"
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
            name: Name::new(OVERLAY_FILE),
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

    /// Returns the folder of the operators' settings.
    pub fn settings_folder(&self) -> PathBuf {
        self.folder.path().join("settings")
    }

    /// Returns the path of the site key file.
    pub fn site_key_file(&self) -> PathBuf {
        self.folder.path().join("site.key")
    }

    fn start_entry(
        &mut self,
        number: usize,
        zone: &Name,
        peers: &[SocketAddr],
        memory: Option<u64>,
    ) {
        let (listen, admin) = (self.ports.reserve(), self.ports.reserve());
        let source = match &self.platform {
            Some(url) => {
                format!("settings = \"store\"\nstore = \"{url}\"\nhost_list = \"{url}\"\n")
            }
            None => "settings.folder = \"settings\"\n".to_owned(),
        };
        let known_peers = match peers.get(number) {
            Some(own) => {
                let known: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
                format!("peer_listen = \"{own}\"\npeers = {known:?}\n")
            }
            None => String::new(),
        };
        let memory = memory.map_or_else(String::new, |bytes| format!("memory = \"{bytes}B\"\n"));
        let text = format!(
            "name = \"entry-{number}\"\nzone = \"{zone}\"\nlisten = \"{listen}\"\n\
             admin = \"{admin}\"\nsite_key_file = \"site.key\"\n{memory}{known_peers}{source}"
        );
        let config = self.config_path(&format!("entry-{number}"));
        write(&config, &text);
        self.entries.push(self.launcher.entry(&config));
        self.entry_addresses.push(listen);
        self.entry_admins.push(admin);
    }

    fn config_path(&self, process: &str) -> PathBuf {
        self.folder.path().join(format!("{process}.toml"))
    }
}

/// Applies settings to an empty store.
fn apply_in_thread(platform: String, document: Document) {
    let thread = std::thread::spawn(move || {
        let store = HttpObjectStore::new(&platform);
        let base = MergeBase::default();
        let applied = apply(&store, &base, &document, 1);
        actix_rt::System::new().block_on(applied).map(drop)
    });
    let applied = thread.join().expect("the thread ends");
    applied.expect("the settings are applied");
}

/// Waits until every entry is connected to every agent.
pub async fn wait_until_ready(site: &Site) {
    let client = new_client();
    let expected = format!("almondramp_entry_links {}", site.agents.len());
    for admin in &site.entry_admins {
        let started = Instant::now();
        while !metrics(&client, *admin)
            .await
            .lines()
            .any(|l| l == expected)
        {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "the site is not ready in time"
            );
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Returns the metrics of a daemon, or an empty string if it can't be reached.
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

/// Returns the digest of an API key in the format of the settings.
pub fn key_digest(key: &str) -> String {
    let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    almondramp::units::KeyDigest(digest).to_string()
}

fn write(path: &Path, text: &str) {
    fs::write(path, text).expect("a file can be written");
}
