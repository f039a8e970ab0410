//! Tracks whether the platform and the local upstream answer.

use super::Meter;
use prometheus::{IntCounterVec, IntGaugeVec, Result};
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::time::Duration;
use sycamore_types::prelude::*;

/// External system that a node needs for full service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dependency {
    /// The platform's table, as far as this node watches it.
    Platform,
    /// The local upstream.
    Upstream,
}

impl Dependency {
    fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Upstream => "upstream",
        }
    }
}

/// Time of loss of each lost dependency, with the metrics of losses.
pub struct Dependencies {
    up: IntGaugeVec,
    losses: IntCounterVec,
    platform: Cell<Option<Time>>,
    upstream: Cell<Option<Time>>,
}

impl Dependencies {
    /// Registers the metrics; at first no dependency is lost and none is up.
    pub(super) fn new(meter: Meter<'_>) -> Result<Self> {
        let labels = &["dependency"];
        let dependencies = Self {
            up: meter.gauges("dependency_up", "1 while the dependency answers, else 0", labels)?,
            losses: meter.counters(
                "dependency_losses_total",
                "Times the dependency stopped answering",
                labels,
            )?,
            platform: Cell::default(),
            upstream: Cell::default(),
        };
        for dependency in [Dependency::Platform, Dependency::Upstream] {
            dependencies.up.with_label_values(&[dependency.as_str()]).set(0);
        }
        Ok(dependencies)
    }

    /// Records that `dependency` answered at `now`, and logs the end of an outage.
    pub fn record_reached(&self, log: &Logger, now: Time, dependency: Dependency) {
        self.up.with_label_values(&[dependency.as_str()]).set(1);
        if let Some(since) = self.lost_since(dependency).take() {
            info!(log, "{} regained", dependency.as_str();
                "away_ms" => now.since(since).as_millis());
        }
    }

    /// Records that `dependency` is lost since `now`, with the reason `why` for the log. Repeated
    /// calls in one outage have no effect.
    pub fn record_lost(&self, log: &Logger, now: Time, dependency: Dependency, why: &str) {
        let since = self.lost_since(dependency);
        if since.get().is_none() {
            since.set(Some(now));
            self.up.with_label_values(&[dependency.as_str()]).set(0);
            self.losses.with_label_values(&[dependency.as_str()]).inc();
            warn!(log, "{} lost", dependency.as_str(); "why" => why);
        }
    }

    /// Returns the length of the outage of `dependency` at `now`; `None` while it is not lost.
    pub fn lost_for(&self, now: Time, dependency: Dependency) -> Option<Duration> {
        self.lost_since(dependency).get().map(|since| now.since(since))
    }

    fn lost_since(&self, dependency: Dependency) -> &Cell<Option<Time>> {
        match dependency {
            Dependency::Platform => &self.platform,
            Dependency::Upstream => &self.upstream,
        }
    }
}
