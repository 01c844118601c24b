//! Metrics of versions under roll-out.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::directory::SoftwareVersion;
use crate::entry::rollouts::service::ServiceRollout;
use crate::name::Name;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct VersionLabels {
    service: Name,
    version: Name,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabels {
    service: Name,
}

/// Counters and gauges of versions. They are empty while roll-outs are off.
#[derive(Debug, Default)]
pub struct RolloutMetrics {
    requests: Family<VersionLabels, Counter>,
    bad_answers: Family<VersionLabels, Counter>,
    desired_share: Family<VersionLabels, Gauge<f64, AtomicU64>>,
    actual_share: Family<VersionLabels, Gauge<f64, AtomicU64>>,
    step: Family<ServiceLabels, Gauge>,
}

impl RolloutMetrics {
    /// Creates metrics that start at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "version_requests",
            "Requests sent, by service and version",
            self.requests.clone(),
        );
        registry.register(
            "version_bad_answers",
            "Answers that failed, broke off or did not come, by service and version",
            self.bad_answers.clone(),
        );
        registry.register(
            "rollout_desired_share",
            "Part of the requests that the target of a roll-out is to get",
            self.desired_share.clone(),
        );
        registry.register(
            "rollout_actual_share",
            "Part of the requests of this entry that the target has got since the order",
            self.actual_share.clone(),
        );
        registry.register(
            "rollout_step",
            "Changes of the share of the target so far",
            self.step.clone(),
        );
    }

    /// Counts a request that is sent to a version.
    pub fn record_sent(&self, service: &Name, version: &SoftwareVersion) {
        self.requests.get_or_create(&labels(service, version)).inc();
    }

    /// Counts an answer of a version.
    pub fn record_answer(&self, service: &Name, version: &SoftwareVersion, is_bad: bool) {
        if is_bad {
            let labels = labels(service, version);
            self.bad_answers.get_or_create(&labels).inc();
        }
    }

    /// Sets the gauges of a roll-out.
    pub fn record_share(&self, service: &Name, rollout: &ServiceRollout) {
        let labels = labels(service, &Some(rollout.order.target.clone()));
        self.desired_share
            .get_or_create(&labels)
            .set(rollout.share());
        let actual = rollout.actual_share();
        self.actual_share.get_or_create(&labels).set(actual);
        let labels = ServiceLabels {
            service: service.clone(),
        };
        let step = rollout.row.as_ref().map_or(0, |(_, row)| row.step);
        self.step.get_or_create(&labels).set(i64::from(step));
    }
}

fn labels(service: &Name, version: &SoftwareVersion) -> VersionLabels {
    VersionLabels {
        service: service.clone(),
        version: version.clone().unwrap_or_else(|| Name::new("")),
    }
}
