//! Reviews a configuration before it is sent: what is wrong with it, what can never
//! take effect, and what it changes for callers.

mod capacity;
mod effects;
mod finding;
mod limits;
mod reachability;
#[cfg(test)]
mod tests;

use std::fmt;

use serde::Serialize;

use crate::object_store::MAX_OBJECT_BYTES;
use crate::settings::Change;
use crate::settings::Document;
use crate::settings::MergedFiles;
use crate::settings::Problem;
use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::settings::diff;

pub use effects::Area;
pub use effects::Effect;
pub use finding::Cause;
pub use finding::Finding;
pub use finding::Severity;

/// Findings about a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Review {
    /// Numbers of entries by section; absent if the configuration is not valid.
    pub counts: Option<SectionCounts>,
    /// Findings: either errors or warnings.
    pub findings: Vec<Finding>,
}

/// Numbers of entries by section.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct SectionCounts {
    /// Number of tiers.
    pub tiers: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of routes.
    pub routes: usize,
}

impl SectionCounts {
    fn new(settings: &Settings) -> Self {
        Self {
            tiers: settings.tiers.len(),
            organisations: settings.organisations.len(),
            upstreams: settings.upstreams.len(),
            routes: settings.routes.len(),
        }
    }
}

impl fmt::Display for SectionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} tiers, {} organisations, {} upstreams, {} routes",
            self.tiers, self.organisations, self.upstreams, self.routes
        )
    }
}

impl Review {
    /// Returns the highest severity; `None` without findings.
    pub fn severity(&self) -> Option<Severity> {
        self.findings.iter().map(Finding::severity).max()
    }
}

/// Differences between two configurations.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// What changes for callers; absent if one of the configurations is not valid.
    pub effects: Option<Vec<Effect>>,
    /// Values that differ, in the order of their keys.
    pub changes: Vec<Change>,
    /// Errors in the configurations.
    pub findings: Vec<Finding>,
}

/// Reviews `document`. `problems` were found while it was read.
pub fn review(document: &Document, problems: Vec<Problem>) -> Review {
    let merged = MergedFiles::new(document);
    let mut findings: Vec<Finding> = problems.into_iter().map(Finding::from).collect();
    let mut counts = None;
    match Settings::new(document) {
        Err(e) => findings.extend(errors(e)),
        Ok(settings) if findings.is_empty() => {
            let mut warnings = Warnings::new(&merged);
            reachability::check(&settings, &mut warnings);
            limits::check(&settings, &mut warnings);
            let bytes = document.files.iter().map(|f| f.text.len()).sum();
            if bytes > MAX_OBJECT_BYTES {
                let limit = MAX_OBJECT_BYTES;
                warnings.report(String::new(), Cause::AboveStoreLimit { bytes, limit });
            }
            findings = warnings.findings;
            counts = Some(SectionCounts::new(&settings));
        }
        Ok(_) => {}
    }
    Review { counts, findings }
}

/// Compares two documents. `problems` were found while `after` was read.
pub fn compare(before: &Document, after: &Document, problems: Vec<Problem>) -> Comparison {
    let mut findings: Vec<Finding> = problems.into_iter().map(Finding::from).collect();
    let mut decode = |document: &Document| {
        let settings = Settings::new(document);
        settings.map_err(|e| findings.extend(errors(e))).ok()
    };
    let settings_before = match before.files.is_empty() {
        // Nothing is in force before the first version.
        true => Some(Settings::default()),
        false => decode(before),
    };
    let effects = settings_before.zip(decode(after));
    let effects = effects.map(|(before, after)| effects::effects(&before, &after));
    Comparison {
        effects: effects.filter(|_| findings.is_empty()),
        changes: diff(&MergedFiles::new(before), &MergedFiles::new(after)),
        findings,
    }
}

fn errors(e: SettingsError) -> Vec<Finding> {
    match e {
        SettingsError::Invalid(problems) => problems.into_iter().map(Finding::from).collect(),
        // Building settings from a document reads no files.
        SettingsError::Read { .. } => Vec::new(),
    }
}

/// Collects warnings with the file of each key.
struct Warnings<'a> {
    merged: &'a MergedFiles,
    findings: Vec<Finding>,
}

impl<'a> Warnings<'a> {
    fn new(merged: &'a MergedFiles) -> Self {
        Self {
            merged,
            findings: Vec::new(),
        }
    }

    fn report(&mut self, key: String, cause: Cause) {
        self.findings.push(Finding {
            file: self.merged.origin(&key),
            key,
            cause,
        });
    }
}
