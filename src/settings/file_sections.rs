//! Sections of one settings file, decoded by themselves.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use toml::Table;
use toml::Value;

use crate::name::Name;
use crate::settings::Limits;
use crate::settings::Organisation;
use crate::settings::Route;
use crate::settings::Service;
use crate::settings::Tier;
use crate::settings::Upstream;

/// Sections of a settings file that is complete in itself: no entry lacks a key that
/// another file could add.
#[derive(Debug, Default)]
pub(super) struct FileSections {
    pub tiers: BTreeMap<Name, Tier>,
    pub organisations: BTreeMap<Name, Organisation>,
    pub upstreams: BTreeMap<Name, Upstream>,
    pub services: BTreeMap<Name, Service>,
    pub routes: BTreeMap<Name, Rc<Route>>,
    pub limits: Option<Limits>,
}

impl FileSections {
    /// Decodes the text of a file. Returns `None` if the file has a problem, or is not
    /// complete in itself.
    pub fn decode(text: &str) -> Option<Self> {
        let mut table = text.parse::<Table>().ok()?;
        let limits = match table.remove("limits") {
            Some(value) => Some(decode_entry(value)?),
            None => None,
        };
        let sections = Self {
            tiers: decode_section(&mut table, "tiers")?,
            organisations: decode_section(&mut table, "organisations")?,
            upstreams: decode_section(&mut table, "upstreams")?,
            services: decode_section(&mut table, "services")?,
            routes: decode_section(&mut table, "routes")?,
            limits,
        };
        table.is_empty().then_some(sections)
    }
}

fn decode_section<T>(table: &mut Table, section: &str) -> Option<BTreeMap<Name, T>>
where
    T: DeserializeOwned,
{
    let entries = match table.remove(section) {
        Some(Value::Table(entries)) => entries,
        Some(_) => return None,
        None => return Some(BTreeMap::new()),
    };
    let decode = |(name, value): (String, Value)| Some((Name::new(&name), decode_entry(value)?));
    entries.into_iter().map(decode).collect()
}

fn decode_entry<T>(value: Value) -> Option<T>
where
    T: DeserializeOwned,
{
    if !value.is_table() {
        return None;
    }
    let mut has_unknown_key = false;
    let decoded = serde_ignored::deserialize(value, |_| has_unknown_key = true);
    decoded.ok().filter(|_| !has_unknown_key)
}
