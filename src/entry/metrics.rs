//! The metrics of an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::metrics;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::ticket::Work;

/// The first bucket of the histograms of time, in seconds.
const FIRST_BUCKET: f64 = 0.001;

/// The number of buckets, each twice as long as the one before.
const BUCKETS: u16 = 18;

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
struct UpstreamLabels {
    upstream: Name,
    outcome: Outcome,
}

/// Counters and gauges of one entry.
pub struct EntryMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    upstreams: Family<UpstreamLabels, Counter>,
    first_byte: Family<TierLabels, Histogram>,
    duration: Family<TierLabels, Histogram>,
    prefill: Family<OrganisationLabels, Counter>,
    output: Family<OrganisationLabels, Counter>,
    held: Gauge,
    links: Gauge,
    revision: Gauge,
}

impl EntryMetrics {
    /// Metrics that start at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("almondramp_entry");
        let this = Self {
            requests: Family::default(),
            upstreams: Family::default(),
            first_byte: Family::new_with_constructor(new_histogram),
            duration: Family::new_with_constructor(new_histogram),
            prefill: Family::default(),
            output: Family::default(),
            held: Gauge::default(),
            links: Gauge::default(),
            revision: Gauge::default(),
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
            this.upstreams.clone(),
        );
        r.register(
            "first_byte_seconds",
            "Time until the first byte of the answer's body",
            this.first_byte.clone(),
        );
        r.register(
            "duration_seconds",
            "Time until the end of the answer",
            this.duration.clone(),
        );
        r.register(
            "prefill_tokens",
            "Prompt tokens processed for whole answers, without cached ones",
            this.prefill.clone(),
        );
        r.register(
            "output_tokens",
            "Generated tokens of whole answers",
            this.output.clone(),
        );
        r.register("held_requests", "Requests held", this.held.clone());
        r.register("links", "Connections to agents", this.links.clone());
        r.register(
            "settings_revision",
            "Revision in force",
            this.revision.clone(),
        );
        Self { registry, ..this }
    }

    /// Counts a request that ended.
    pub fn ended(&self, organisation: &Name, tier: &Name, outcome: Outcome) {
        let labels = RequestLabels {
            tier: tier.clone(),
            organisation: organisation.clone(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a dispatched request that ended.
    pub fn upstream_ended(&self, upstream: &Name, outcome: Outcome) {
        let labels = UpstreamLabels {
            upstream: upstream.clone(),
            outcome,
        };
        self.upstreams.get_or_create(&labels).inc();
    }

    /// Counts the tokens that a whole answer took.
    pub fn used(&self, organisation: &Name, work: Work) {
        let labels = OrganisationLabels {
            organisation: organisation.clone(),
        };
        let prefill = work.prefill.saturating_sub(work.cached);
        self.prefill.get_or_create(&labels).inc_by(prefill);
        self.output.get_or_create(&labels).inc_by(work.output);
    }

    /// Notes the time until the first byte of an answer's body.
    pub fn first_byte(&self, tier: &Name, seconds: f64) {
        let labels = TierLabels { tier: tier.clone() };
        self.first_byte.get_or_create(&labels).observe(seconds);
    }

    /// Notes the time until the end of an answer.
    pub fn duration(&self, tier: &Name, seconds: f64) {
        let labels = TierLabels { tier: tier.clone() };
        self.duration.get_or_create(&labels).observe(seconds);
    }

    /// Shows the present state of the entry.
    pub fn state(&self, held: usize, links: usize, revision: u64) {
        self.held.set(held as i64);
        self.links.set(links as i64);
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// The metrics as text.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}
