//! Metrics of configurations and of requests to the platform.

use crate::hub::{raise_to, Meter};
use prometheus::{
    Gauge, Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry, Result,
};
use std::time::Duration;
use sycamore_config::{ConfigSize, Role};
use sycamore_platform::http::Traffic;
use sycamore_types::prelude::*;

/// Metrics of configurations and of requests to the platform.
pub(super) struct Metrics {
    version: IntGauge,
    known_version: IntGauge,
    rejected_version: IntGauge,
    resources: IntGauge,
    config_bytes: IntGauge,
    lag: Histogram,
    applied_at: Gauge,
    followed_at: Gauge,
    rejected: IntCounter,
    faulty_entries: IntGauge,
    fetches: IntCounterVec,
    deltas: IntCounterVec,
    role: IntGaugeVec,
    requests: IntCounterVec,
    bytes: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics with `registry`.
    pub(super) fn register(registry: &Registry) -> Result<Self> {
        let meter = Meter::new(registry);
        Ok(Self {
            version: meter.gauge("config_version", "Version of the configuration in force")?,
            known_version: meter.gauge(
                "config_known_version",
                "Highest version known from peers or the platform, in force or not",
            )?,
            rejected_version: meter.gauge(
                "config_rejected_version",
                "Highest version above the one in force that this node or a peer rejected, else 0",
            )?,
            resources: meter.gauge("config_resources", "Entries of the configuration in force")?,
            config_bytes: meter.gauge(
                "config_bytes",
                "Size of the encoded entries of the configuration in force, in bytes",
            )?,
            lag: meter.times(
                "config_lag_seconds",
                "Time from learning of a newer configuration to applying one, in seconds",
            )?,
            applied_at: meter.level(
                "config_applied_timestamp_seconds",
                "Unix time at which the configuration in force was applied, in seconds",
            )?,
            followed_at: meter.level(
                "config_followed_timestamp_seconds",
                "Unix time of the last successful read of operators' rows, in seconds",
            )?,
            rejected: meter
                .counter("config_rejected_total", "Rejected configurations and operator rows")?,
            faulty_entries: meter.gauge(
                "config_faulty_entries",
                "Entries of the operators' row, as this node read it last, that can't be applied",
            )?,
            fetches: meter.counters(
                "config_fetches_total",
                "Fetches of configuration objects, by result",
                &["result"],
            )?,
            deltas: meter.counters(
                "config_deltas_total",
                "Datagrams about differences between configurations, by event",
                &["event"],
            )?,
            role: meter.gauges(
                "config_reader_role",
                "1 for this node's role in reading operators' rows, 0 for the others",
                &["role"],
            )?,
            requests: meter.counters(
                "platform_requests_total",
                "Requests to the platform, by kind",
                &["kind"],
            )?,
            bytes: meter.counters(
                "platform_bytes_total",
                "Bytes sent to and received from the platform, headers included",
                &["direction"],
            )?,
        })
    }

    /// Records that `version` is the highest known one.
    pub(super) fn record_known(&self, version: ConfigVersion) {
        self.known_version.set(gauge_value(version));
    }

    /// Records that `version` is the highest rejected one above the one in force; version 0 if
    /// there is none.
    pub(super) fn record_rejected(&self, version: ConfigVersion) {
        self.rejected_version.set(gauge_value(version));
    }

    /// Records that configuration `version` of this `size` was applied at `at`, `lag` after this
    /// node learned of a newer version than the one in force before.
    pub(super) fn record_applied(
        &self,
        version: ConfigVersion,
        size: ConfigSize,
        at: WallTime,
        lag: Duration,
    ) {
        self.applied_at.set(seconds(at));
        self.version.set(gauge_value(version));
        self.resources.set(i64::try_from(size.resources).unwrap_or(i64::MAX));
        self.config_bytes.set(i64::try_from(size.bytes).unwrap_or(i64::MAX));
        self.lag.observe(lag.as_secs_f64());
    }

    /// Records how many entries of the operators' row can't be applied.
    pub(super) fn record_faulty_entries(&self, count: usize) {
        self.faulty_entries.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records that a read of operators' rows succeeded at `at`, with or without changes.
    pub(super) fn record_rows_read(&self, at: WallTime) {
        self.followed_at.set(seconds(at));
    }

    /// Records this node's role in reading operators' rows.
    pub(super) fn record_role(&self, role: Role) {
        for each in [Role::Follower, Role::Watcher, Role::Stale, Role::Unconfigured] {
            self.role.with_label_values(&[each.as_str()]).set(i64::from(each == role));
        }
    }

    /// Counts a rejected configuration or operator row.
    pub(super) fn count_rejected(&self) {
        self.rejected.inc();
    }

    /// Counts a fetch that a peer answered with objects.
    pub(super) fn count_peer_fetch(&self) {
        self.fetches.with_label_values(&["peer"]).inc();
    }

    /// Counts a fetch for which the peer had no object or sent no answer in time.
    pub(super) fn count_peer_miss(&self) {
        self.fetches.with_label_values(&["peer-miss"]).inc();
    }

    /// Counts a fetch that the object store answered with a configuration.
    pub(super) fn count_store_fetch(&self) {
        self.fetches.with_label_values(&["store"]).inc();
    }

    /// Counts `event` of a delta: a request or an answer of this node, or a received answer.
    pub(super) fn count_delta(&self, event: &str) {
        self.deltas.with_label_values(&[event]).inc();
    }

    /// Copies the request and byte counts of the platform client.
    pub(super) fn copy_platform_traffic(&self, traffic: &Traffic) {
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

fn gauge_value(version: ConfigVersion) -> i64 {
    i64::try_from(version.0).unwrap_or(i64::MAX)
}
