//! The metrics of the loads that upstreams report.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::name::Name;
use crate::upstream_load::ReportedLoad;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct LoadLabels {
    upstream: Name,
}

/// The counters and gauges of reported loads. Clones share them.
#[derive(Clone, Default)]
pub struct LoadMetrics {
    reports: Family<LoadLabels, Counter>,
    invalid: Family<LoadLabels, Counter>,
    running: Family<LoadLabels, Gauge>,
    waiting: Family<LoadLabels, Gauge>,
    slots: Family<LoadLabels, Gauge>,
    slowness: Family<LoadLabels, Gauge<f64, AtomicU64>>,
    /// The upstreams with a metric.
    upstreams: Rc<RefCell<BTreeSet<Name>>>,
}

impl LoadMetrics {
    /// Creates metrics and registers them.
    pub fn new(registry: &mut Registry) -> Self {
        let this = Self::default();
        registry.register(
            "load_reports",
            "Loads read from the answers of an upstream",
            this.reports.clone(),
        );
        registry.register(
            "invalid_load_reports",
            "Loads in the answers of an upstream that were invalid and ignored",
            this.invalid.clone(),
        );
        registry.register(
            "upstream_running",
            "Requests in slots, as the upstream last reported",
            this.running.clone(),
        );
        registry.register(
            "upstream_waiting",
            "Requests that wait for a slot, as the upstream last reported",
            this.waiting.clone(),
        );
        registry.register(
            "upstream_slots",
            "Slots, as the upstream last reported",
            this.slots.clone(),
        );
        registry.register(
            "upstream_slowness",
            "Service time as a multiple of the usual one, as the upstream last reported",
            this.slowness.clone(),
        );
        this
    }

    /// Records a valid report.
    pub fn record(&self, upstream: &Name, load: ReportedLoad) {
        let labels = self.labels(upstream);
        self.reports.get_or_create(&labels).inc();
        let running = i64::from(load.running);
        self.running.get_or_create(&labels).set(running);
        let waiting = i64::from(load.waiting);
        self.waiting.get_or_create(&labels).set(waiting);
        self.slots.get_or_create(&labels).set(i64::from(load.slots));
        if let Some(slowness) = load.slowness {
            self.slowness.get_or_create(&labels).set(slowness);
        }
    }

    /// Counts an invalid report.
    pub fn record_invalid(&self, upstream: &Name) {
        let labels = self.labels(upstream);
        self.invalid.get_or_create(&labels).inc();
    }

    /// Removes the metrics of upstreams for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.upstreams.borrow_mut().retain(|upstream| {
            let is_kept = keep(upstream);
            if !is_kept {
                self.remove(upstream);
            }
            is_kept
        });
    }

    fn remove(&self, upstream: &Name) {
        let labels = LoadLabels {
            upstream: upstream.clone(),
        };
        self.reports.remove(&labels);
        self.invalid.remove(&labels);
        self.running.remove(&labels);
        self.waiting.remove(&labels);
        self.slots.remove(&labels);
        self.slowness.remove(&labels);
    }

    fn labels(&self, upstream: &Name) -> LoadLabels {
        let mut upstreams = self.upstreams.borrow_mut();
        if !upstreams.contains(upstream) {
            upstreams.insert(upstream.clone());
        }
        LoadLabels {
            upstream: upstream.clone(),
        }
    }
}
