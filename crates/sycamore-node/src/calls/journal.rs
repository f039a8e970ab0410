//! Rate-limited log lines about calls: decisions, the values they were based on, and outcomes.
//!
//! Failed, refused and slow calls have a large budget of lines per second, successful calls a small
//! one. Suppressed lines are counted, and the next line gives their number as `left_out`.

use super::answer::{Answer, Outcome};
use super::exchange::{AnswerHead, Sent};
use super::meta::CallMeta;
use super::state::State;
use crate::edge::ReportedRate;
use http::HeaderValue;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use sycamore_call::{AttemptFailure, Choice, Load};
use sycamore_platform::budget::TokenBucket;
use sycamore_settings::operator::Log;
use sycamore_types::prelude::*;

/// Rate limits of log lines about calls.
pub(super) struct CallLog {
    failures: RefCell<TokenBucket>,
    successes: RefCell<TokenBucket>,
    /// Number of lines suppressed since the last line that was written.
    suppressed: Cell<u64>,
    /// Duration from which a call counts as slow.
    slow: Duration,
}

impl CallLog {
    pub(super) fn new(settings: &Log, now: Time) -> Self {
        let bucket = |per_s: u32| {
            let per_s = f64::from(per_s.max(1));
            RefCell::new(TokenBucket::new(per_s, per_s, now))
        };
        Self {
            failures: bucket(settings.failures_per_s),
            successes: bucket(settings.successes_per_s),
            suppressed: Cell::new(0),
            slow: settings.slow,
        }
    }

    /// Returns the number of lines suppressed before this one; `None` if this one is suppressed
    /// too.
    fn admit(&self, state: &State, bucket: &RefCell<TokenBucket>) -> Option<u64> {
        if bucket.borrow_mut().take(state.now()).is_ok() {
            return Some(self.suppressed.take());
        }
        self.suppressed.set(self.suppressed.get() + 1);
        state.metrics.count_suppressed_line();
        None
    }
}

/// Returns the caller's identifier of a request as text; `-` if it is absent or not ASCII.
pub(super) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Logs a call that the node refused or failed itself, without an upstream's answer.
pub(super) fn log_own_answer(state: &State, id: Option<&HeaderValue>, answer: &Answer) {
    let call_log = &state.call_log;
    let Some(left_out) = call_log.admit(state, &call_log.failures) else { return };
    let load = state.admission.borrow().load(state.now());
    let line = match answer.outcome {
        Outcome::NotRun => "call refused",
        Outcome::Unknown => "call failed",
    };
    warn!(state.hub.log, "{}", line;
        "request" => id_text(id),
        "status" => answer.status.as_u16(),
        "reason" => &answer.reason,
        "retry_after_ms" => answer.retry_after.map_or(0, |after| after.as_millis()),
        "beside" => load.to_string(),
        "config" => state.hub.snapshot.borrow().version.0,
        "left_out" => left_out);
}

/// Logs a failed attempt of a call, with the instance and version chosen for it.
pub(super) fn log_failed_attempt(
    state: &State,
    id: Option<&HeaderValue>,
    meta: &CallMeta,
    choice: &Choice,
    failure: AttemptFailure,
    retries_saved: f64,
) {
    let call_log = &state.call_log;
    let Some(left_out) = call_log.admit(state, &call_log.failures) else { return };
    warn!(state.hub.log, "attempt failed";
        "request" => id_text(id),
        "route" => %meta.route,
        "service" => %meta.service,
        "chosen" => %choice.instance,
        "version" => %choice.version,
        "failure" => format!("{failure:?}"),
        "left_ms" => meta.left(state.now()).as_millis(),
        "retries_saved" => format!("{retries_saved:.1}"),
        "left_out" => left_out);
}

/// Logs a call that an upstream answered, with the answer's status and the rate limit that it names,
/// at the node that the call came in at.
pub(super) fn log_answered_call(
    state: &State,
    id: Option<&HeaderValue>,
    meta: &CallMeta,
    instance: &InstanceId,
    (status, rate): (u16, ReportedRate),
    load: Load,
) {
    let call_log = &state.call_log;
    let took = state.now().since(meta.received_at);
    let failed_or_slow = status >= 500 || took >= call_log.slow;
    let bucket = if failed_or_slow { &call_log.failures } else { &call_log.successes };
    let Some(left_out) = call_log.admit(state, bucket) else { return };
    info!(state.hub.log, "call answered";
        "request" => id_text(id),
        "route" => %meta.route,
        "service" => %meta.service,
        "by" => %instance,
        "status" => status,
        "took_ms" => took.as_millis(),
        "load" => load.to_string(),
        "rate_limit" => rate_text(rate),
        "config" => state.hub.snapshot.borrow().version.0,
        "left_out" => left_out);
}

/// Returns the rate limit that an upstream's answer names as log lines carry it.
fn rate_text(rate: ReportedRate) -> String {
    match rate {
        ReportedRate::Unlimited => "-".to_owned(),
        ReportedRate::Limit(limit) => limit.to_string(),
        ReportedRate::Malformed => "malformed".to_owned(),
    }
}

/// Logs an answer that arrived although the connection failed before the request was sent whole: its
/// body may be cut.
pub(super) fn log_unsent_request(state: &State, id: Option<&HeaderValue>, answered: &AnswerHead) {
    let Sent::Failed(error) = answered.sent else { return };
    let call_log = &state.call_log;
    let Some(left_out) = call_log.admit(state, &call_log.failures) else { return };
    warn!(state.hub.log, "connection failed before the request was sent, answer read";
        "request" => id_text(id),
        "status" => answered.head.status.as_u16(),
        "framing" => format!("{:?}", answered.framing),
        "error" => format!("{error:?}"),
        "left_out" => left_out);
}

/// Logs the end of a call's run on the local upstream, unless it was answered with a status below
/// 500.
pub(super) fn log_failed_run(
    state: &State,
    id: Option<&HeaderValue>,
    meta: &CallMeta,
    kind: OutcomeKind,
    took: Duration,
) {
    if matches!(kind, OutcomeKind::Ok | OutcomeKind::Rejected) {
        return;
    }
    let call_log = &state.call_log;
    let Some(left_out) = call_log.admit(state, &call_log.failures) else { return };
    warn!(state.hub.log, "run ended";
        "request" => id_text(id),
        "route" => %meta.route,
        "end" => kind.as_str(),
        "took_ms" => took.as_millis(),
        "left_ms" => meta.left(state.now()).as_millis(),
        "beside" => state.admission.borrow().load(state.now()).to_string(),
        "left_out" => left_out);
}
