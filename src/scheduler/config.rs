//! The bounds of a scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::prefix::CHUNK_TOKENS;
use crate::settings::Settings;
use crate::settings::Upstream;

/// The bounds of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Requests in flight at the upstream at most, grants included.
    pub slots: usize,
    /// Waiting tickets at most.
    pub tickets: usize,
    /// The time within which a grant may be accepted.
    pub grant_valid: Duration,
    /// Weights of organisations; 1 for those not named.
    pub weights: BTreeMap<Name, u32>,
    /// Prompt tokens that the engine's cache is believed to hold at most;
    /// zero for an upstream without one.
    pub cache_tokens: u64,
}

impl SchedulerConfig {
    /// The bounds of a scheduler that has this many slots of `upstream`.
    pub fn new(settings: &Settings, upstream: Option<&Upstream>, slots: usize) -> Self {
        let organisations = settings.organisations.iter();
        Self {
            slots,
            tickets: settings.limits.agent_tickets as usize,
            grant_valid: settings.limits.grant_valid,
            weights: organisations
                .filter(|(_, o)| o.weight != 1)
                .map(|(name, o)| (name.clone(), o.weight))
                .collect(),
            cache_tokens: upstream.map_or(0, |u| u.cache_tokens),
        }
    }

    /// The parts of prompts that the engine's cache is believed to hold.
    pub(super) fn cache_chunks(&self) -> usize {
        usize::try_from(self.cache_tokens / CHUNK_TOKENS).unwrap_or(usize::MAX)
    }
}
