//! Parameters of a scheduler, derived from the settings.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::prefix::CHUNK_TOKENS;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;

/// The parameters of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The maximum number of granted and sent requests of the upstream.
    pub slots: usize,
    /// The maximum number of waiting tickets.
    pub max_waiting: usize,
    /// The time within which a grant can be accepted.
    pub grant_valid: Duration,
    /// The weights of organisations; 1 for those not listed.
    pub weights: BTreeMap<Name, u32>,
    /// The assumed capacity of the cache of the engine (an upstream that serves
    /// a model), in prompt tokens; zero for an upstream without a cache.
    pub cache_tokens: u64,
    /// How long the engine may stall the streams that it runs; `None` for an upstream
    /// without streams whose pauses matter.
    pub stream_pauses: Option<StreamPauses>,
    /// The maximum number of prompt and output tokens of the granted and sent requests;
    /// `None` if it is not known.
    pub memory_tokens: Option<u64>,
}

/// When a stream counts as on time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamPauses {
    /// The longest pause between two events.
    pub longest: Duration,
    /// The tokens of an event; at least 1.
    pub event_tokens: u64,
}

impl StreamPauses {
    /// Returns the pauses that the routes to a model engine allow; `None` if they set none.
    fn of_upstream(settings: &Settings, upstream: &Upstream) -> Option<Self> {
        if upstream.kind != UpstreamKind::Model {
            return None;
        }
        let services = upstream.serves.iter();
        let pauses = services.filter_map(|s| settings.routes.shortest_pause(s));
        let longest = pauses.min()?;
        Some(Self {
            longest,
            event_tokens: upstream.event_tokens.max(1),
        })
    }
}

impl SchedulerConfig {
    /// Returns the parameters of a scheduler with this many slots of `upstream`.
    pub fn new(settings: &Settings, upstream: Option<&Upstream>, slots: usize) -> Self {
        let organisations = settings.organisations.iter();
        Self {
            slots,
            max_waiting: settings.limits.agent_tickets as usize,
            grant_valid: settings.limits.grant_valid,
            weights: organisations
                .filter(|(_, o)| o.weight != 1)
                .map(|(name, o)| (name.clone(), o.weight))
                .collect(),
            cache_tokens: upstream.map_or(0, |u| u.cache_tokens),
            stream_pauses: upstream.and_then(|u| StreamPauses::of_upstream(settings, u)),
            memory_tokens: upstream.and_then(|u| memory_share(u, slots)),
        }
    }

    /// Returns the assumed capacity of the engine's cache in chunks of prompts.
    pub(super) fn cache_chunks(&self) -> usize {
        usize::try_from(self.cache_tokens / CHUNK_TOKENS).unwrap_or(usize::MAX)
    }
}

/// Returns the part of an upstream's memory that belongs to this many of its slots. A local
/// scheduler has only a part of the slots.
fn memory_share(upstream: &Upstream, slots: usize) -> Option<u64> {
    let memory = u128::from(upstream.memory_tokens?);
    let share = memory * slots as u128 / u128::from(upstream.slots.max(1));
    Some(u64::try_from(share).unwrap_or(u64::MAX))
}
