//! Metrics of configurations and of the platform.

use crate::hub::{raise_to, Meter};
use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Registry, Result};
use sycamore_platform::http::Traffic;
use sycamore_types::prelude::*;

/// Metrics of configurations and of the platform.
pub(super) struct Metrics {
    version: IntGauge,
    applied_at: Gauge,
    followed_at: Gauge,
    rejected: IntCounter,
    fetches: IntCounterVec,
    requests: IntCounterVec,
    bytes: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    pub(super) fn register(registry: &Registry) -> Result<Self> {
        let meter = Meter::new(registry);
        Ok(Self {
            version: meter.gauge("config_version", "Configuration in force")?,
            applied_at: meter.level(
                "config_applied_timestamp_seconds",
                "When the configuration came into force, in seconds since the Unix epoch",
            )?,
            followed_at: meter.level(
                "config_followed_timestamp_seconds",
                "When this node last heard from the platform that nothing newer is there",
            )?,
            rejected: meter
                .counter("config_rejected_total", "Configurations that were rejected")?,
            fetches: meter.counters(
                "config_fetches_total",
                "Fetches of configuration objects",
                &["result"],
            )?,
            requests: meter.counters(
                "platform_requests_total",
                "Requests to the platform",
                &["kind"],
            )?,
            bytes: meter.counters(
                "platform_bytes_total",
                "Bytes to and from the platform, headers included",
                &["direction"],
            )?,
        })
    }

    /// A configuration came into force.
    pub(super) fn applied(&self, version: ConfigVersion, at: WallTime) {
        self.applied_at.set(seconds(at));
        self.version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
    }

    /// The platform told at `at` what is new, or that nothing is.
    pub(super) fn followed(&self, at: WallTime) {
        self.followed_at.set(seconds(at));
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
            raise_to(&self.requests.with_label_values(&[kind]), count.get());
        }
        raise_to(&self.bytes.with_label_values(&["out"]), traffic.sent.get());
        raise_to(&self.bytes.with_label_values(&["in"]), traffic.received.get());
    }
}

fn seconds(at: WallTime) -> f64 {
    at.0 as f64 / 1_000.0
}
