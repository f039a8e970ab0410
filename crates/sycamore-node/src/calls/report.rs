//! State that the local upstream reports about itself in its answers, and the calls sent to it while
//! it names a rate limit.

use super::meta::{set, text, CallMeta};
use super::slot;
use super::state::State;
use crate::edge::{ReportedRate, UpstreamReport};
use crate::hub::AnnouncedUpstream;
use http::HeaderMap;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use sycamore_call::admit::Input;
use sycamore_call::report::{LimitReport, ProcessReport, ReportChange, ReportLog};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Time between two log lines about the calls sent to an upstream that names a rate limit.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(4);

/// Maximum time by which the processes of an instance that starts anew start apart.
const START_SKEW: Duration = Duration::from_secs(1);

/// Reports of the local upstream, and counts of the calls sent to it.
#[derive(Default)]
pub(super) struct Reports {
    log: RefCell<ReportLog>,
    /// Whether the last answer of the process named a limit that can't be read.
    malformed: Cell<bool>,
    sent: Cell<SentCalls>,
    summarised_at: Cell<Time>,
}

/// Kind of a call that is sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SentKind {
    /// First attempt of a caller's call.
    First,
    /// Further attempt of a call.
    Retry,
    /// Call that another upstream makes.
    Inner,
}

impl SentKind {
    /// Returns the kind as metrics carry it.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Inner => "inner",
        }
    }

    fn of(meta: &CallMeta) -> Self {
        match meta.attempt {
            2.. => Self::Retry,
            _ if meta.depth.level > 1 => Self::Inner,
            _ => Self::First,
        }
    }
}

/// Numbers of calls sent to the upstream since the last log line about them.
#[derive(Debug, Clone, Copy, Default)]
struct SentCalls {
    first: u32,
    retry: u32,
    inner: u32,
}

impl Reports {
    /// Returns the rate limit in force.
    pub(super) fn limit(&self) -> Option<RateLimit> {
        self.log.borrow().limit()
    }

    /// Returns whether `process` reported that it is leaving.
    pub(super) fn is_leaving(&self, process: ProcessId) -> bool {
        let log = self.log.borrow();
        log.process() == Some(process) && log.is_leaving()
    }
}

/// Begins the reports of an announced process, unless they have begun.
pub(super) fn begin(state: &State, upstream: &AnnouncedUpstream) {
    let is_new = state.reports.log.borrow().process() != Some(upstream.process);
    if is_new {
        state.reports.log.borrow_mut().begin(upstream.process);
        state.reports.malformed.set(false);
        state.metrics.set_rate_limit(None);
        state.upstreams.close_idle_before(upstream.address, Instant::now());
        slot::step(state, Input::Limit(None));
        if is_older_than_node(state, upstream) {
            slot::step(state, Input::ProbeLimit);
        }
    }
}

/// Returns whether the process started before this node did, so that it may have told an earlier
/// process of the node about a limit.
fn is_older_than_node(state: &State, upstream: &AnnouncedUpstream) -> bool {
    let node_started = WallTime(state.hub.incarnation.0);
    upstream.started.is_some_and(|started| node_started.since(started) > START_SKEW)
}

/// Adds what this node knows of its upstream process to the header fields of an answer to another
/// node, if that keeps calls from the process.
pub(super) fn write_report(state: &State, fields: &mut HeaderMap) {
    let report = state.reports.log.borrow().report();
    // The limit in force is lower than the reported one while the upstream warms up.
    let in_force = state.admission.borrow().rate_limit();
    let report = report.map(|report| ProcessReport {
        limit: in_force.map_or(report.limit, LimitReport::Limit),
        ..report
    });
    if let Some(report) = report.filter(ProcessReport::is_restrictive) {
        set(fields, headers::REPORT, &report.to_string());
    }
}

/// Adds what this node knows of the upstream process of `instance` to the header fields of an answer
/// to the node that a keyed call entered at, which has no other way to learn it.
pub(super) fn write_report_of(state: &State, instance: &InstanceId, fields: &mut HeaderMap) {
    if let Some(report) = state.router.borrow().report_of(instance) {
        set(fields, headers::REPORT, &report.to_string());
        set(fields, headers::REPORT_OF, instance.as_str());
    }
}

/// Learns what the owner of a key says of an upstream process in the header fields of its answer.
pub(super) fn learn_report_of(state: &State, fields: &HeaderMap) {
    let instance = text(fields, headers::REPORT_OF).and_then(|name| InstanceId::new(name).ok());
    if let (Some(instance), Some(report)) = (instance, read_report(fields)) {
        state.router.borrow_mut().learn_report(state.now(), &instance, report);
    }
}

/// Returns what another node said of an upstream process in the header fields of its message; `None`
/// if that is nothing, or can't be read.
pub(super) fn read_report(fields: &HeaderMap) -> Option<ProcessReport> {
    text(fields, headers::REPORT)?.parse().ok()
}

/// Takes over what the sender of a relayed call heard from the local upstream process, which this
/// node may not know after its restart.
pub(super) fn adopt(state: &State, upstream: &AnnouncedUpstream, report: &ProcessReport) {
    begin(state, upstream);
    let mut log = state.reports.log.borrow_mut();
    let limited = match report.limit {
        LimitReport::Limit(limit) => log.adopt_limit(report.process, state.now(), limit),
        LimitReport::Unlimited | LimitReport::Unknown => None,
    };
    let leaving = report.is_leaving.then(|| log.record_leaving(report.process)).flatten();
    drop(log);
    for change in limited.into_iter().chain(leaving) {
        apply(state, upstream, change, "peer");
    }
}

/// Takes over a leave of the local upstream that no answer reported, so that other nodes are told.
pub(super) fn adopt_leave(state: &State, upstream: &AnnouncedUpstream) {
    if upstream.has_left {
        begin(state, upstream);
        state.reports.log.borrow_mut().record_leaving(upstream.process);
    }
}

/// Counts a call that is about to be sent to the upstream.
pub(super) fn count_sent(state: &State, meta: &CallMeta) {
    let kind = SentKind::of(meta);
    state.metrics.count_sent(kind);
    let mut sent = state.reports.sent.get();
    match kind {
        SentKind::First => sent.first += 1,
        SentKind::Retry => sent.retry += 1,
        SentKind::Inner => sent.inner += 1,
    }
    state.reports.sent.set(sent);
}

/// Records what an answer of `upstream` reports, to a call that was sent at `sent_at`.
pub(super) fn record(
    state: &State,
    upstream: &AnnouncedUpstream,
    sent_at: Time,
    report: UpstreamReport,
) {
    let limit = match report.rate {
        ReportedRate::Unlimited => LimitReport::Unlimited,
        ReportedRate::Limit(limit) => LimitReport::Limit(limit),
        ReportedRate::Malformed => LimitReport::Unknown,
    };
    log_malformed(state, upstream, limit == LimitReport::Unknown);
    let mut log = state.reports.log.borrow_mut();
    let was_heard = log.is_heard();
    let limited = log.record_limit(upstream.process, sent_at, state.now(), limit);
    let leaving = report.leaving.then(|| log.record_leaving(upstream.process)).flatten();
    let in_force = log.limit();
    let is_first = !was_heard && log.is_heard();
    drop(log);
    if is_first {
        slot::step(state, Input::Limit(in_force));
    }
    for change in limited.into_iter().chain(leaving) {
        apply(state, upstream, change, "answer");
    }
}

/// Applies a change of what is known of the local upstream, heard `from` an answer or a peer.
fn apply(state: &State, upstream: &AnnouncedUpstream, change: ReportChange, from: &str) {
    let name = upstream.name.as_deref().unwrap_or("-");
    match change {
        ReportChange::Limit(limit) => {
            state.metrics.set_rate_limit(limit);
            info!(state.hub.log, "upstream rate limit changed";
                "upstream" => name,
                "rate_limit" => limit_text(limit),
                "from" => from);
            slot::step(state, Input::Limit(limit));
        }
        ReportChange::Leaving => {
            info!(state.hub.log, "upstream reported leaving"; "upstream" => name, "from" => from);
            state.hub.record_leave(upstream.process);
        }
    }
}

/// Logs the first of successive answers that name a limit which can't be read.
fn log_malformed(state: &State, upstream: &AnnouncedUpstream, is_malformed: bool) {
    if is_malformed {
        state.metrics.count_malformed_report();
    }
    if is_malformed && !state.reports.malformed.replace(is_malformed) {
        warn!(state.hub.log, "upstream rate limit malformed";
            "upstream" => upstream.name.as_deref().unwrap_or("-"),
            "rate_limit" => limit_text(state.reports.limit()));
    }
    state.reports.malformed.set(is_malformed);
}

/// Logs the number of calls sent since the last such line while a rate limit is in force.
pub(super) fn log_summary(state: &State) {
    let reports = &state.reports;
    let now = state.now();
    let since = now.since(reports.summarised_at.get());
    if since < SUMMARY_INTERVAL {
        return;
    }
    reports.summarised_at.set(now);
    let sent = reports.sent.take();
    let Some(limit) = reports.limit() else { return };
    info!(state.hub.log, "calls to rate limited upstream";
        "rate_limit" => limit.to_string(),
        "period_ms" => since.as_millis(),
        "first" => sent.first,
        "retry" => sent.retry,
        "inner" => sent.inner,
        "beside" => state.admission.borrow().load(now).to_string());
}

/// Returns a rate limit as log lines carry it; `-` if there is none.
fn limit_text(limit: Option<RateLimit>) -> String {
    limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string())
}
