//! Classification of failed attempts: whether the call may have run, and the answer to the caller.

use super::answer::{Answer, DEFAULT_RETRY_AFTER};
use super::crash;
use super::exchange::{AnswerHead, Failure};
use super::meta::text;
use http::{header, HeaderMap, StatusCode};
use std::time::Duration;
use sycamore_call::route::AttemptEnd;
use sycamore_call::{AttemptFailure, Load};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Maximum delay that an upstream's or another node's refusal makes a caller wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Failed attempt of a call, with the answer that the caller gets if it is the last one.
pub(super) struct FailedAttempt {
    pub(super) failure: AttemptFailure,
    pub(super) answer: Answer,
}

impl FailedAttempt {
    /// Returns the failure that the call is answered with: this one, or that of an `earlier`
    /// attempt if the call may have run there.
    pub(super) fn or_earlier(self, earlier: Option<FailedAttempt>) -> FailedAttempt {
        match earlier {
            Some(earlier) if self.failure.or_earlier(Some(earlier.failure)) == earlier.failure => {
                earlier
            }
            _ => self,
        }
    }
}

/// Returns whether an attempt on another instance after `failure` is a reroute, which doesn't mark
/// the call as a retry for the services it calls in turn.
pub(super) fn is_reroute(failure: AttemptFailure) -> bool {
    matches!(
        failure,
        AttemptFailure::NotRun(
            RefusalReason::BadVersion
                | RefusalReason::ShareSpent
                | RefusalReason::RateLimited
                | RefusalReason::Draining
                | RefusalReason::OutOfUse
                | RefusalReason::NoUpstream
                | RefusalReason::NotReady
        )
    )
}

pub(super) fn no_upstream() -> FailedAttempt {
    FailedAttempt {
        failure: AttemptFailure::NotRun(RefusalReason::NoUpstream),
        answer: Answer::refused(RefusalReason::NoUpstream, DEFAULT_RETRY_AFTER),
    }
}

pub(super) fn attempt_end(failed: &FailedAttempt, load: Load) -> AttemptEnd {
    match failed.failure {
        AttemptFailure::NotRun(RefusalReason::RateLimited) => {
            let wait = failed.answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            AttemptEnd::RateLimited(load, wait)
        }
        AttemptFailure::NotRun(RefusalReason::Draining) => AttemptEnd::Draining,
        AttemptFailure::NotRun(RefusalReason::NoUpstream) => AttemptEnd::NoUpstream,
        AttemptFailure::NotRun(_) => AttemptEnd::Answered(load),
        AttemptFailure::Unknown { .. } => AttemptEnd::Failed,
    }
}

pub(super) fn failed_exchange(failure: Failure) -> FailedAttempt {
    let answer = match failure {
        Failure::Deadline => Answer::unknown(
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "no answer came from the upstream's node before the deadline",
        ),
        Failure::Broken | Failure::CallerGone => {
            let detail = "no complete answer came from the upstream's node";
            Answer::unknown(StatusCode::BAD_GATEWAY, "broken", detail)
        }
    };
    FailedAttempt { failure: AttemptFailure::Unknown { crashed: false }, answer }
}

/// Returns the failure that another node's answer reports; `None` if the answer is to be relayed.
pub(super) fn failure_from_answer(answered: &AnswerHead) -> Option<FailedAttempt> {
    let fields = &answered.head.headers;
    let outcome = text(fields, headers::OUTCOME)?;
    let reason = text(fields, headers::REASON).unwrap_or_default();
    let retry_after = retry_after(fields);
    match outcome {
        "not-run" => {
            // An upstream that sheds a call may omit the reason.
            let reason = if reason.is_empty() { "overloaded" } else { reason };
            let known = refusal_reason(reason);
            let failure = AttemptFailure::NotRun(known);
            let answer = match known.as_str() == reason {
                true => Answer::refused(known, retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
                false => {
                    Answer::rejected(answered.head.status, reason, "refused by the upstream's node")
                }
            };
            Some(FailedAttempt { failure, answer })
        }
        // An answer with `retry-after` comes from a node that has given the call up: it is final.
        _ if retry_after.is_some() => None,
        _ => {
            let failure = AttemptFailure::Unknown { crashed: reason == crash::CRASH_REASON };
            let answer = Answer::unknown(
                answered.head.status,
                reason,
                "the upstream gave no complete answer",
            );
            Some(FailedAttempt { failure, answer })
        }
    }
}

/// Returns the refusal reason named `text`; an unknown name is read as [`RefusalReason::Deadline`],
/// which is not retried.
fn refusal_reason(text: &str) -> RefusalReason {
    [
        RefusalReason::Overloaded,
        RefusalReason::RateLimited,
        RefusalReason::Shed,
        RefusalReason::Deadline,
        RefusalReason::Draining,
        RefusalReason::OutOfUse,
        RefusalReason::BadVersion,
        RefusalReason::ShareSpent,
        RefusalReason::Quarantined,
        RefusalReason::NoUpstream,
        RefusalReason::NotReady,
        RefusalReason::HopLimit,
        RefusalReason::InProgress,
        RefusalReason::Unproven,
        RefusalReason::AccountRate,
        RefusalReason::NoCredit,
        RefusalReason::ConfigurationRejected,
        RefusalReason::ConfigurationBehind,
        RefusalReason::FaultyEntry,
    ]
    .into_iter()
    .find(|reason| reason.as_str() == text)
    .unwrap_or(RefusalReason::Deadline)
}

fn retry_after(fields: &HeaderMap) -> Option<Duration> {
    if let Some(millis) = text(fields, headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok()) {
        return Some(Duration::from_millis(millis));
    }
    standard_retry_after(fields)
}

/// Returns the delay that an upstream's answer names in the standard field, in seconds with or without
/// fractions, at most [`MAX_RETRY_AFTER`]; `None` if it names none, or a date.
pub(super) fn standard_retry_after(fields: &HeaderMap) -> Option<Duration> {
    let secs: f64 = text(fields, header::RETRY_AFTER.as_str())?.trim().parse().ok()?;
    let delay = Duration::try_from_secs_f64(secs).ok()?;
    Some(delay.min(MAX_RETRY_AFTER))
}
