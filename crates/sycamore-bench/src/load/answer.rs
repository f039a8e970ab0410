//! Classifies the answers to calls.

use crate::http::{Exchange, ExchangeError};
use crate::stand_in::upstream::{checksum, headers};
use http::StatusCode;
use std::time::Duration;
use sycamore_types::headers as shift;

/// Outcome of a call as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ended {
    /// The complete answer to this call arrived.
    Ok,
    /// The answer says that the call did not run.
    Refused,
    /// The answer says that the call may have run.
    Unknown,
    /// The upstream answered with an error status.
    Failed,
    /// No connection could be opened.
    NotConnected,
    /// The connection broke before the head of an answer.
    NoAnswer,
    /// The connection broke within the answer's body, so that the caller notices.
    Cut,
    /// No answer arrived within the caller's own time limit.
    TimedOut,
    /// A complete answer arrived with another call's token, or a success without any token.
    Wrong,
    /// An answer arrived that is complete by HTTP, but whose body, or the request's body at the
    /// upstream, doesn't match its checksum.
    Short,
}

/// Ended call as its caller saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Token that identifies the call.
    pub token: String,
    /// Index of the call's kind in [`super::Options::kinds`].
    pub kind: usize,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Number of records that share this token: 2 if the call is sent a second time with the same
    /// idempotency key, else 1.
    pub sendings: usize,
    /// Address of the last attempt; `None` if no target matched the call's path.
    pub addr: Option<std::net::SocketAddr>,
    /// Time of the first attempt, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// Time from the first attempt to the last byte of the answer, or to the failure.
    pub latency: Duration,
    /// Outcome of the last attempt.
    pub ended: Ended,
    /// Status of the answer; `None` without a complete answer.
    pub status: Option<StatusCode>,
    /// Reason given with a refusal or an unknown outcome.
    pub reason: Option<String>,
    /// Value of the answer's `retry-after` header, in seconds.
    pub retry_after: Option<u32>,
    /// Name of the instance that ran the call, as the answer says.
    pub instance: Option<String>,
    /// Version of the upstream that ran the call, as the answer says.
    pub version: Option<String>,
    /// Whether the upstream reported in the answer that it is leaving.
    pub leaving: bool,
    /// Start of the answer's body; empty if the call ended well or without an answer.
    pub detail: String,
    /// Number of attempts that the caller made.
    pub attempts: u32,
}

/// Returns the outcome of an attempt of the call `token`, whose body had the checksum `sent_sum`.
pub fn classify(token: &str, sent_sum: &str, result: &Result<Exchange, ExchangeError>) -> Ended {
    let exchange = match result {
        Ok(exchange) => exchange,
        Err(ExchangeError::NotConnected) => return Ended::NotConnected,
        Err(ExchangeError::NoAnswer) => return Ended::NoAnswer,
        Err(ExchangeError::Cut) => return Ended::Cut,
    };
    match exchange.header(shift::OUTCOME) {
        Some("not-run") => return Ended::Refused,
        Some(_) => return Ended::Unknown,
        None => {}
    }
    match exchange.header(headers::TOKEN) {
        Some(own) if own != token => return Ended::Wrong,
        None if exchange.status.is_success() => return Ended::Wrong,
        _ => {}
    }
    if !exchange.status.is_success() {
        return Ended::Failed;
    }
    let whole = exchange.header(headers::SENT_SUM) == Some(checksum(&exchange.body).as_str());
    let received = exchange.header(headers::RECEIVED_SUM) == Some(sent_sum);
    if whole && received {
        Ended::Ok
    } else {
        Ended::Short
    }
}
