//! The settings of one process, read from its own TOML file.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use rustix::process::Resource;
use rustix::process::getrlimit;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_with::serde_as;
use thiserror::Error;

use crate::name::Name;
use crate::site_key::KeyHolder;
use crate::site_key::SiteKey;
use crate::site_key::SiteKeyError;
use crate::units::BytesText;

/// The number of descriptors that are left for files and for the event loop.
const FILE_DESCRIPTORS: u64 = 32;

/// Reasons why the settings of a process could not be read.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("cannot read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The file is not valid TOML, or has an unknown or missing key.
    #[error("{path}: {message}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The error and its position.
        message: String,
    },
    /// The settings source is the store, but the store's address is missing.
    #[error("{path}: settings = \"store\" requires `store`, the address of the store")]
    MissingStore {
        /// The file.
        path: PathBuf,
    },
    /// The site key is not valid.
    #[error("{path}")]
    SiteKey {
        /// The file of the key.
        path: PathBuf,
        /// The cause.
        #[source]
        source: SiteKeyError,
    },
}

/// The source of the operators' settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum SettingsSource {
    /// A folder that is read once at the start.
    Folder(PathBuf),
    /// The platform's object API.
    Store,
    /// The other processes with which this one is connected.
    #[default]
    Peers,
}

/// The settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The name of the process.
    pub name: Name,
    /// The availability zone of its host.
    pub zone: Name,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address of the admin server, which serves health and metrics.
    pub admin: SocketAddr,
    /// The site key, shared by all processes of the site.
    pub site_key: KeyHolder,
    /// The source of the operators' settings.
    pub settings: SettingsSource,
    /// The address of the object API; `None` without one.
    pub store: Option<Name>,
    /// The address of the host list; `None` without one.
    pub host_list: Option<Name>,
    /// The address on which other entries connect; `None` if this is the only
    /// entry.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the other entries.
    pub peers: Vec<SocketAddr>,
    /// The memory that the process may use, in bytes; `None` if it is not limited.
    pub memory: Option<u64>,
    /// The number of sockets that the process may open; `None` if it is not limited.
    pub sockets: Option<usize>,
}

/// The settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The name of the process.
    pub name: Name,
    /// The upstream on the agent's host.
    pub upstream: Name,
    /// The address on which entries connect.
    pub listen: SocketAddr,
    /// The address of the admin server, which serves health and metrics.
    pub admin: SocketAddr,
    /// The site key, shared by all processes of the site.
    pub site_key: KeyHolder,
    /// The source of the operators' settings.
    pub settings: SettingsSource,
    /// The address of the object API; `None` without one.
    pub store: Option<Name>,
    /// The address of the host list; `None` without one.
    pub host_list: Option<Name>,
}

/// Returns the number of sockets that the process may open beside its files; `None` if it is
/// not limited.
fn socket_limit() -> Option<usize> {
    let descriptors = getrlimit(Resource::Nofile).current?;
    let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
    usize::try_from(sockets).ok()
}

#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryFile {
    name: Name,
    zone: Name,
    listen: SocketAddr,
    admin: SocketAddr,
    site_key_file: PathBuf,
    #[serde(default)]
    settings: SettingsSource,
    store: Option<Name>,
    host_list: Option<Name>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    #[serde_as(as = "Option<BytesText>")]
    memory: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AgentFile {
    name: Name,
    upstream: Name,
    listen: SocketAddr,
    admin: SocketAddr,
    site_key_file: PathBuf,
    #[serde(default)]
    settings: SettingsSource,
    store: Option<Name>,
    host_list: Option<Name>,
}

impl EntryConfig {
    /// Reads the settings of an entry from the file at `path`. Relative paths in
    /// it are resolved against the file's folder.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let file: EntryFile = parse(path)?;
        Ok(Self {
            site_key: read_site_key(&resolve_path(path, &file.site_key_file))?.into(),
            settings: resolve_settings_source(path, file.settings, file.store.as_ref())?,
            store: file.store,
            name: file.name,
            zone: file.zone,
            listen: file.listen,
            admin: file.admin,
            host_list: file.host_list,
            peer_listen: file.peer_listen,
            peers: file.peers,
            memory: file.memory,
            sockets: socket_limit(),
        })
    }
}

impl AgentConfig {
    /// Reads the settings of an agent from the file at `path`. Relative paths in
    /// it are resolved against the file's folder.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let file: AgentFile = parse(path)?;
        Ok(Self {
            site_key: read_site_key(&resolve_path(path, &file.site_key_file))?.into(),
            settings: resolve_settings_source(path, file.settings, file.store.as_ref())?,
            store: file.store,
            name: file.name,
            upstream: file.upstream,
            listen: file.listen,
            admin: file.admin,
            host_list: file.host_list,
        })
    }
}

/// Reads the site key from the file at `path`.
pub fn read_site_key(path: &Path) -> Result<SiteKey, ConfigError> {
    let text = read_file(path)?;
    SiteKey::parse(&text).map_err(|source| ConfigError::SiteKey {
        path: path.to_owned(),
        source,
    })
}

fn parse<T>(path: &Path) -> Result<T, ConfigError>
where
    T: DeserializeOwned,
{
    let text = read_file(path)?;
    toml::from_str(&text).map_err(|e| ConfigError::Parse {
        path: path.to_owned(),
        message: e.to_string().trim_end().to_owned(),
    })
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|source| ConfigError::Read {
        path: path.to_owned(),
        source,
    })
}

fn resolve_settings_source(
    file: &Path,
    source: SettingsSource,
    store: Option<&Name>,
) -> Result<SettingsSource, ConfigError> {
    match source {
        SettingsSource::Folder(folder) => Ok(SettingsSource::Folder(resolve_path(file, &folder))),
        SettingsSource::Store if store.is_none() => Err(ConfigError::MissingStore {
            path: file.to_owned(),
        }),
        other => Ok(other),
    }
}

fn resolve_path(file: &Path, path: &Path) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(path)
}
