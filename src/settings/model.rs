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
    /// What discovered upstreams of a service have in common, by service.
    pub services: BTreeMap<Name, Service>,
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
    /// Whether that tier goes before the one that the route names.
    #[serde(default)]
    pub tier_first: bool,
    /// Tiers by route.
    #[serde(default)]
    pub tiers: BTreeMap<Name, Name>,
    /// Requests that each entry holds of it at most.
    pub concurrency: Option<u32>,
    /// What it may use in a time over all entries; absent without a limit.
    pub quota: Option<QuotaRate>,
}

/// What is counted towards a quota.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum QuotaUnit {
    /// Each request counts one.
    #[default]
    Requests,
    /// A request counts its prompt tokens and the most it may generate.
    Tokens,
}

/// The rate at which a quota is filled.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct QuotaRate {
    /// What is counted.
    #[serde(default)]
    pub unit: QuotaUnit,
    /// Units a second.
    pub per_second: f64,
    /// Units at most that may be used at once.
    pub burst: f64,
    /// Units that a request without tokens counts, where tokens are counted.
    #[serde(default = "default_plain")]
    pub plain: u64,
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
    /// Where the agent beside it listens for entries; absent without one.
    pub agent: Option<SocketAddr>,
    /// Its present life, by which it tells calls that are meant for another.
    pub instance: Option<Name>,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Generated tokens in one event of a stream.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u64,
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

/// What discovered upstreams of a service have in common.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Service {
    /// What they are.
    pub kind: UpstreamKind,
    /// Requests in flight at most, where an upstream itself tells none.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Generated tokens in one event of a stream.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u64,
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
    /// The host that callers name; absent for any.
    pub host: Option<Name>,
    /// The whole path for a model, the prefix of paths for a service. A path
    /// that ends in a slash is a prefix for a model too.
    pub path: Name,
    /// The service it leads to. A model route without one leads to the
    /// upstreams that serve the model of the request.
    pub service: Option<Name>,
    /// Services among which requests are split by weight, in place of one.
    #[serde(default)]
    pub split: BTreeMap<Name, u32>,
    /// Whether a request may run more than once; where absent, its method
    /// decides.
    pub idempotent: Option<bool>,
    /// Whether a stream may go on at another upstream after its last event.
    #[serde(default)]
    pub resumable: bool,
    /// Upstreams to which a request may be sent at most.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
    /// The time within which an answer should begin; half of the deadline
    /// where absent.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub objective: Option<Duration>,
    /// The longest time that a caller is kept waiting, also for an answer that
    /// has begun; `limits.run` where absent.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub timeout: Option<Duration>,
    /// The longest pause between two events of a stream that is on time.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub pause: Option<Duration>,
    /// The methods that may be called without harm more than once.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Name>,
    /// The tier of its requests where the organisation names none.
    pub tier: Option<Name>,
    /// The deadline of its requests in place of the tier's.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
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
    /// The time for which a caller may keep an idle connection.
    #[serde_as(as = "DurationText")]
    pub caller_idle: Duration,
    /// Repeats that a service may get in a window, as a part of its requests.
    pub retry_ratio: f64,
    /// Repeats that a service may get in a window beyond that part, over all
    /// entries.
    pub retry_slack: u32,
    /// The window over which repeats are counted.
    #[serde_as(as = "DurationText")]
    pub retry_window: Duration,
    /// The window over which the use of quotas is summed.
    #[serde_as(as = "DurationText")]
    pub quota_window: Duration,
    /// What is tolerated beyond a quota in a window, as a part of it.
    pub quota_over: f64,
    /// Tokens that are tolerated in a window beyond that part.
    pub quota_slack: f64,
    /// Whether upstreams are found by discovery and not in these settings.
    pub discovered: bool,
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
            connections: 4096,
            entry_requests: 4096,
            entry_bodies: 64 << 20,
            agent_tickets: 1024,
            caller_timeout: Duration::from_secs(10),
            caller_write_timeout: Duration::from_secs(30),
            grant_valid: Duration::from_millis(100),
            caller_idle: Duration::from_secs(15),
            retry_ratio: 0.2,
            retry_slack: 10,
            retry_window: Duration::from_secs(10),
            quota_window: Duration::from_secs(8),
            quota_over: 0.0,
            quota_slack: 0.0,
            discovered: false,
            run: Duration::from_secs(600),
            drain: Duration::from_secs(60),
            keys_kept: Duration::from_secs(24 * 60 * 60),
            claim_shards: 256,
            links: 16,
            probes: 6,
            policy: Policy::default(),
        }
    }
}

fn default_objective() -> f64 {
    0.99
}

fn default_plain() -> u64 {
    1
}

fn default_event_tokens() -> u64 {
    1
}

fn default_slots() -> u32 {
    1
}

fn default_attempts() -> u32 {
    1
}

fn default_weight() -> u32 {
    1
}

fn default_idempotent_methods() -> Vec<Name> {
    ["GET", "HEAD", "OPTIONS"].map(Name::new).to_vec()
}
