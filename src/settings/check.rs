//! Decodes and validates merged settings, and reports all problems in one run.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use toml::Table;
use toml::Value;

use crate::name::Name;
use crate::settings::Document;
use crate::settings::HEAD_LIMITS;
use crate::settings::MAX_BODY_BYTES;
use crate::settings::MergedFiles;
use crate::settings::Problem;
use crate::settings::Reason;
use crate::settings::Route;
use crate::settings::RouteKind;
use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::settings::merge::join;

const SECTIONS: [&str; 6] = [
    "tiers",
    "organisations",
    "upstreams",
    "services",
    "routes",
    "limits",
];

impl Settings {
    /// Merges and validates the files of `document`.
    ///
    /// Fails with `SettingsError::Invalid`, which holds all problems found.
    pub fn new(document: &Document) -> Result<Self, SettingsError> {
        let mut checker = Checker::new(MergedFiles::new(document));
        let settings = checker.decode();
        // References into a section that failed to decode would only report
        // the same problem again.
        if checker.problems.is_empty() {
            checker.cross_check(&settings);
        }
        if checker.problems.is_empty() {
            return Ok(settings);
        }
        Err(SettingsError::Invalid(checker.problems))
    }

    /// Returns whether the sections other than the routes have no problem.
    pub(super) fn has_valid_sections(&self) -> bool {
        let mut checker = Checker::new(MergedFiles::default());
        checker.check_sections(self);
        checker.problems.is_empty()
    }

    /// Returns whether `route` has no problem by itself. Whether another route has its
    /// host and path is not checked.
    pub(super) fn is_valid_route(&self, name: &Name, route: &Route) -> bool {
        let mut checker = Checker::new(MergedFiles::default());
        checker.check_route(self, name, route);
        checker.problems.is_empty()
    }
}

struct Checker {
    merged: MergedFiles,
    problems: Vec<Problem>,
}

impl Checker {
    fn new(mut merged: MergedFiles) -> Self {
        let problems = std::mem::take(&mut merged.problems);
        Self { merged, problems }
    }

    fn report(&mut self, key: String, reason: Reason) {
        self.problems.push(Problem {
            file: self.merged.origin(&key),
            key,
            reason,
        });
    }

    fn decode(&mut self) -> Settings {
        let mut table = std::mem::take(&mut self.merged.table);
        let settings = Settings {
            tiers: self.decode_section(&mut table, "tiers").into(),
            organisations: self.decode_section(&mut table, "organisations").into(),
            upstreams: self.decode_section(&mut table, "upstreams").into(),
            services: self.decode_section(&mut table, "services").into(),
            routes: Rc::new(
                self.decode_section(&mut table, "routes")
                    .into_iter()
                    .collect(),
            ),
            limits: self.decode_limits(&mut table),
        };
        for key in table.keys() {
            debug_assert!(!SECTIONS.contains(&key.as_str()));
            self.report(join("", key), Reason::UnknownKey);
        }
        settings
    }

    fn decode_section<T>(&mut self, table: &mut Table, section: &str) -> BTreeMap<Name, T>
    where
        T: DeserializeOwned,
    {
        let mut entries = BTreeMap::new();
        match table.remove(section) {
            None => {}
            Some(Value::Table(section_table)) => {
                for (name, value) in section_table {
                    let path = join(section, &name);
                    if let Some(entry) = self.decode_entry(&path, value) {
                        entries.insert(Name::new(&name), entry);
                    }
                }
            }
            Some(_) => self.report(section.to_owned(), expected_table()),
        }
        entries
    }

    fn decode_limits(&mut self, table: &mut Table) -> super::Limits {
        let value = table.remove("limits");
        let value = value.unwrap_or_else(|| Value::Table(Table::new()));
        self.decode_entry("limits", value).unwrap_or_default()
    }

    /// Decodes one entry. A value that fails to decode is reported and removed,
    /// and the rest is decoded again, so that one run finds every problem.
    fn decode_entry<T>(&mut self, path: &str, mut value: Value) -> Option<T>
    where
        T: DeserializeOwned,
    {
        if !value.is_table() {
            self.report(path.to_owned(), expected_table());
            return None;
        }
        let mut removed: Vec<String> = Vec::new();
        let mut unknown: Vec<String> = Vec::new();
        loop {
            unknown.clear();
            let mut track = serde_path_to_error::Track::new();
            let inner = serde_path_to_error::Deserializer::new(value.clone(), &mut track);
            let decoded = serde_ignored::deserialize(inner, |p| unknown.push(p.to_string()));
            let Err(e) = decoded else {
                unknown
                    .iter()
                    .for_each(|key| self.report(format!("{path}.{key}"), Reason::UnknownKey));
                return decoded.ok().filter(|_| removed.is_empty());
            };
            let first_key = track.path().iter().next().map(ToString::to_string);
            let reason = Reason::Value(first_line(&e));
            let Some(key) = first_key.filter(|k| remove(&mut value, k)) else {
                // A missing field that was removed above has already been reported.
                let caused_by_removal = removed.iter().any(|key| is_missing_field(&reason, key));
                if !caused_by_removal {
                    self.report(path.to_owned(), reason);
                }
                return None;
            };
            self.report(join(path, &key), reason);
            removed.push(key);
        }
    }

    fn cross_check(&mut self, settings: &Settings) {
        self.check_sections(settings);
        self.check_routes(settings);
    }

    fn check_sections(&mut self, settings: &Settings) {
        if settings.tiers.is_empty() {
            self.report("tiers".to_owned(), Reason::Empty);
        }
        self.check_tiers(settings);
        self.check_organisations(settings);
        self.check_upstreams(settings);
        self.check_limits(settings);
    }

    fn check_tiers(&mut self, settings: &Settings) {
        let mut orders: BTreeMap<u8, &Name> = BTreeMap::new();
        for (name, tier) in settings.tiers.iter() {
            if let Some(other) = orders.insert(tier.order, name) {
                let reason = Reason::Contradiction(format!("tiers.{other}.order"));
                self.report(format!("tiers.{name}.order"), reason);
            }
            if !(tier.objective > 0.0 && tier.objective < 1.0) {
                let reason = Reason::Value("must be greater than 0 and less than 1".to_owned());
                self.report(format!("tiers.{name}.objective"), reason);
            }
        }
    }

    fn check_organisations(&mut self, settings: &Settings) {
        let mut keys = BTreeMap::new();
        let mut names_by_lowercase = BTreeMap::new();
        for (name, organisation) in settings.organisations.iter() {
            let path = join("organisations", name);
            if let Some(other) = names_by_lowercase.insert(name.to_lowercase(), name) {
                self.report(path.clone(), Reason::DuplicateOrganisation(other.clone()));
            }
            for key in &organisation.keys {
                if let Some(other) = keys.insert(*key, name) {
                    let reason = Reason::DuplicateOrganisation(Name::clone(other));
                    self.report(format!("{path}.keys"), reason);
                }
            }
            if organisation.weight == 0 {
                let reason = Reason::Value("must be at least 1".to_owned());
                self.report(format!("{path}.weight"), reason);
            }
            self.check_tier(settings, format!("{path}.tier"), &organisation.tier);
            for (route, tier) in &organisation.tiers {
                let key = join(&format!("{path}.tiers"), route);
                self.check_tier(settings, key.clone(), tier);
                if !settings.routes.contains_key(route) {
                    self.report_dangling(key, "routes", route);
                }
            }
        }
    }

    fn check_upstreams(&mut self, settings: &Settings) {
        let mut agents = BTreeMap::new();
        for (name, upstream) in settings.upstreams.iter() {
            let path = join("upstreams", name);
            let agent = upstream.agent;
            if let Some(other) = agent.and_then(|agent| agents.insert(agent, name)) {
                let reason = Reason::Contradiction(format!("upstreams.{other}.agent"));
                self.report(format!("{path}.agent"), reason);
            }
            if upstream.slots == 0 {
                let reason = Reason::Value("must be at least 1".to_owned());
                self.report(format!("{path}.slots"), reason);
            }
            if upstream.serves.is_empty() {
                self.report(format!("{path}.serves"), Reason::Empty);
            }
        }
    }

    fn check_routes(&mut self, settings: &Settings) {
        let mut paths = BTreeMap::new();
        for (name, route) in settings.routes.iter() {
            if let Some(other) = paths.insert((&route.host, &route.path), name) {
                let reason = Reason::Contradiction(format!("routes.{other}.path"));
                self.report(format!("{}.path", join("routes", name)), reason);
            }
            self.check_route(settings, name, route);
        }
    }

    fn check_route(&mut self, settings: &Settings, name: &Name, route: &Route) {
        let path = join("routes", name);
        if !route.path.starts_with('/') {
            let reason = Reason::Value("must begin with a slash".to_owned());
            self.report(format!("{path}.path"), reason);
        }
        if route.attempts == 0 {
            let reason = Reason::Value("must be at least 1".to_owned());
            self.report(format!("{path}.attempts"), reason);
        }
        if let Some(tier) = &route.tier {
            self.check_tier(settings, format!("{path}.tier"), tier);
        }
        self.check_service(settings, &path, route);
    }

    fn check_service(&mut self, settings: &Settings, path: &str, route: &Route) {
        let key = format!("{path}.service");
        if route.service.is_some() && !route.split.is_empty() {
            self.report(key, Reason::Contradiction(format!("{path}.split")));
            return;
        }
        let targets: Vec<&Name> = route.service.iter().chain(route.split.keys()).collect();
        if targets.is_empty() && route.kind == RouteKind::Service {
            self.report(key, Reason::Empty);
            return;
        }
        if settings.limits.discovered {
            return;
        }
        for target in targets {
            let served = |u: &super::Upstream| u.serves.contains(target);
            if !settings.upstreams.values().any(served) {
                self.report_dangling(key.clone(), "upstreams serving a service", target);
            }
        }
    }

    fn check_limits(&mut self, settings: &Settings) {
        let limits = &settings.limits;
        if !(limits.retry_ratio >= 0.0 && limits.retry_ratio <= 1.0) {
            let reason = Reason::Value("must be between 0 and 1".to_owned());
            self.report("limits.retry_ratio".to_owned(), reason);
        }
        if limits.canary_share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            let reason = Reason::Value("must be greater than 0 and at most 1".to_owned());
            self.report("limits.canary_share".to_owned(), reason);
        }
        if limits.rollback.is_zero() {
            let reason = Reason::Value("must be greater than zero".to_owned());
            self.report("limits.rollback".to_owned(), reason);
        }
        if limits.quota_window.is_zero() {
            let reason = Reason::Value("must be greater than zero".to_owned());
            self.report("limits.quota_window".to_owned(), reason);
        }
        for (key, value) in [
            ("quota_over", limits.quota_over),
            ("quota_slack", limits.quota_slack),
        ] {
            if !(value >= 0.0 && value.is_finite()) {
                let reason = Reason::Value("must be a finite number of at least 0".to_owned());
                self.report(format!("limits.{key}"), reason);
            }
        }
        if limits.probes == 0 {
            let reason = Reason::Value("must be at least 1".to_owned());
            self.report("limits.probes".to_owned(), reason);
        }
        if limits.links < limits.probes {
            let reason = Reason::Contradiction("limits.probes".to_owned());
            self.report("limits.links".to_owned(), reason);
        }
        if !HEAD_LIMITS.contains(&limits.head) {
            let (least, most) = (HEAD_LIMITS.start(), HEAD_LIMITS.end());
            let reason = format!("must be {least} to {most} bytes");
            self.report("limits.head".to_owned(), Reason::Value(reason));
        }
        if limits.body > MAX_BODY_BYTES {
            let reason = Reason::Value(format!("must be at most {MAX_BODY_BYTES} bytes"));
            self.report("limits.body".to_owned(), reason);
        }
        if limits.body > limits.entry_bodies {
            let reason = Reason::Contradiction("limits.entry_bodies".to_owned());
            self.report("limits.body".to_owned(), reason);
        }
    }

    fn check_tier(&mut self, settings: &Settings, key: String, tier: &Name) {
        if !settings.tiers.contains_key(tier) {
            self.report_dangling(key, "tiers", tier);
        }
    }

    fn report_dangling(&mut self, key: String, section: &'static str, name: &Name) {
        let name = name.clone();
        self.report(key, Reason::Dangling { section, name });
    }
}

fn remove(value: &mut Value, key: &str) -> bool {
    value
        .as_table_mut()
        .is_some_and(|t| t.remove(key).is_some())
}

fn is_missing_field(reason: &Reason, key: &str) -> bool {
    matches!(reason, Reason::Value(text) if *text == format!("missing field `{key}`"))
}

fn expected_table() -> Reason {
    Reason::Value("expected a table".to_owned())
}

fn first_line(e: &toml::de::Error) -> String {
    e.message().lines().next().unwrap_or_default().to_owned()
}
