//! The metrics of an entry.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::entry::attempt::EndEvidence;
use crate::entry::load_metrics::LoadMetrics;
use crate::entry::rollouts::RolloutMetrics;
use crate::entry::zone_balance::ZoneCause;
use crate::http_server::RefusedConnections;
use crate::metrics;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::ticket::Work;

/// The upper bound of the first bucket of the time histograms, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// The number of buckets. Each bound is twice the previous one.
const BUCKET_COUNT: u16 = 18;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabels {
    tier: Name,
    organisation: Name,
    outcome: Outcome,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TierLabels {
    tier: Name,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OrganisationLabels {
    organisation: Name,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ZoneLabels {
    zone: Name,
    cause: ZoneCause,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ShareLabels {
    service: Name,
    rank: u32,
    zone: Name,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct UpstreamLabels {
    upstream: Name,
    outcome: Outcome,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EndLabels {
    evidence: EndEvidence,
}

/// The counters, gauges and histograms of one entry.
pub struct EntryMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    upstream_requests: Family<UpstreamLabels, Counter>,
    first_byte: Family<TierLabels, Histogram>,
    duration: Family<TierLabels, Histogram>,
    connection_ends: Family<EndLabels, Counter>,
    prefill_tokens: Family<OrganisationLabels, Counter>,
    output_tokens: Family<OrganisationLabels, Counter>,
    refused_connections: RefusedConnections,
    held_requests: Gauge,
    answer_bytes: Gauge,
    links: Gauge,
    spare_links: Gauge,
    revision: Gauge,
    directory_age: Gauge<f64, AtomicU64>,
    settings_age: Gauge<f64, AtomicU64>,
    kept_upstreams: Gauge,
    suspected_parts: Gauge,
    quarantined_parts: Gauge,
    limited_upstreams: Gauge,
    loads: LoadMetrics,
    zone_requests: Family<ZoneLabels, Counter>,
    zone_share: Family<ShareLabels, Gauge<f64, AtomicU64>>,
}

impl EntryMetrics {
    /// Registers all metrics, starting at zero, with those of `rollouts`.
    pub fn new(rollouts: &RolloutMetrics) -> Self {
        let mut registry = Registry::with_prefix("almondramp_entry");
        let this = Self {
            requests: Family::default(),
            upstream_requests: Family::default(),
            first_byte: Family::new_with_constructor(new_histogram),
            duration: Family::new_with_constructor(new_histogram),
            connection_ends: Family::default(),
            prefill_tokens: Family::default(),
            output_tokens: Family::default(),
            refused_connections: RefusedConnections::default(),
            held_requests: Gauge::default(),
            answer_bytes: Gauge::default(),
            links: Gauge::default(),
            spare_links: Gauge::default(),
            revision: Gauge::default(),
            directory_age: Gauge::default(),
            settings_age: Gauge::default(),
            kept_upstreams: Gauge::default(),
            suspected_parts: Gauge::default(),
            quarantined_parts: Gauge::default(),
            limited_upstreams: Gauge::default(),
            loads: LoadMetrics::new(&mut registry),
            zone_requests: Family::default(),
            zone_share: Family::default(),
            // Replaced at the end, when all metrics are registered.
            registry: Registry::default(),
        };
        let r = &mut registry;
        r.register(
            "requests",
            "Requests that ended, by outcome",
            this.requests.clone(),
        );
        r.register(
            "upstream_requests",
            "Dispatched requests that ended, by upstream and outcome",
            this.upstream_requests.clone(),
        );
        r.register(
            "prefill_tokens",
            "Prompt tokens processed for whole answers, without cached ones",
            this.prefill_tokens.clone(),
        );
        r.register(
            "output_tokens",
            "Generated tokens of whole answers",
            this.output_tokens.clone(),
        );
        r.register("held_requests", "Requests held", this.held_requests.clone());
        r.register(
            "held_answer_bytes",
            "Bytes of answers held for slow callers",
            this.answer_bytes.clone(),
        );
        r.register("links", "Connections to agents", this.links.clone());
        r.register(
            "spare_links",
            "Agents to which the entry connects on demand",
            this.spare_links.clone(),
        );
        r.register(
            "settings_revision",
            "Revision in force",
            this.revision.clone(),
        );
        r.register(
            "directory_age_seconds",
            "Time since the platform last confirmed the upstreams; 0 without a platform",
            this.directory_age.clone(),
        );
        r.register(
            "settings_age_seconds",
            "Time since the store last confirmed the settings; 0 without a store",
            this.settings_age.clone(),
        );
        r.register(
            "kept_upstreams",
            "Upstreams that are kept without a registration",
            this.kept_upstreams.clone(),
        );
        r.register(
            "suspected_parts",
            "Requests and parts of prompts that were present at crashes of upstreams",
            this.suspected_parts.clone(),
        );
        r.register(
            "quarantined_parts",
            "Requests and parts of prompts that are refused, since they crash upstreams",
            this.quarantined_parts.clone(),
        );
        r.register(
            "limited_upstreams",
            "Upstreams that name a rate limit in their answers",
            this.limited_upstreams.clone(),
        );
        this.register_answers(&mut registry);
        this.register_zones(&mut registry);
        rollouts.register(&mut registry);
        Self { registry, ..this }
    }

    /// Returns the counter of connections that were closed without a request.
    pub fn refused_connections(&self) -> RefusedConnections {
        self.refused_connections.clone()
    }

    /// Returns the metrics of the loads that upstreams report.
    pub fn loads(&self) -> LoadMetrics {
        self.loads.clone()
    }

    fn register_answers(&self, registry: &mut Registry) {
        registry.register(
            "refused_connections",
            "Connections of callers that were closed without a request, by reason",
            self.refused_connections.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time until the first byte of the answer's body",
            self.first_byte.clone(),
        );
        registry.register(
            "duration_seconds",
            "Time until the end of the answer",
            self.duration.clone(),
        );
        registry.register(
            "connection_ends",
            "Answers that ended with their connection where they may go on, by what tells \
             whether they are complete",
            self.connection_ends.clone(),
        );
    }

    fn register_zones(&self, registry: &mut Registry) {
        registry.register(
            "zone_requests",
            "Requests sent to upstreams, by their availability zone and why",
            self.zone_requests.clone(),
        );
        registry.register(
            "zone_share",
            "Part of the requests that spills over to another availability zone",
            self.zone_share.clone(),
        );
    }

    /// Counts a request that was sent to an upstream of a zone.
    pub fn record_zone(&self, zone: &Name, cause: ZoneCause) {
        let zone = zone.clone();
        self.zone_requests
            .get_or_create(&ZoneLabels { zone, cause })
            .inc();
    }

    /// Sets the shares of requests that spill over, by service, rank and zone.
    pub fn record_zone_shares(&self, shares: &BTreeMap<(Name, u8, Name), f64>) {
        self.zone_share.clear();
        for ((service, rank, zone), share) in shares {
            let labels = ShareLabels {
                service: service.clone(),
                rank: u32::from(*rank),
                zone: zone.clone(),
            };
            self.zone_share.get_or_create(&labels).set(*share);
        }
    }

    /// Counts a request that ended.
    pub fn record_ended(&self, organisation: &Name, tier: &Name, outcome: Outcome) {
        let labels = RequestLabels {
            tier: tier.clone(),
            organisation: organisation.clone(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a dispatched request that ended.
    pub fn record_upstream_ended(&self, upstream: &Name, outcome: Outcome) {
        let labels = UpstreamLabels {
            upstream: upstream.clone(),
            outcome,
        };
        self.upstream_requests.get_or_create(&labels).inc();
    }

    /// Counts the tokens of a complete answer. Cached prompt tokens are not
    /// counted.
    pub fn record_tokens(&self, organisation: &Name, work: Work) {
        let labels = OrganisationLabels {
            organisation: organisation.clone(),
        };
        let prefill = work.prefill.saturating_sub(work.cached);
        self.prefill_tokens.get_or_create(&labels).inc_by(prefill);
        self.output_tokens
            .get_or_create(&labels)
            .inc_by(work.output);
    }

    /// Records the time to the first byte of an answer body, in seconds.
    pub fn record_first_byte(&self, tier: &Name, seconds: f64) {
        let labels = TierLabels { tier: tier.clone() };
        self.first_byte.get_or_create(&labels).observe(seconds);
    }

    /// Records the time to the end of an answer, in seconds.
    pub fn record_duration(&self, tier: &Name, seconds: f64) {
        let labels = TierLabels { tier: tier.clone() };
        self.duration.get_or_create(&labels).observe(seconds);
    }

    /// Counts an answer that ended with its connection where it may go on.
    pub fn record_connection_end(&self, evidence: EndEvidence) {
        self.connection_ends
            .get_or_create(&EndLabels { evidence })
            .inc();
    }

    /// Records the bytes of answers that are held for slow callers.
    pub fn record_answer_bytes(&self, bytes: u64) {
        self.answer_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the gauges to the current state of the entry.
    pub fn record_state(&self, held: usize, revision: u64) {
        self.held_requests.set(held as i64);
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Sets the gauges of the connections to agents: those that are open, and the spare ones.
    pub fn record_links(&self, open: usize, spares: usize) {
        self.links.set(open as i64);
        self.spare_links.set(spares as i64);
    }

    /// Sets the gauges of the directory: the time since the platform last confirmed
    /// it, and the number of upstreams kept without a registration.
    pub fn record_directory(&self, age: Option<Duration>, kept: usize) {
        let age = age.unwrap_or_default();
        self.directory_age.set(age.as_secs_f64());
        self.kept_upstreams.set(kept as i64);
    }

    /// Sets the gauge of the time since the store last confirmed the settings.
    pub fn record_settings_age(&self, age: Option<Duration>) {
        self.settings_age.set(age.unwrap_or_default().as_secs_f64());
    }

    /// Sets the gauges of the requests and parts of prompts that crash upstreams.
    pub fn record_suspects(&self, suspects: usize, convicted: usize) {
        self.suspected_parts.set(suspects as i64);
        self.quarantined_parts.set(convicted as i64);
    }

    /// Sets the gauge of the upstreams that name a rate limit.
    pub fn record_limited_upstreams(&self, count: usize) {
        self.limited_upstreams.set(count as i64);
    }

    /// Renders the metrics as text.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
