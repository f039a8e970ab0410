//! Lines about calls: what was decided, on what, and what came of it.
//!
//! Calls that fail, are refused or are slow have a generous budget of lines a second, those that go
//! well a small one; what exceeds them is counted and told with the next line.

use super::answer::{Answer, Outcome};
use super::meta::CallMeta;
use super::state::State;
use http::HeaderValue;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use sycamore_call::{AttemptFailure, Choice, Load};
use sycamore_platform::budget::TokenBucket;
use sycamore_settings::operator::Log;
use sycamore_types::prelude::*;

/// The budgets of lines about calls.
pub(super) struct Journal {
    failures: RefCell<TokenBucket>,
    successes: RefCell<TokenBucket>,
    left_out: Cell<u64>,
    slow: Duration,
}

impl Journal {
    pub(super) fn new(settings: &Log, now: Time) -> Self {
        let bucket = |per_s: u32| {
            let per_s = f64::from(per_s.max(1));
            RefCell::new(TokenBucket::new(per_s, per_s, now))
        };
        Self {
            failures: bucket(settings.failures_per_s),
            successes: bucket(settings.successes_per_s),
            left_out: Cell::new(0),
            slow: settings.slow,
        }
    }

    /// Whether a line may be written; gives the number of lines left out before it.
    fn admits(&self, state: &State, bucket: &RefCell<TokenBucket>) -> Option<u64> {
        if bucket.borrow_mut().take(state.now()).is_ok() {
            return Some(self.left_out.take());
        }
        self.left_out.set(self.left_out.get() + 1);
        state.metrics.left_out();
        None
    }
}

/// The caller's identifier of a call as text.
pub(super) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// The node answers a call itself.
pub(super) fn own_answer(state: &State, id: Option<&HeaderValue>, answer: &Answer) {
    let journal = &state.journal;
    let Some(left_out) = journal.admits(state, &journal.failures) else { return };
    let load = state.admission.borrow().load();
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

/// An attempt at another node's upstream failed.
pub(super) fn attempt_failed(
    state: &State,
    id: Option<&HeaderValue>,
    meta: &CallMeta,
    choice: &Choice,
    failure: AttemptFailure,
    retries_saved: f64,
) {
    let journal = &state.journal;
    let Some(left_out) = journal.admits(state, &journal.failures) else { return };
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

/// A call was answered by an upstream.
pub(super) fn answered(
    state: &State,
    id: Option<&HeaderValue>,
    meta: &CallMeta,
    instance: &InstanceId,
    status: u16,
    load: Load,
) {
    let journal = &state.journal;
    let took = state.now().since(meta.began);
    let bad = status >= 500 || took >= journal.slow;
    let bucket = if bad { &journal.failures } else { &journal.successes };
    let Some(left_out) = journal.admits(state, bucket) else { return };
    info!(state.hub.log, "call answered";
        "request" => id_text(id),
        "route" => %meta.route,
        "service" => %meta.service,
        "by" => %instance,
        "status" => status,
        "took_ms" => took.as_millis(),
        "load" => load.to_string(),
        "config" => state.hub.snapshot.borrow().version.0,
        "left_out" => left_out);
}

/// How a run on the upstream beside this node ended, where it did not end well.
pub(super) fn run_ended(
    state: &State,
    id: Option<&HeaderValue>,
    meta: &CallMeta,
    kind: OutcomeKind,
    took: Duration,
) {
    if matches!(kind, OutcomeKind::Ok | OutcomeKind::Rejected) {
        return;
    }
    let journal = &state.journal;
    let Some(left_out) = journal.admits(state, &journal.failures) else { return };
    warn!(state.hub.log, "run ended";
        "request" => id_text(id),
        "route" => %meta.route,
        "end" => kind.as_str(),
        "took_ms" => took.as_millis(),
        "left_ms" => meta.left(state.now()).as_millis(),
        "beside" => state.admission.borrow().load().to_string(),
        "left_out" => left_out);
}
