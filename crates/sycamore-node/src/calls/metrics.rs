//! Metrics of calls.

use crate::hub::Meter;
use error_stack::Report;
use prometheus::{
    GaugeVec, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
};
use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::time::Duration;
use sycamore_call::Load;
use sycamore_types::prelude::*;

/// Routes and services that metrics name at most; the rest is counted as [`OTHER`].
const MAX_NAMES: usize = 64;
/// Stands for all that is not named.
const OTHER: &str = "other";

/// Metrics of calls.
pub(super) struct Metrics {
    answers: IntCounterVec,
    announcements: IntCounterVec,
    first_attempts: IntCounter,
    retries: IntCounter,
    failures: IntCounterVec,
    retries_saved: GaugeVec,
    running: IntGauge,
    limit: IntGauge,
    queued: IntGauge,
    connections: IntGauge,
    body_bytes: IntGauge,
    took: HistogramVec,
    waited: Histogram,
    ran: HistogramVec,
    upstream: IntGaugeVec,
    left_out: IntCounter,
    names: RefCell<HashSet<String>>,
}

/// What the upstream beside the node is doing, as metrics name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamState {
    /// It has not announced itself, or has been silent for too long.
    Absent,
    /// It takes calls and is slow yet.
    Cold,
    /// It takes calls.
    Warm,
    /// It asked to leave.
    Leaving,
}

impl UpstreamState {
    const ALL: [(Self, &'static str); 4] = [
        (Self::Absent, "absent"),
        (Self::Cold, "cold"),
        (Self::Warm, "warm"),
        (Self::Leaving, "leaving"),
    ];
}

impl Metrics {
    pub(super) fn new(registry: &Registry) -> Result<Self, Report<io::Error>> {
        build(Meter::new(registry)).map_err(|err| Report::new(io::Error::other(err)))
    }

    /// Counts an answer.
    pub(super) fn answered(&self, outcome: &str, reason: &str) {
        self.answers.with_label_values(&[outcome, reason]).inc();
    }

    /// Notes how long an upstream's answer to a call of `route` took, at the node of its caller.
    pub(super) fn took(&self, route: &RouteName, took: Duration) {
        self.took.with_label_values(&[&self.name(route.as_str())]).observe(took.as_secs_f64());
    }

    /// Notes how long a call waited for a slot of the upstream, or for its refusal.
    pub(super) fn waited(&self, waited: Duration) {
        self.waited.observe(waited.as_secs_f64());
    }

    /// Notes how long a call was with the upstream beside the node, and how that ended.
    pub(super) fn ran(&self, end: OutcomeKind, took: Duration) {
        self.ran.with_label_values(&[end.as_str()]).observe(took.as_secs_f64());
    }

    /// Counts an announcement of the upstream by what became of it.
    pub(super) fn announcement(&self, result: &str) {
        self.announcements.with_label_values(&[result]).inc();
    }

    /// Sets what the upstream is doing.
    pub(super) fn upstream(&self, now: UpstreamState) {
        for (state, label) in UpstreamState::ALL {
            self.upstream.with_label_values(&[label]).set(i64::from(state == now));
        }
    }

    /// Counts the attempt with this number, from 1.
    pub(super) fn attempt(&self, number: u8) {
        match number {
            1 => self.first_attempts.inc(),
            _ => self.retries.inc(),
        }
    }

    /// Counts a failed attempt, and sets the retries that the budget of `service` allows now.
    pub(super) fn failed(&self, service: &ServiceName, failure: &str, retries_saved: f64) {
        self.failures.with_label_values(&[failure]).inc();
        let name = self.name(service.as_str());
        self.retries_saved.with_label_values(&[&name]).set(retries_saved);
    }

    /// Counts a line about a call that its budget left out.
    pub(super) fn left_out(&self) {
        self.left_out.inc();
    }

    /// Sets the load of the upstream.
    pub(super) fn load(&self, load: Load) {
        self.running.set(load.running.into());
        self.limit.set(load.limit.into());
        self.queued.set(load.queued.into());
    }

    /// The number of open connections.
    pub(super) fn connections(&self) -> &IntGauge {
        &self.connections
    }

    /// The memory that bodies under way hold.
    pub(super) fn body_bytes(&self) -> &IntGauge {
        &self.body_bytes
    }

    /// The label for `name`: names come from configurations, and labels are bounded.
    fn name(&self, name: &str) -> String {
        let mut names = self.names.borrow_mut();
        if names.contains(name) || (names.len() < MAX_NAMES && names.insert(name.to_owned())) {
            return name.to_owned();
        }
        OTHER.to_owned()
    }
}

fn build(meter: Meter<'_>) -> prometheus::Result<Metrics> {
    Ok(Metrics {
        answers: meter.counters(
            "call_answers_total",
            "Answers given to calls",
            &["outcome", "reason"],
        )?,
        announcements: meter.counters(
            "announcements_total",
            "Announcements of the upstream",
            &["result"],
        )?,
        first_attempts: meter.counter("call_first_attempts_total", "First attempts of calls")?,
        retries: meter.counter("call_retries_total", "Further attempts of calls")?,
        failures: meter.counters(
            "call_attempt_failures_total",
            "Attempts that failed",
            &["failure"],
        )?,
        retries_saved: meter.levels(
            "call_retries_saved",
            "Retries that the budget of a service allowed after its last failed attempt",
            &["service"],
        )?,
        running: meter.gauge("calls_running", "Calls that run on the upstream")?,
        limit: meter.gauge("calls_limit", "Calls that may run on the upstream")?,
        queued: meter.gauge("calls_queued", "Calls that wait for the upstream")?,
        connections: meter.gauge("calls_connections", "Connections accepted and open")?,
        body_bytes: meter
            .gauge("calls_body_bytes", "Memory that bodies under way hold, in bytes")?,
        took: meter.times_by(
            "call_seconds",
            "Time from a caller's request to the end of its answer by an upstream",
            &["route"],
        )?,
        waited: meter.times("call_wait_seconds", "Time to a slot of the upstream or a refusal")?,
        ran: meter.times_by(
            "call_run_seconds",
            "Time of a call at the upstream beside the node",
            &["end"],
        )?,
        upstream: meter.gauges(
            "upstream_state",
            "1 at what the upstream beside the node is doing",
            &["state"],
        )?,
        left_out: meter
            .counter("log_left_out_total", "Lines about calls over their budget a second")?,
        names: RefCell::default(),
    })
}
