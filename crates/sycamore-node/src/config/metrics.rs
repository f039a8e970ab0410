//! Metrics of configurations and of the platform.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, Result};
use sycamore_platform::http::Traffic;
use sycamore_types::prelude::*;

/// Metrics of configurations and of the platform.
pub(super) struct Metrics {
    version: IntGauge,
    rejected: IntCounter,
    fetches: IntCounterVec,
    requests: IntCounterVec,
    bytes: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    pub(super) fn register(registry: &Registry) -> Result<Self> {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let metrics = Self {
            version: IntGauge::new("sycamore_config_version", "Configuration in force.")?,
            rejected: IntCounter::new(
                "sycamore_config_rejected_total",
                "Configurations that were rejected.",
            )?,
            fetches: counters(
                "sycamore_config_fetches_total",
                "Fetches of configuration objects.",
                "result",
            )?,
            requests: counters(
                "sycamore_platform_requests_total",
                "Requests to the platform.",
                "kind",
            )?,
            bytes: counters(
                "sycamore_platform_bytes_total",
                "Bytes to and from the platform, headers included.",
                "direction",
            )?,
        };
        registry.register(Box::new(metrics.version.clone()))?;
        registry.register(Box::new(metrics.rejected.clone()))?;
        registry.register(Box::new(metrics.fetches.clone()))?;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.bytes.clone()))?;
        Ok(metrics)
    }

    /// A configuration came into force.
    pub(super) fn applied(&self, version: ConfigVersion) {
        self.version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
    }

    /// A configuration was rejected.
    pub(super) fn rejected(&self) {
        self.rejected.inc();
    }

    /// A peer gave objects.
    pub(super) fn fetched_from_peer(&self) {
        self.fetches.with_label_values(&["peer"]).inc();
    }

    /// A peer had nothing or did not answer.
    pub(super) fn missed_at_peer(&self) {
        self.fetches.with_label_values(&["peer-miss"]).inc();
    }

    /// The object store gave a configuration.
    pub(super) fn fetched_from_store(&self) {
        self.fetches.with_label_values(&["store"]).inc();
    }

    /// Takes over the counts of the platform's client.
    pub(super) fn platform(&self, traffic: &Traffic) {
        let counts = [
            ("read", &traffic.reads),
            ("write", &traffic.writes),
            ("failed", &traffic.failures),
            ("throttled", &traffic.throttled),
        ];
        for (kind, count) in counts {
            raise(&self.requests.with_label_values(&[kind]), count.get());
        }
        raise(&self.bytes.with_label_values(&["out"]), traffic.sent.get());
        raise(&self.bytes.with_label_values(&["in"]), traffic.received.get());
    }
}

/// Raises `counter` to `total`.
fn raise(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
