//! Prometheus metrics of an agent.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metrics;
use crate::scheduler::Scheduler;
use crate::ticket::OfferResult;
use crate::ticket::Work;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OfferLabels {
    answer: OfferAnswer,
}

#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
#[allow(non_camel_case_types)]
enum OfferAnswer {
    queued,
    granted,
    refused,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EndLabels {
    end: EndLabel,
}

#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
#[allow(non_camel_case_types)]
enum EndLabel {
    whole,
    failed,
}

/// The counters and gauges of one agent.
pub struct AgentMetrics {
    registry: Registry,
    offers: Family<OfferLabels, Counter>,
    finished: Family<EndLabels, Counter>,
    wasted_prefill: Counter,
    prefill: Counter,
    cached: Counter,
    output: Counter,
    waiting: Gauge,
    running: Gauge,
    reported: Gauge,
    slots: Gauge,
    memory_tokens: Gauge,
    committed_tokens: Gauge,
    seconds_per_prefill_token: Gauge<f64, AtomicU64>,
    seconds_per_output_token: Gauge<f64, AtomicU64>,
}

impl AgentMetrics {
    /// Creates and registers metrics that start at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("almondramp_agent");
        let this = Self {
            offers: Family::default(),
            finished: Family::default(),
            wasted_prefill: Counter::default(),
            prefill: Counter::default(),
            cached: Counter::default(),
            output: Counter::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            reported: Gauge::default(),
            slots: Gauge::default(),
            memory_tokens: Gauge::default(),
            committed_tokens: Gauge::default(),
            seconds_per_prefill_token: Gauge::default(),
            seconds_per_output_token: Gauge::default(),
            registry: Registry::default(),
        };
        let r = &mut registry;
        r.register("offers", "Tickets by the answer given", this.offers.clone());
        r.register(
            "finished",
            "Dispatched requests that ended",
            this.finished.clone(),
        );
        r.register(
            "wasted_prefill_tokens",
            "Prompt tokens of dispatched requests that brought no whole answer",
            this.wasted_prefill.clone(),
        );
        r.register(
            "prefill_tokens",
            "Prompt tokens of whole answers, cached ones included",
            this.prefill.clone(),
        );
        r.register(
            "cached_tokens",
            "Prompt tokens that the engine reported as cached",
            this.cached.clone(),
        );
        r.register("output_tokens", "Generated tokens", this.output.clone());
        r.register("waiting_tickets", "Tickets that wait", this.waiting.clone());
        r.register(
            "running_requests",
            "Requests in flight",
            this.running.clone(),
        );
        r.register(
            "reported_requests",
            "Requests in flight by the engine's own, lagging report",
            this.reported.clone(),
        );
        r.register("slots", "Requests in flight at most", this.slots.clone());
        r.register(
            "memory_tokens",
            "Tokens of requests that fit in the memory of the engine; 0 if unknown",
            this.memory_tokens.clone(),
        );
        r.register(
            "committed_tokens",
            "Tokens of requests that are granted or sent",
            this.committed_tokens.clone(),
        );
        r.register(
            "seconds_per_prefill_token",
            "Measured time for a prompt token",
            this.seconds_per_prefill_token.clone(),
        );
        r.register(
            "seconds_per_output_token",
            "Measured time for a generated token",
            this.seconds_per_output_token.clone(),
        );
        Self { registry, ..this }
    }

    /// Counts the answer to an offered ticket.
    pub fn record_offer(&self, offered: &OfferResult) {
        let answer = match offered {
            OfferResult::Queued(_) => OfferAnswer::queued,
            OfferResult::Granted(_) => OfferAnswer::granted,
            OfferResult::Refused(_) => OfferAnswer::refused,
        };
        self.offers.get_or_create(&OfferLabels { answer }).inc();
    }

    /// Counts the end of a request. `work` holds its tokens if the answer was
    /// complete, and is `None` otherwise.
    pub fn record_finish(&self, work: Option<Work>) {
        let end = match work {
            Some(work) => {
                self.prefill.inc_by(work.prefill);
                self.cached.inc_by(work.cached);
                self.output.inc_by(work.output);
                EndLabel::whole
            }
            None => EndLabel::failed,
        };
        self.finished.get_or_create(&EndLabels { end }).inc();
    }

    /// Counts the prompt tokens of a dispatched request without a complete
    /// answer.
    pub fn record_wasted_prefill(&self, expected: Work) {
        self.wasted_prefill.inc_by(expected.prefill);
    }

    /// Sets the number of requests in flight that the upstream reports.
    pub fn record_report(&self, held: usize) {
        self.reported.set(held as i64);
    }

    /// Sets the gauges to the scheduler's current state.
    pub fn record_scheduler(&self, scheduler: &Scheduler) {
        self.waiting.set(scheduler.waiting() as i64);
        self.running.set(scheduler.running() as i64);
        self.slots.set(scheduler.slots() as i64);
        let as_gauge = |tokens| i64::try_from(tokens).unwrap_or(i64::MAX);
        let memory = scheduler.memory_limit().unwrap_or_default();
        self.memory_tokens.set(as_gauge(memory));
        self.committed_tokens
            .set(as_gauge(scheduler.committed_memory()));
        let (prefill, output) = scheduler.pace().seconds_per_token();
        self.seconds_per_prefill_token.set(prefill);
        self.seconds_per_output_token.set(output);
    }

    /// Renders the metrics in the text format.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}

impl Default for AgentMetrics {
    fn default() -> Self {
        Self::new()
    }
}
