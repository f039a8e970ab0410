//! What a node depends on, and whether it has it.

use super::Meter;
use prometheus::{IntCounterVec, IntGaugeVec, Result};
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::time::Duration;
use sycamore_types::prelude::*;

/// What a node can't do its whole work without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dependency {
    /// The platform's table, as far as this node follows it.
    Platform,
    /// The upstream beside the node.
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

/// Since when each dependency is lost.
pub struct Dependencies {
    up: IntGaugeVec,
    losses: IntCounterVec,
    platform: Cell<Option<Time>>,
    upstream: Cell<Option<Time>>,
}

impl Dependencies {
    /// Nothing is lost; what has not been reached yet is not up either.
    pub(super) fn new(meter: Meter<'_>) -> Result<Self> {
        let labels = &["dependency"];
        let dependencies = Self {
            up: meter.gauges("dependency_up", "1 while a dependency answers", labels)?,
            losses: meter.counters("dependency_losses_total", "Times it was lost", labels)?,
            platform: Cell::default(),
            upstream: Cell::default(),
        };
        for dependency in [Dependency::Platform, Dependency::Upstream] {
            dependencies.up.with_label_values(&[dependency.as_str()]).set(0);
        }
        Ok(dependencies)
    }

    /// Notes that `dependency` answers at `now`.
    pub fn reached(&self, log: &Logger, now: Time, dependency: Dependency) {
        self.up.with_label_values(&[dependency.as_str()]).set(1);
        if let Some(since) = self.lost_since(dependency).take() {
            info!(log, "{} regained", dependency.as_str();
                "away_ms" => now.since(since).as_millis());
        }
    }

    /// Notes that `dependency` is lost at `now`, for the reason `why`; only the first time counts.
    pub fn lost(&self, log: &Logger, now: Time, dependency: Dependency, why: &str) {
        let since = self.lost_since(dependency);
        if since.get().is_none() {
            since.set(Some(now));
            self.up.with_label_values(&[dependency.as_str()]).set(0);
            self.losses.with_label_values(&[dependency.as_str()]).inc();
            warn!(log, "{} lost", dependency.as_str(); "why" => why);
        }
    }

    /// Time for which `dependency` has been lost at `now`.
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
