//! What became of a call.

use crate::http::{Exchange, Wire};
use crate::stand_in::upstream::{checksum, headers};
use http::StatusCode;
use std::time::Duration;
use sycamore_types::headers as shift;

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ended {
    /// Its own answer came whole.
    Ok,
    /// It was refused as not run.
    Refused,
    /// It was answered as perhaps run.
    Unknown,
    /// The upstream answered with a failure.
    Failed,
    /// No connection could be made.
    NotConnected,
    /// The connection broke before the answer.
    NoAnswer,
    /// The answer broke off, visibly.
    Cut,
    /// No answer by the caller's own limit.
    TimedOut,
    /// A whole answer that is another call's.
    Wrong,
    /// An answer that passes for whole and is not.
    Short,
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The call's token.
    pub token: String,
    /// Index of its kind.
    pub kind: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Times that callers send the call, of which this is one.
    pub sendings: usize,
    /// Address of the last attempt; `None` where there was none to try.
    pub addr: Option<std::net::SocketAddr>,
    /// It was sent when, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// Time to the last byte of the answer.
    pub latency: Duration,
    /// How it ended.
    pub ended: Ended,
    /// The answer's status.
    pub status: Option<StatusCode>,
    /// The reason given with a refusal.
    pub reason: Option<String>,
    /// Seconds after which a refusal says to come back.
    pub retry_after: Option<u32>,
    /// The instance that ran it.
    pub instance: Option<String>,
    /// The version that ran it.
    pub version: Option<String>,
    /// The start of the body of an answer that is no success.
    pub detail: String,
    /// Times it was sent by the caller.
    pub attempts: u32,
}

/// How the call `token` ended that sent a body with the checksum `sent_sum`.
pub fn judge(token: &str, sent_sum: &str, result: &Result<Exchange, Wire>) -> Ended {
    let exchange = match result {
        Ok(exchange) => exchange,
        Err(Wire::NotConnected) => return Ended::NotConnected,
        Err(Wire::NoAnswer) => return Ended::NoAnswer,
        Err(Wire::Cut) => return Ended::Cut,
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
