//! Checked settings, as the decisions use them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::serde_as;

use crate::name::Name;
use crate::units::BytesText;
use crate::units::DurationText;
use crate::units::KeyDigest;

/// A whole set of settings. Every name in it refers to an entry that exists.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Tiers by name. No two have the same order.
    pub tiers: BTreeMap<Name, Tier>,
    /// Organisations by name. No two share a key.
    pub organisations: BTreeMap<Name, Organisation>,
    /// Upstreams by name. No two share an agent's address.
    pub upstreams: BTreeMap<Name, Upstream>,
    /// Routes by name. No two have the same path.
    pub routes: BTreeMap<Name, Route>,
    /// Bounds on what one process holds.
    pub limits: Limits,
}

/// A class of urgency.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Tier {
    /// The rank among tiers; 0 is the highest.
    pub order: u8,
    /// The time within which an answer is useful, where the route names none.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// The part of requests that should be answered within their deadline.
    #[serde(default = "default_objective")]
    pub objective: f64,
}

/// A customer of the provider.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Organisation {
    /// The share of an upstream relative to others when all want more.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Digests of the API keys that name this organisation.
    pub keys: Vec<KeyDigest>,
    /// The tier of its requests where neither it nor the route names one.
    pub tier: Name,
    /// Tiers by route.
    #[serde(default)]
    pub tiers: BTreeMap<Name, Name>,
    /// Requests that each entry holds of it at most.
    pub concurrency: Option<u32>,
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A model engine that speaks the OpenAI format.
    Model,
    /// A plain HTTP service.
    Service,
}

/// Whether an upstream checks the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// It refuses an order that carries an old number.
    Checked,
    /// It obeys any order.
    #[default]
    Ignored,
}

/// A model engine or a plain service.
#[derive(Clone, Debug, Deserialize)]
pub struct Upstream {
    /// What it is.
    pub kind: UpstreamKind,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where the agent beside it listens for entries.
    pub agent: SocketAddr,
    /// The models or services it serves.
    pub serves: Vec<Name>,
    /// The models that it is ordered to load.
    #[serde(default)]
    pub loads: Vec<Name>,
    /// Requests in flight at most.
    pub slots: u32,
    /// Prompt tokens that its prefix cache holds; zero without such a cache.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// A model engine, chosen by the `model` of the request's body.
    Model,
    /// A plain service, named by the route.
    Service,
}

/// A path that callers may use.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// What it leads to.
    pub kind: RouteKind,
    /// The whole path for a model, the prefix of paths for a service.
    pub path: Name,
    /// The service it leads to; present exactly for services.
    pub service: Option<Name>,
    /// The methods that may be called without harm more than once.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Name>,
    /// The tier of its requests where the organisation names none.
    pub tier: Option<Name>,
    /// The deadline of its requests in place of the tier's.
    #[serde_as(as = "Option<DurationText>")]
    pub deadline: Option<Duration>,
}

/// How an entry chooses among upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Tickets at several agents; the first grant is accepted.
    #[default]
    LateBinding,
    /// One ticket at each upstream in turn.
    RoundRobin,
    /// One ticket at the better of two random upstreams.
    TwoChoices,
}

/// Bounds on what one process holds, and times that bound waits.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Bytes of a request's body at most.
    #[serde_as(as = "BytesText")]
    pub body: u64,
    /// Bytes of an answer that an agent keeps for a slow entry at most.
    #[serde_as(as = "BytesText")]
    pub answer_buffer: u64,
    /// Callers connected to one entry at most.
    pub connections: u32,
    /// Requests that one entry holds at most.
    pub entry_requests: u32,
    /// Bytes of bodies that one entry holds at most.
    #[serde_as(as = "BytesText")]
    pub entry_bodies: u64,
    /// Tickets that wait at one agent at most.
    pub agent_tickets: u32,
    /// The time a caller may take for its head, and for its body.
    #[serde_as(as = "DurationText")]
    pub caller_timeout: Duration,
    /// The time a caller may take to receive one part of its answer.
    #[serde_as(as = "DurationText")]
    pub caller_write_timeout: Duration,
    /// The time within which a grant may be accepted.
    #[serde_as(as = "DurationText")]
    pub grant_valid: Duration,
    /// The time an answer waits for its entry to connect again.
    #[serde_as(as = "DurationText")]
    pub resume: Duration,
    /// The time a dispatched request may run.
    #[serde_as(as = "DurationText")]
    pub run: Duration,
    /// The time a stopping process gives to requests in flight.
    #[serde_as(as = "DurationText")]
    pub drain: Duration,
    /// The time for which idempotency keys are remembered.
    #[serde_as(as = "DurationText")]
    pub keys_kept: Duration,
    /// Objects over which claims on idempotency keys are spread. It must not
    /// change while keys are remembered.
    pub claim_shards: u32,
    /// Agents of one model or service to which an entry connects at most.
    pub links: u32,
    /// Agents that receive a ticket of one request.
    pub probes: u32,
    /// How upstreams are chosen.
    pub policy: Policy,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            answer_buffer: 256 << 10,
            connections: 4096,
            entry_requests: 4096,
            entry_bodies: 64 << 20,
            agent_tickets: 1024,
            caller_timeout: Duration::from_secs(10),
            caller_write_timeout: Duration::from_secs(30),
            grant_valid: Duration::from_millis(500),
            resume: Duration::from_secs(10),
            run: Duration::from_secs(600),
            drain: Duration::from_secs(60),
            keys_kept: Duration::from_secs(24 * 60 * 60),
            claim_shards: 256,
            links: 16,
            probes: 3,
            policy: Policy::default(),
        }
    }
}

fn default_objective() -> f64 {
    0.99
}

fn default_weight() -> u32 {
    1
}

fn default_idempotent_methods() -> Vec<Name> {
    ["GET", "HEAD", "OPTIONS"].map(Name::new).to_vec()
}
