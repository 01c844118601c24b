//! Builds settings in small pieces of work, and decodes only the files that differ from
//! an earlier version.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::name::Name;
use crate::settings::Document;
use crate::settings::File;
use crate::settings::Limits;
use crate::settings::Routes;
use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::settings::file_sections::FileSections;

#[cfg(test)]
mod tests;

/// Number of routes that one step merges and checks at least, unless none are left.
const ROUTES_PER_STEP: usize = 256;

/// Settings with the files that they were built from.
#[derive(Clone, Debug, Default)]
pub struct BuiltSettings {
    /// Validated settings.
    pub settings: Rc<Settings>,
    /// Files, from which other processes build the same settings.
    pub document: Rc<Document>,
    /// Sections of the files, in the order of the document; empty if some entry
    /// depends on several files.
    files: Vec<Rc<FileSections>>,
}

/// Settings that are being built, in steps of bounded work.
///
/// A step parses one file, or merges and checks a few hundred routes. Files whose text
/// is that of an earlier version, and sections of such files only, are taken over.
///
/// A document that is not valid, or in which several files set the same entry, is
/// merged and checked as a whole in one step, which also finds all of its problems.
pub struct SettingsBuild {
    document: Document,
    before: BuiltSettings,
    files: Vec<Rc<FileSections>>,
    decoded_files: usize,
    phase: Phase,
}

/// What the next step does.
enum Phase {
    /// Decodes a file.
    Files,
    /// Merges all sections except the routes.
    Sections,
    /// Merges and checks the routes, from a position in the list of files.
    Routes(Box<RouteMerge>),
    /// Nothing: the settings are built.
    Built,
}

struct RouteMerge {
    settings: Settings,
    next_file: usize,
    /// Routes so far; `None` if those of the earlier version are taken over.
    merged: Option<Routes>,
}

/// Reason for which a document is merged and checked as a whole.
struct NeedsWholeCheck;

impl SettingsBuild {
    /// Starts to build the settings of `document`, after the version `before`.
    pub fn new(document: Document, before: BuiltSettings) -> Self {
        Self {
            document,
            before,
            files: Vec::new(),
            decoded_files: 0,
            phase: Phase::Files,
        }
    }

    /// Returns the number of files that were decoded so far.
    pub fn decoded_files(&self) -> usize {
        self.decoded_files
    }

    /// Does the next piece of work. Returns the settings when they are complete, after
    /// which it must not be called again.
    pub fn step(&mut self) -> Option<Result<BuiltSettings, SettingsError>> {
        match self.advance() {
            Ok(built) => built.map(Ok),
            Err(NeedsWholeCheck) => Some(self.check_whole()),
        }
    }

    fn advance(&mut self) -> Result<Option<BuiltSettings>, NeedsWholeCheck> {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Built) {
            Phase::Files => self.decode_file()?,
            Phase::Sections => self.merge_sections()?,
            Phase::Routes(merge) if merge.next_file < self.files.len() => {
                self.merge_routes(merge)?
            }
            Phase::Routes(merge) => return self.finish(*merge).map(Some),
            Phase::Built => Phase::Built,
        };
        Ok(None)
    }

    /// Takes over all files up to the first that has changed, and decodes that one.
    fn decode_file(&mut self) -> Result<Phase, NeedsWholeCheck> {
        while let Some(f) = self.document.files.get(self.files.len()) {
            if let Some(sections) = self.before.sections_of(f) {
                self.files.push(Rc::clone(sections));
                continue;
            }
            let sections = FileSections::decode(&f.text).ok_or(NeedsWholeCheck)?;
            self.decoded_files += 1;
            self.files.push(Rc::new(sections));
            return Ok(Phase::Files);
        }
        Ok(Phase::Sections)
    }

    fn merge_sections(&self) -> Result<Phase, NeedsWholeCheck> {
        let before = &self.before.settings;
        let settings = Settings {
            tiers: self.merge_section(|f| &f.tiers, &before.tiers)?,
            organisations: self.merge_section(|f| &f.organisations, &before.organisations)?,
            upstreams: self.merge_section(|f| &f.upstreams, &before.upstreams)?,
            services: self.merge_section(|f| &f.services, &before.services)?,
            routes: Rc::clone(&before.routes),
            limits: self.merge_limits()?,
        };
        let keeps_routes = self.keeps(|f| !f.routes.is_empty());
        // Routes refer to tiers, and to the services of upstreams that are listed.
        let keeps_references = Rc::ptr_eq(&settings.tiers, &before.tiers)
            && Rc::ptr_eq(&settings.upstreams, &before.upstreams)
            && settings.limits.discovered == before.limits.discovered;
        let next_file = match keeps_routes && keeps_references {
            true => self.files.len(),
            false => 0,
        };
        Ok(Phase::Routes(Box::new(RouteMerge {
            settings,
            next_file,
            merged: (!keeps_routes).then(Routes::default),
        })))
    }

    /// Merges the sections that `section` selects. Fails if two files have the same
    /// entry.
    fn merge_section<F, T>(
        &self,
        section: F,
        before: &Rc<BTreeMap<Name, T>>,
    ) -> Result<Rc<BTreeMap<Name, T>>, NeedsWholeCheck>
    where
        F: Fn(&FileSections) -> &BTreeMap<Name, T>,
        T: Clone,
    {
        if self.keeps(|f| !section(f).is_empty()) {
            return Ok(Rc::clone(before));
        }
        let mut merged = BTreeMap::new();
        for (name, entry) in self.files.iter().flat_map(|f| section(f)) {
            let replaced = merged.insert(name.clone(), entry.clone());
            if replaced.is_some() {
                return Err(NeedsWholeCheck);
            }
        }
        Ok(Rc::new(merged))
    }

    fn merge_limits(&self) -> Result<Limits, NeedsWholeCheck> {
        let mut limits = self.files.iter().filter_map(|f| f.limits.as_ref());
        let merged = limits.next().cloned().unwrap_or_default();
        match limits.next() {
            Some(_) => Err(NeedsWholeCheck),
            None => Ok(merged),
        }
    }

    /// Returns whether the files for which `is_concerned` are those of the earlier
    /// version.
    fn keeps<F>(&self, is_concerned: F) -> bool
    where
        F: Fn(&FileSections) -> bool,
    {
        let of = |files: &[Rc<FileSections>]| -> Vec<*const FileSections> {
            let concerned = files.iter().filter(|f| is_concerned(f));
            concerned.map(Rc::as_ptr).collect()
        };
        of(&self.files) == of(&self.before.files) && !self.before.files.is_empty()
    }

    fn merge_routes(&self, mut merge: Box<RouteMerge>) -> Result<Phase, NeedsWholeCheck> {
        let mut count = 0;
        while count < ROUTES_PER_STEP
            && let Some(f) = self.files.get(merge.next_file)
        {
            for (name, route) in &f.routes {
                let is_new = |routes: &mut Routes| routes.insert(name, route);
                if !merge.settings.is_valid_route(name, route)
                    || !merge.merged.as_mut().is_none_or(is_new)
                {
                    return Err(NeedsWholeCheck);
                }
            }
            count += f.routes.len();
            merge.next_file += 1;
        }
        Ok(Phase::Routes(merge))
    }

    fn finish(&mut self, merge: RouteMerge) -> Result<BuiltSettings, NeedsWholeCheck> {
        let mut settings = merge.settings;
        if let Some(routes) = merge.merged {
            settings.routes = Rc::new(routes);
        }
        if !settings.has_valid_sections() {
            return Err(NeedsWholeCheck);
        }
        Ok(BuiltSettings {
            settings: Rc::new(settings),
            document: Rc::new(std::mem::take(&mut self.document)),
            files: std::mem::take(&mut self.files),
        })
    }

    fn check_whole(&mut self) -> Result<BuiltSettings, SettingsError> {
        let settings = Settings::new(&self.document)?;
        self.decoded_files = self.document.files.len();
        Ok(BuiltSettings {
            settings: Rc::new(settings),
            document: Rc::new(std::mem::take(&mut self.document)),
            files: Vec::new(),
        })
    }
}

impl BuiltSettings {
    /// Returns the sections of `f` if this version has the same file.
    fn sections_of(&self, f: &File) -> Option<&Rc<FileSections>> {
        let files = &self.document.files;
        let i = files.binary_search_by(|other| other.name.cmp(&f.name));
        let i = i.ok().filter(|i| files[*i].text == f.text)?;
        self.files.get(i)
    }
}
