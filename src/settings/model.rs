//! Validated settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde_with::serde_as;

use crate::name::Name;
use crate::settings::Routes;
use crate::units::BytesText;
use crate::units::DurationText;
use crate::units::KeyDigest;
use crate::zone_balance;

/// Complete, validated set of settings. Every tier and route that it refers to
/// exists, and so does every service unless upstreams are discovered. Versions of the
/// settings share the sections that don't differ.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Tiers by name. No two tiers have the same order.
    pub tiers: Rc<BTreeMap<Name, Tier>>,
    /// Organisations by name. No two organisations share a key.
    pub organisations: Rc<BTreeMap<Name, Organisation>>,
    /// Upstreams by name. No two upstreams share an agent's address.
    pub upstreams: Rc<BTreeMap<Name, Upstream>>,
    /// Settings common to the discovered upstreams of a service, by service name.
    pub services: Rc<BTreeMap<Name, Service>>,
    /// Routes by name. No two routes have the same host and path.
    pub routes: Rc<Routes>,
    /// Limits on resources and times.
    pub limits: Limits,
}

/// Priority class of requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Tier {
    /// Rank among the tiers; 0 is the highest.
    pub order: u8,
    /// Time within which an answer is useful, unless the route sets another.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// Service level objective: fraction of requests that should be answered
    /// within their deadline, between 0 and 1.
    #[serde(default = "default_objective")]
    pub objective: f64,
}

/// Customer, identified by its API keys.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Organisation {
    /// Share of an upstream relative to other organisations when the upstream is
    /// fully used; at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Digests of the API keys that identify this organisation.
    pub keys: Vec<KeyDigest>,
    /// Default tier of its requests, unless `tiers` or the route sets another.
    pub tier: Name,
    /// Whether `tier` takes precedence over `tiers` and the tier of the route.
    #[serde(default)]
    pub tier_first: bool,
    /// Tiers by route name; they take precedence over the tier of the route.
    #[serde(default)]
    pub tiers: BTreeMap<Name, Name>,
    /// Maximum number of its requests that each entry holds; absent for no limit.
    pub concurrency: Option<u32>,
    /// Rate limit over all entries; absent for no limit.
    pub quota: Option<QuotaRate>,
}

/// Unit of a quota.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    #[default]
    Requests,
    /// A request counts its prompt tokens plus the maximum number of tokens that
    /// it may generate.
    Tokens,
}

/// Rate and burst size of a quota.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct QuotaRate {
    /// Unit that is counted.
    #[serde(default)]
    pub unit: QuotaUnit,
    /// Units per second.
    pub per_second: f64,
    /// Maximum number of units that can be used in one burst.
    pub burst: f64,
    /// Units that a request without a token count is charged when the unit is
    /// tokens.
    #[serde(default = "default_plain")]
    pub plain: u64,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// Model engine with an OpenAI-compatible API.
    Model,
    /// Plain HTTP service.
    Service,
}

/// Whether an upstream checks the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// It refuses an order with an old fencing number.
    Checked,
    /// It accepts any order.
    #[default]
    Ignored,
}

/// Model engine or plain HTTP service.
#[derive(Clone, Debug, Deserialize)]
pub struct Upstream {
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Availability zone.
    pub zone: Name,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Address on which its agent accepts entries; absent if it has no agent.
    pub agent: Option<SocketAddr>,
    /// Identifier of its current run, with which it recognises requests that are
    /// meant for another instance.
    pub instance: Option<Name>,
    /// When its current run started, in Unix milliseconds by its own clock; `None` if
    /// nothing discovers it.
    #[serde(skip)]
    pub started: Option<u64>,
    /// Version of its software. A stream continues only at the version that began it.
    pub version: Option<Name>,
    /// Time for which it is still slow after its start; `None` if nothing discovers it.
    #[serde(skip)]
    pub cold_left: Option<Duration>,
    /// Whether it is leaving and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Generated tokens per event of a stream.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u64,
    /// Models or services that it serves.
    pub serves: Vec<Name>,
    /// Models that it is ordered to load.
    #[serde(default)]
    pub loads: Vec<Name>,
    /// Maximum number of requests in flight; at least 1.
    pub slots: u32,
    /// Capacity of its prefix cache, in prompt tokens; 0 without a cache.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Maximum number of prompt and output tokens of its requests in flight; `None` if it
    /// is not known.
    #[serde(default)]
    pub memory_tokens: Option<u64>,
    /// Whether it checks fencing numbers of orders.
    #[serde(default)]
    pub fencing: Fencing,
}

/// Settings common to the discovered upstreams of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Service {
    /// Kind of the upstreams.
    pub kind: UpstreamKind,
    /// Maximum number of requests in flight per upstream, unless the upstream
    /// reports its own.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Generated tokens per event of a stream.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u64,
    /// Maximum number of prompt and output tokens of the requests in flight at one
    /// upstream; `None` if it is not known.
    #[serde(default)]
    pub memory_tokens: Option<u64>,
}

/// Kind of the upstreams of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Model engine, selected by the `model` field of the request's body.
    Model,
    /// Plain service, named by the route.
    Service,
}

/// Path that callers can request, and how its requests are handled.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// Kind of the upstreams.
    pub kind: RouteKind,
    /// Host name in the request; absent for any.
    pub host: Option<Name>,
    /// Exact path for a model; for a service, the path and all below it. A path that ends
    /// with a slash is a prefix for both, and does not match without the slash.
    pub path: Name,
    /// Service to which requests are sent. Requests of a model route without a
    /// service go to the upstreams that serve their model.
    pub service: Option<Name>,
    /// Weights of the services among which requests are split, instead of
    /// `service`.
    #[serde(default)]
    pub split: BTreeMap<Name, u32>,
    /// Whether a request may run more than once; if absent, this depends on
    /// `idempotent_methods`.
    pub idempotent: Option<bool>,
    /// Whether an interrupted stream can be resumed at another upstream after its
    /// last event.
    #[serde(default)]
    pub resumable: bool,
    /// Maximum number of attempts to run a request; at least 1.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// Time within which an answer should start; half of the deadline if
    /// absent.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub objective: Option<Duration>,
    /// Maximum total time of a request, including an answer that has started;
    /// `limits.run` if absent.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub timeout: Option<Duration>,
    /// Maximum pause between two events for a stream to count as on time. A
    /// resumable stream can continue at another upstream after a multiple of it.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub pause: Option<Duration>,
    /// HTTP methods whose requests are idempotent.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Name>,
    /// Tier of its requests, unless the organisation sets one for this route or
    /// its `tier_first`.
    pub tier: Option<Name>,
    /// Deadline of its requests, instead of that of the tier.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub deadline: Option<Duration>,
}

impl Route {
    /// Returns the services to which requests are sent; none if their bodies name them.
    pub fn targets(&self) -> impl Iterator<Item = &Name> {
        let split = self.split.iter().filter(|(_, weight)| **weight > 0);
        self.service.iter().chain(split.map(|(service, _)| service))
    }
}

/// Policy by which an entry selects upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Sends tickets to several agents and accepts the first grant.
    #[default]
    LateBinding,
    /// Sends one ticket per request, to the upstreams in turn.
    RoundRobin,
    /// Sends one ticket to the better of two random upstreams.
    TwoChoices,
}

/// Whether requests of a zone that lacks room are sent to other zones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneBalancing {
    /// As many as do not fit, to zones that have room.
    Auto,
    /// Only where a request can be offered to few upstreams of its own zone. The default, since
    /// where all zones lack room, requests that ask elsewhere wait in vain more often.
    #[default]
    Off,
}

/// The values that [`Limits::head`] may have, in bytes. The HTTP server reads no longer heads.
pub const HEAD_LIMITS: RangeInclusive<u64> = 1 << 10..=120 << 10;

/// The largest limit on bodies of requests, in bytes.
pub const MAX_BODY_BYTES: u64 = 24 << 20;

/// Limits on the resources of one process, and timeouts.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    #[serde_as(as = "BytesText")]
    pub body: u64,
    /// Length above which the head of a request is refused before it is complete, in bytes;
    /// one of [`HEAD_LIMITS`].
    #[serde_as(as = "BytesText")]
    pub head: u64,
    /// Maximum number of caller connections per entry.
    pub connections: u32,
    /// Maximum number of requests that one entry holds.
    pub entry_requests: u32,
    /// Maximum size of all request bodies that one entry holds, in bytes.
    #[serde_as(as = "BytesText")]
    pub entry_bodies: u64,
    /// Maximum number of tickets that wait at one agent.
    pub agent_tickets: u32,
    /// Timeout for receiving a request's head, and for receiving its body.
    #[serde_as(as = "DurationText")]
    pub caller_timeout: Duration,
    /// Timeout for sending one part of an answer to a caller.
    #[serde_as(as = "DurationText")]
    pub caller_write_timeout: Duration,
    /// Time after which a grant that has not been accepted expires.
    #[serde_as(as = "DurationText")]
    pub grant_valid: Duration,
    /// Timeout of idle caller connections.
    #[serde_as(as = "DurationText")]
    pub caller_idle: Duration,
    /// Retry budget of a service per window, as a fraction of its requests;
    /// between 0 and 1.
    pub retry_ratio: f64,
    /// Retries per window that a service may get in addition, over all entries.
    pub retry_slack: u32,
    /// Window over which retries are counted.
    #[serde_as(as = "DurationText")]
    pub retry_window: Duration,
    /// Window over which the usage of quotas is summed.
    #[serde_as(as = "DurationText")]
    pub quota_window: Duration,
    /// Usage that is tolerated above a quota per window, as a fraction of the
    /// quota.
    pub quota_over: f64,
    /// Tokens that are tolerated per window in addition to `quota_over`.
    pub quota_slack: f64,
    /// Share of a service's requests that a version under roll-out may get before it
    /// has proven itself, above 0 and at most 1; absent if roll-outs are off.
    pub canary_share: Option<f64>,
    /// Requests that such a version may get in addition, over all entries.
    pub canary_slack: u32,
    /// Time after its 50th bad answer from which a bad version gets no request.
    #[serde_as(as = "DurationText")]
    pub rollback: Duration,
    /// Whether upstreams are discovered instead of listed in the settings.
    pub discovered: bool,
    /// Maximum time that a dispatched request may run.
    #[serde_as(as = "DurationText")]
    pub run: Duration,
    /// Maximum time for which a stopping process waits for requests in flight.
    #[serde_as(as = "DurationText")]
    pub drain: Duration,
    /// Time for which idempotency keys are kept.
    #[serde_as(as = "DurationText")]
    pub keys_kept: Duration,
    /// Number of objects over which claims on idempotency keys are sharded. It
    /// must not change while keys are kept.
    pub claim_shards: u32,
    /// Maximum number of agents per model or service to which an entry connects;
    /// at least `probes`.
    pub links: u32,
    /// Number of agents that receive a ticket for one request; at least 1.
    pub probes: u32,
    /// Policy by which upstreams are selected.
    pub policy: Policy,
    /// Whether requests of a zone that lacks room are sent to other zones.
    pub zone_balancing: ZoneBalancing,
    /// Caller's time that a request sent to another zone must save.
    #[serde_as(as = "DurationText")]
    pub cross_zone_cost: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            head: 64 << 10,
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
            canary_share: None,
            canary_slack: 50,
            rollback: Duration::from_secs(5),
            discovered: false,
            run: Duration::from_secs(600),
            drain: Duration::from_secs(60),
            keys_kept: Duration::from_secs(24 * 60 * 60),
            claim_shards: 256,
            links: 16,
            probes: 6,
            policy: Policy::default(),
            zone_balancing: ZoneBalancing::default(),
            cross_zone_cost: zone_balance::DEFAULT_COST,
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
