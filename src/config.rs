//! The settings of one process, read from its own file and checked.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::name::Name;
use crate::site_key::KeyHolder;
use crate::site_key::SiteKey;
use crate::site_key::SiteKeyError;

/// What is wrong with a process's own file.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("cannot read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The file is not valid TOML, or has an unknown or missing key.
    #[error("{path}: {message}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        message: String,
    },
    /// The settings are to come from a store of which no address is given.
    #[error("{path}: settings = \"store\" needs the address of the store")]
    NoStore {
        /// The file.
        path: PathBuf,
    },
    /// The site's key can't be used.
    #[error("{path}")]
    SiteKey {
        /// The file of the key.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        source: SiteKeyError,
    },
}

/// Where a process gets the operators' settings from.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum SettingsSource {
    /// A folder that is read once.
    Folder(PathBuf),
    /// The object API.
    Store,
    /// The processes that connect to this one.
    #[default]
    Peers,
}

/// The settled settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The name of the process.
    pub name: Name,
    /// The availability zone of its host.
    pub zone: Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where health and metrics are served.
    pub admin: SocketAddr,
    /// The key shared by all processes of the site.
    pub site_key: KeyHolder,
    /// Where the operators' settings come from.
    pub settings: SettingsSource,
    /// The address of the object API; none if the site has none.
    pub store: Option<Name>,
    /// The address of the host list; none if the platform has none.
    pub host_list: Option<Name>,
    /// Where other entries reach this one; none if it is alone.
    pub peer_listen: Option<SocketAddr>,
    /// Where the other entries are reached.
    pub peers: Vec<SocketAddr>,
}

/// The settled settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The name of the process.
    pub name: Name,
    /// The upstream beside which it runs.
    pub upstream: Name,
    /// Where entries connect.
    pub listen: SocketAddr,
    /// Where health and metrics are served.
    pub admin: SocketAddr,
    /// The key shared by all processes of the site.
    pub site_key: KeyHolder,
    /// Where the operators' settings come from.
    pub settings: SettingsSource,
    /// The address of the object API; none if the site has none.
    pub store: Option<Name>,
    /// The address of the host list; none if the platform has none.
    pub host_list: Option<Name>,
}

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
    /// Reads an entry's file. Paths in it start at the file's own folder.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let f: EntryFile = parse(path)?;
        Ok(Self {
            site_key: read_site_key(&beside(path, &f.site_key_file))?.into(),
            settings: settle(path, f.settings, f.store.as_ref())?,
            store: f.store,
            name: f.name,
            zone: f.zone,
            listen: f.listen,
            admin: f.admin,
            host_list: f.host_list,
            peer_listen: f.peer_listen,
            peers: f.peers,
        })
    }
}

impl AgentConfig {
    /// Reads an agent's file. Paths in it start at the file's own folder.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let f: AgentFile = parse(path)?;
        Ok(Self {
            site_key: read_site_key(&beside(path, &f.site_key_file))?.into(),
            settings: settle(path, f.settings, f.store.as_ref())?,
            store: f.store,
            name: f.name,
            upstream: f.upstream,
            listen: f.listen,
            admin: f.admin,
            host_list: f.host_list,
        })
    }
}

/// Reads the site's key from its file.
pub fn read_site_key(path: &Path) -> Result<SiteKey, ConfigError> {
    let text = read(path)?;
    SiteKey::parse(&text).map_err(|source| ConfigError::SiteKey {
        path: path.to_owned(),
        source,
    })
}

fn parse<T>(path: &Path) -> Result<T, ConfigError>
where
    T: DeserializeOwned,
{
    let text = read(path)?;
    toml::from_str(&text).map_err(|e| ConfigError::Parse {
        path: path.to_owned(),
        message: e.to_string().trim_end().to_owned(),
    })
}

fn read(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|source| ConfigError::Read {
        path: path.to_owned(),
        source,
    })
}

fn settle(
    file: &Path,
    source: SettingsSource,
    store: Option<&Name>,
) -> Result<SettingsSource, ConfigError> {
    match source {
        SettingsSource::Folder(folder) => Ok(SettingsSource::Folder(beside(file, &folder))),
        SettingsSource::Store if store.is_none() => Err(ConfigError::NoStore {
            path: file.to_owned(),
        }),
        other => Ok(other),
    }
}

fn beside(file: &Path, path: &Path) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(path)
}
