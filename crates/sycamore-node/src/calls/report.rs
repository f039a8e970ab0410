//! State that the local upstream reports about itself in its answers, and the calls sent to it while
//! it names a rate limit.

use super::meta::CallMeta;
use super::state::State;
use crate::edge::{ReportedRate, UpstreamReport};
use crate::hub::AnnouncedUpstream;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use sycamore_call::report::{LimitReport, ReportChange, ReportLog};
use sycamore_types::prelude::*;

/// Time between two log lines about the calls sent to an upstream that names a rate limit.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(4);

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
}

/// Begins the reports of an announced process, unless they have begun.
pub(super) fn begin(state: &State, upstream: &AnnouncedUpstream) {
    let is_new = state.reports.log.borrow().process() != Some(upstream.process);
    if is_new {
        state.reports.log.borrow_mut().begin(upstream.process);
        state.reports.malformed.set(false);
        state.metrics.set_rate_limit(None);
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
    let limited = log.record_limit(upstream.process, sent_at, state.now(), limit);
    let leaving = report.leaving.then(|| log.record_leaving(upstream.process)).flatten();
    drop(log);
    for change in limited.into_iter().chain(leaving) {
        apply(state, upstream, change);
    }
}

fn apply(state: &State, upstream: &AnnouncedUpstream, change: ReportChange) {
    let name = upstream.name.as_deref().unwrap_or("-");
    match change {
        ReportChange::Limit(limit) => {
            state.metrics.set_rate_limit(limit);
            info!(state.hub.log, "upstream rate limit changed";
                "upstream" => name,
                "rate_limit" => limit_text(limit));
        }
        ReportChange::Leaving => {
            info!(state.hub.log, "upstream reported leaving"; "upstream" => name);
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
        "beside" => state.admission.borrow().load().to_string());
}

/// Returns a rate limit as log lines carry it; `-` if there is none.
pub(super) fn limit_text(limit: Option<RateLimit>) -> String {
    limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string())
}
