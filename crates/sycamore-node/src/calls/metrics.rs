//! Prometheus metrics of the call path.

use super::report::SentKind;
use crate::hub::Meter;
use error_stack::Report;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Registry,
};
use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::time::Duration;
use sycamore_call::Load;
use sycamore_types::prelude::*;

/// Maximum number of routes and services with a label value of their own; all others are counted as
/// [`OTHER`].
const MAX_NAMED_LABELS: usize = 64;
/// Label value of the routes and services beyond [`MAX_NAMED_LABELS`].
const OTHER: &str = "other";

/// Prometheus metrics of the call path.
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
    call_seconds: HistogramVec,
    wait_seconds: Histogram,
    run_seconds: HistogramVec,
    upstream: IntGaugeVec,
    sent: IntCounterVec,
    rate_limit: Gauge,
    malformed_reports: IntCounter,
    cold_suspicions: IntCounter,
    hedges: IntCounterVec,
    accounts: IntCounterVec,
    data_centres_out_of_use: IntGauge,
    suppressed_lines: IntCounter,
    /// Names that have a label value of their own.
    names: RefCell<HashSet<String>>,
}

/// State of the local upstream, as a label of the metric `upstream_state`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamState {
    /// The upstream has not announced itself, or its announcements have stopped.
    Absent,
    /// The upstream takes calls but is still warming up.
    Cold,
    /// The upstream takes calls at full speed.
    Warm,
    /// The upstream is draining and takes no new calls.
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
        let metrics = build(Meter::new(registry));
        let metrics = metrics.map_err(|err| Report::new(io::Error::other(err)))?;
        metrics.set_rate_limit(None);
        Ok(metrics)
    }

    /// Counts an answer by its outcome and reason.
    pub(super) fn count_answer(&self, outcome: &str, reason: &str) {
        self.answers.with_label_values(&[outcome, reason]).inc();
    }

    /// Records the time from the arrival of a call of `route` to the end of its answer, at the node
    /// that the call came in at.
    pub(super) fn observe_call(&self, route: &RouteName, took: Duration) {
        self.call_seconds
            .with_label_values(&[&self.label(route.as_str())])
            .observe(took.as_secs_f64());
    }

    /// Records the time that a call waited for a slot of the upstream or for its refusal.
    pub(super) fn observe_wait(&self, waited: Duration) {
        self.wait_seconds.observe(waited.as_secs_f64());
    }

    /// Records the time that a call ran on the local upstream, by how the run ended.
    pub(super) fn observe_run(&self, end: OutcomeKind, took: Duration) {
        self.run_seconds.with_label_values(&[end.as_str()]).observe(took.as_secs_f64());
    }

    /// Counts an announcement of the upstream by its result: `taken`, `earlier` or `malformed`.
    pub(super) fn count_announcement(&self, result: &str) {
        self.announcements.with_label_values(&[result]).inc();
    }

    /// Sets the state of the upstream: 1 at the label of `now`, 0 at the others.
    pub(super) fn set_upstream_state(&self, now: UpstreamState) {
        for (state, label) in UpstreamState::ALL {
            self.upstream.with_label_values(&[label]).set(i64::from(state == now));
        }
    }

    /// Counts a call that is sent to the local upstream.
    pub(super) fn count_sent(&self, kind: SentKind) {
        self.sent.with_label_values(&[kind.as_str()]).inc();
    }

    /// Sets the gauge of the rate limit that the local upstream names; infinite if it names none.
    pub(super) fn set_rate_limit(&self, limit: Option<RateLimit>) {
        self.rate_limit.set(limit.map_or(f64::INFINITY, RateLimit::per_second));
    }

    /// Counts an answer of the local upstream that names a rate limit which can't be read.
    pub(super) fn count_malformed_report(&self) {
        self.malformed_reports.inc();
    }

    /// Counts a suspicion that the local upstream is cold.
    pub(super) fn count_cold_suspicion(&self) {
        self.cold_suspicions.inc();
    }

    /// Sets the number of data centres that are out of use.
    pub(super) fn set_data_centres_out_of_use(&self, count: usize) {
        self.data_centres_out_of_use.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a second attempt by its result: `won`, `lost` or `failed`.
    pub(super) fn count_hedge(&self, result: &str) {
        self.hedges.with_label_values(&[result]).inc();
    }

    /// Counts a call of a client account with a rate, by whether it had credit.
    pub(super) fn count_account(&self, account: &AccountName, outcome: &str) {
        self.accounts.with_label_values(&[&self.label(account.as_str()), outcome]).inc();
    }

    /// Counts an attempt by its `number` within the call, from 1: first attempts and retries.
    pub(super) fn count_attempt(&self, number: u8) {
        match number {
            1 => self.first_attempts.inc(),
            _ => self.retries.inc(),
        }
    }

    /// Counts a failed attempt and sets the number of retries left in the budget of `service`.
    pub(super) fn count_failed_attempt(
        &self,
        service: &ServiceName,
        failure: &str,
        retries_saved: f64,
    ) {
        self.failures.with_label_values(&[failure]).inc();
        let name = self.label(service.as_str());
        self.retries_saved.with_label_values(&[&name]).set(retries_saved);
    }

    /// Counts a log line that the rate limit suppressed.
    pub(super) fn count_suppressed_line(&self) {
        self.suppressed_lines.inc();
    }

    /// Sets the gauges of the upstream's load.
    pub(super) fn set_load(&self, load: Load) {
        self.running.set(load.running.into());
        self.limit.set(load.limit.into());
        self.queued.set(load.queued.into());
    }

    /// Returns the gauge of open accepted connections.
    pub(super) fn connections(&self) -> &IntGauge {
        &self.connections
    }

    /// Returns the gauge of memory reserved for request bodies in transit, in bytes.
    pub(super) fn body_bytes(&self) -> &IntGauge {
        &self.body_bytes
    }

    /// Returns the label value for a route or service. Names come from configurations, so that the
    /// number of label values must be bounded here.
    fn label(&self, name: &str) -> String {
        let mut names = self.names.borrow_mut();
        if names.contains(name) || (names.len() < MAX_NAMED_LABELS && names.insert(name.to_owned()))
        {
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
        running: meter.gauge("calls_running", "Calls running on the local upstream")?,
        limit: meter.gauge("calls_limit", "Maximum number of calls that run on the upstream")?,
        queued: meter.gauge("calls_queued", "Calls waiting for a slot of the upstream")?,
        connections: meter.gauge("calls_connections", "Open connections that were accepted")?,
        body_bytes: meter
            .gauge("calls_body_bytes", "Bytes reserved for request bodies in transit")?,
        call_seconds: meter.times_by(
            "call_seconds",
            "Time from a caller's request to the end of its answer by an upstream",
            &["route"],
        )?,
        wait_seconds: meter
            .times("call_wait_seconds", "Time that calls waited for a slot or a refusal")?,
        run_seconds: meter.times_by(
            "call_run_seconds",
            "Time that calls ran on the local upstream",
            &["end"],
        )?,
        upstream: meter.gauges(
            "upstream_state",
            "1 for the current state of the local upstream, 0 for the others",
            &["state"],
        )?,
        sent: meter.counters(
            "upstream_calls_total",
            "Calls sent to the local upstream: first attempts, retries, and calls of upstreams",
            &["kind"],
        )?,
        rate_limit: meter.level(
            "upstream_rate_limit",
            "Requests per second that the local upstream takes by its answers; +Inf without limit",
        )?,
        malformed_reports: meter.counter(
            "upstream_rate_limit_malformed_total",
            "Answers of the local upstream with a rate limit that can't be read",
        )?,
        cold_suspicions: meter.counter(
            "upstream_cold_suspicions_total",
            "Times at which the local upstream was paced since it might be cold",
        )?,
        hedges: meter.counters(
            "call_hedges_total",
            "Second attempts for slow calls: won, lost or failed",
            &["result"],
        )?,
        accounts: meter.counters(
            "account_calls_total",
            "Calls of client accounts with a rate: with credit, over the rate, home unreachable",
            &["account", "outcome"],
        )?,
        data_centres_out_of_use: meter.gauge(
            "data_centres_out_of_use",
            "Data centres that operators have taken out of use",
        )?,
        suppressed_lines: meter
            .counter("log_left_out_total", "Log lines about calls over the limit per second")?,
        names: RefCell::default(),
    })
}
