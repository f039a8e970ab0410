//! Answers that the node gives itself, instead of an upstream's answer.

use super::listen::ListenerKind;
use super::message::{strip_internal, Inbound};
use bytes::{Bytes, BytesMut};
use http::{header, HeaderValue, Response, StatusCode};
use std::time::Duration;
use sycamore_http::conn::write_all;
use sycamore_http::wire::encode_response;
use sycamore_http::Framing;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Time after which a refused caller may retry, for refusals without an estimate of their own.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of a request that the node answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the [`headers::OUTCOME`] field.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Answer that the node gives itself.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason in one word, for programs.
    pub reason: String,
    /// Reason in a sentence, for people.
    pub detail: String,
    /// Time after which the caller may retry; `None` if a retry of the same request is no use.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Creates the answer to a request that was refused before it ran and may be retried.
    pub fn refused(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            status: refusal_status(reason),
            outcome: Outcome::NotRun,
            reason: reason.as_str().to_owned(),
            detail: refusal_detail(reason).to_owned(),
            retry_after: Some(retry_after),
        }
    }

    /// Creates the answer to a call whose route or account has the `fault` that the configuration names.
    /// The next configuration may be without it.
    pub(super) fn faulty_entry(fault: &str) -> Self {
        let refused = Self::refused(RefusalReason::FaultyEntry, DEFAULT_RETRY_AFTER);
        let detail = format!("{}: {fault}", refused.detail);
        Self { detail, ..refused }
    }

    /// Creates the answer to a request that was refused before it ran and can't be served as it is.
    pub(super) fn rejected(status: StatusCode, reason: &str, detail: impl ToString) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason: reason.to_owned(),
            detail: detail.to_string(),
            retry_after: None,
        }
    }

    /// Creates the answer to a request that failed and may have run.
    pub(super) fn unknown(status: StatusCode, reason: &str, detail: &str) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            reason: reason.to_owned(),
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// Returns the answer as an HTTP response by the protocol of `docs/INTERFACES.md`.
    pub fn to_response(&self) -> Response<Bytes> {
        let body = serde_json::json!({
            "outcome": self.outcome.as_str(),
            "reason": self.reason,
            "detail": self.detail,
        });
        let mut resp = Response::new(Bytes::from(body.to_string()));
        *resp.status_mut() = self.status;
        let fields = resp.headers_mut();
        fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        fields.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Ok(reason) = HeaderValue::from_str(&self.reason) {
            fields.insert(headers::REASON, reason);
        }
        if let Some(after) = self.retry_after {
            let secs = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            fields.insert(header::RETRY_AFTER, HeaderValue::from(secs));
            let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            fields.insert(headers::RETRY_AFTER_MS, HeaderValue::from(millis));
        }
        resp
    }
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Quarantined | RefusalReason::AccountRate => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::InProgress => StatusCode::CONFLICT,
        RefusalReason::Overloaded
        | RefusalReason::RateLimited
        | RefusalReason::Shed
        | RefusalReason::Deadline
        | RefusalReason::Draining
        | RefusalReason::OutOfUse
        | RefusalReason::BadVersion
        | RefusalReason::ShareSpent
        | RefusalReason::NoUpstream
        | RefusalReason::NotReady
        | RefusalReason::HopLimit
        | RefusalReason::Unproven
        | RefusalReason::NoCredit
        | RefusalReason::ConfigurationRejected
        | RefusalReason::ConfigurationBehind
        | RefusalReason::FaultyEntry => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal_detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "the node has no capacity for the call in time",
        RefusalReason::RateLimited => "the upstream's rate limit is used up",
        RefusalReason::Shed => "the upstream shed the call",
        RefusalReason::Deadline => "the call's deadline has passed",
        RefusalReason::Draining => "the upstream is draining",
        RefusalReason::OutOfUse => "the upstream's data centre is out of use",
        RefusalReason::BadVersion => "the upstream's version was found bad",
        RefusalReason::ShareSpent => "the upstream's version has used up its share of calls",
        RefusalReason::Quarantined => "the request is quarantined because it crashed upstreams",
        RefusalReason::NoUpstream => "no upstream of the service can be reached",
        RefusalReason::NotReady => "the node is not ready for calls of the service",
        RefusalReason::HopLimit => "the call's depth has reached the hop limit",
        RefusalReason::InProgress => "a call with this idempotency key is running",
        RefusalReason::Unproven => {
            "the node can't prove that its configuration is recent enough for a call with a key"
        }
        RefusalReason::AccountRate => "the account's rate is used up",
        RefusalReason::NoCredit => "the node that lends the account's rate can't be reached",
        RefusalReason::ConfigurationRejected => {
            "no route matches in the configuration in force, and the node rejected a newer one"
        }
        RefusalReason::ConfigurationBehind => {
            "no route matches in the configuration in force, and the node lacks a newer one"
        }
        RefusalReason::FaultyEntry => "the configuration's entry for the call can't be applied",
    }
}

/// Writes a whole response, with `connection: close` if `inbound` closes after it. Internal header
/// fields are sent to other nodes only.
pub(super) async fn respond(inbound: &mut Inbound, resp: &Response<Bytes>) -> std::io::Result<()> {
    let (mut head, ()) = resp.clone().map(drop).into_parts();
    if inbound.listener != ListenerKind::Relay {
        strip_internal(&mut head.headers);
    }
    if inbound.closes {
        head.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let body = resp.body();
    // A response to HEAD declares the length of the body that it omits.
    let sent = if inbound.head_only { &[][..] } else { &body[..] };
    let mut out = BytesMut::with_capacity(512 + body.len());
    encode_response(&head, Framing::Length(body.len() as u64), &mut out);
    out.extend_from_slice(sent);
    write_all(&mut inbound.writer, out.freeze()).await
}
