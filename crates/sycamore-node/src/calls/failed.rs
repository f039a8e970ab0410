//! What a failed attempt says: whether it may have run, what to answer, where to go next.

use super::answer::{Answer, RETRY_AFTER};
use super::crash;
use super::exchange::{Answered, Failure};
use super::meta::text;
use http::{header, HeaderMap, StatusCode};
use std::time::Duration;
use sycamore_call::route::AttemptEnd;
use sycamore_call::{AttemptFailure, Load};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Why one attempt failed.
pub(super) struct Failed {
    pub(super) failure: AttemptFailure,
    pub(super) answer: Answer,
}

impl Failed {
    /// What the call is answered with, given the failure of an earlier attempt.
    pub(super) fn after(self, earlier: Option<Failed>) -> Failed {
        match earlier {
            Some(earlier) if self.failure.after(Some(earlier.failure)) == earlier.failure => {
                earlier
            }
            _ => self,
        }
    }
}

/// Going elsewhere after such a refusal is not a retry to the levels below.
pub(super) fn is_reroute(failure: AttemptFailure) -> bool {
    matches!(
        failure,
        AttemptFailure::NotRun(
            RefusalReason::BadVersion
                | RefusalReason::ShareSpent
                | RefusalReason::Draining
                | RefusalReason::NoUpstream
                | RefusalReason::NotReady
        )
    )
}

pub(super) fn no_upstream() -> Failed {
    Failed {
        failure: AttemptFailure::NotRun(RefusalReason::NoUpstream),
        answer: Answer::refused(RefusalReason::NoUpstream, RETRY_AFTER),
    }
}

pub(super) fn end_of(failure: AttemptFailure, load: Load) -> AttemptEnd {
    match failure {
        AttemptFailure::NotRun(RefusalReason::Draining) => AttemptEnd::Draining,
        AttemptFailure::NotRun(RefusalReason::NoUpstream) => AttemptEnd::NoUpstream,
        AttemptFailure::NotRun(_) => AttemptEnd::Answered(load),
        AttemptFailure::Unknown { .. } => AttemptEnd::Failed,
    }
}

pub(super) fn broken(failure: Failure) -> Failed {
    let answer = match failure {
        Failure::Deadline => Answer::unknown(
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "no answer came before the deadline",
        ),
        Failure::Broken | Failure::CallerGone => {
            Answer::unknown(StatusCode::BAD_GATEWAY, "broken", "no whole answer came")
        }
    };
    Failed { failure: AttemptFailure::Unknown { crashed: false }, answer }
}

/// What an answer of another node says about the attempt, where it is not the upstream's answer.
pub(super) fn failure_in(answered: &Answered) -> Option<Failed> {
    let fields = &answered.head.headers;
    let outcome = text(fields, headers::OUTCOME)?;
    let reason = text(fields, headers::REASON).unwrap_or_default();
    let retry_after = retry_after(fields);
    match outcome {
        "not-run" => {
            // An upstream that sheds may leave the reason out.
            let reason = if reason.is_empty() { "overloaded" } else { reason };
            let known = refusal_reason(reason);
            let failure = AttemptFailure::NotRun(known);
            let answer = match known.as_str() == reason {
                true => Answer::refused(known, retry_after.unwrap_or(RETRY_AFTER)),
                false => {
                    Answer::rejected(answered.head.status, reason, "refused by the upstream's node")
                }
            };
            Some(Failed { failure, answer })
        }
        // An answer with a time to come back was given up below and is final.
        _ if retry_after.is_some() => None,
        _ => {
            let failure = AttemptFailure::Unknown { crashed: reason == crash::REASON };
            let answer =
                Answer::unknown(answered.head.status, reason, "the upstream gave no whole answer");
            Some(Failed { failure, answer })
        }
    }
}

/// An unknown reason is not retried.
fn refusal_reason(text: &str) -> RefusalReason {
    [
        RefusalReason::Overloaded,
        RefusalReason::Shed,
        RefusalReason::Deadline,
        RefusalReason::Draining,
        RefusalReason::BadVersion,
        RefusalReason::ShareSpent,
        RefusalReason::Quarantined,
        RefusalReason::NoUpstream,
        RefusalReason::NotReady,
        RefusalReason::HopLimit,
        RefusalReason::InProgress,
    ]
    .into_iter()
    .find(|reason| reason.as_str() == text)
    .unwrap_or(RefusalReason::Deadline)
}

fn retry_after(fields: &HeaderMap) -> Option<Duration> {
    if let Some(millis) = text(fields, headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok()) {
        return Some(Duration::from_millis(millis));
    }
    let secs = text(fields, header::RETRY_AFTER.as_str())?.parse().ok()?;
    Some(Duration::from_secs(secs))
}
