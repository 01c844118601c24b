//! Which versions may serve one request.

use std::collections::BTreeSet;

use crate::directory::SoftwareVersion;
use crate::name::Name;
use crate::rollout::VersionChoice;
use crate::rollout::canary_upstreams;

#[cfg(test)]
mod tests;

/// An upstream that serves the service of a request and is not leaving.
#[derive(Clone, Copy, Debug)]
pub struct Serving<'a> {
    /// The name.
    pub name: &'a Name,
    /// The version.
    pub version: &'a SoftwareVersion,
    /// Whether it is still slow after its start.
    pub is_cold: bool,
    /// Whether a request can be sent there now.
    pub is_usable: bool,
    /// Whether it is temporarily ejected because of failures.
    pub is_ejected: bool,
}

/// Which versions may serve a request.
#[derive(Clone, Debug)]
pub struct VersionRule {
    choice: VersionChoice,
    /// Versions that get nothing while another one is listed.
    blocked: BTreeSet<SoftwareVersion>,
    /// The part of the requests that the target gets, from 0 to 1.
    share: f64,
}

impl VersionRule {
    /// Creates a rule that allows all versions.
    pub fn new() -> Self {
        Self {
            choice: VersionChoice::Any,
            blocked: BTreeSet::new(),
            share: 0.0,
        }
    }

    /// Sets the choice of a roll-out in which the target gets `share` of the requests.
    pub fn with_choice(mut self, choice: VersionChoice, share: f64) -> Self {
        self.choice = choice;
        self.share = share;
        self
    }

    /// Adds versions that get nothing while another one is listed.
    pub fn with_blocked<I>(mut self, versions: I) -> Self
    where
        I: IntoIterator<Item = SoftwareVersion>,
    {
        self.blocked.extend(versions);
        self
    }

    /// Returns whether all versions are allowed.
    pub fn is_open(&self) -> bool {
        self.choice == VersionChoice::Any && self.blocked.is_empty()
    }

    /// Returns whether the rule allows a version where upstreams of all versions serve.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        let is_chosen = match &self.choice {
            VersionChoice::Any => true,
            VersionChoice::Only(target) => version.as_ref() == Some(target),
            VersionChoice::AllBut(target) => version.as_ref() != Some(target),
        };
        is_chosen && !self.blocked.contains(version)
    }

    /// Returns the upstreams to which the request may be sent, of all that serve its
    /// service.
    ///
    /// A version that is to get nothing gets something only if no upstream of another
    /// version is listed, whatever the state of those. Requests that are to go to the
    /// target go to the others if no sound upstream of the target can be used: a smaller
    /// share does no harm.
    pub fn narrow<'a>(&self, serving: &[Serving<'a>]) -> Vec<&'a Name> {
        let usable = |allowed: &dyn Fn(&Serving<'a>) -> bool| -> Vec<&'a Name> {
            let allowed = serving.iter().filter(|s| s.is_usable && allowed(s));
            allowed.map(|s| s.name).collect()
        };
        let is_blocked = |s: &Serving<'_>| self.blocked.contains(s.version);
        let is_listed = |allowed: &dyn Fn(&Serving<'a>) -> bool| serving.iter().any(allowed);
        let is_allowed = |s: &Serving<'a>| self.allows(s.version);
        match &self.choice {
            VersionChoice::Only(_) => {
                let chosen = self.canaries(serving);
                if !chosen.is_empty() {
                    return chosen;
                }
            }
            VersionChoice::Any | VersionChoice::AllBut(_) if is_listed(&is_allowed) => {
                return usable(&is_allowed);
            }
            VersionChoice::Any | VersionChoice::AllBut(_) => {}
        }
        let is_not_blocked = |s: &Serving<'a>| !is_blocked(s);
        match is_listed(&is_not_blocked) {
            true => usable(&is_not_blocked),
            false => usable(&|_| true),
        }
    }

    /// Returns the sound upstreams of the target that get its share. Those that are still
    /// slow after their start get it only if there is no other, since their answers are no
    /// evidence on times.
    fn canaries<'a>(&self, serving: &[Serving<'a>]) -> Vec<&'a Name> {
        let is_target = |s: &&Serving<'a>| self.allows(s.version);
        let others = serving.iter().filter(|s| !self.allows(s.version)).count();
        let sound = serving.iter().filter(is_target);
        let sound: Vec<&Serving<'a>> = sound.filter(|s| s.is_usable && !s.is_ejected).collect();
        let has_warm = sound.iter().any(|s| !s.is_cold);
        let targets = sound.iter().filter(|s| !(has_warm && s.is_cold));
        let targets: Vec<Name> = targets.map(|s| s.name.clone()).collect();
        let chosen = canary_upstreams(self.share, &targets, others);
        let chosen = sound.iter().filter(|s| chosen.contains(s.name));
        chosen.map(|s| s.name).collect()
    }
}

impl Default for VersionRule {
    fn default() -> Self {
        Self::new()
    }
}
