//! Calls that the upstream makes in turn, through its node.

use super::headers;
use crate::http::Client;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::headers as shift;

/// Headers that a call onward takes over from the call it serves.
const INHERITED: [&str; 4] = [shift::HOPS, shift::CRITICALITY, shift::CALLER, headers::WORK_US];

/// What became of a call onward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Onward {
    /// There was none to make, or it succeeded.
    Fine,
    /// It was answered with this status.
    Failed(StatusCode),
    /// No answer came.
    NoAnswer,
}

/// Makes the first call of the list in `incoming`, with `left` time for it.
pub async fn call(
    client: &Client,
    node: Option<SocketAddr>,
    incoming: &HeaderMap,
    token: &str,
    left: Option<Duration>,
) -> Onward {
    let Some(list) = incoming.get(headers::ONWARD).and_then(|list| list.to_str().ok()) else {
        return Onward::Fine;
    };
    let (path, rest) = list.split_once(',').unwrap_or((list, ""));
    let Some(node) = node.filter(|_| !path.is_empty()) else { return Onward::Fine };
    let Some(req) = request(node, incoming, path, rest, token, left) else {
        return Onward::NoAnswer;
    };
    match client.send(node, req).await {
        Ok(exchange) if exchange.status.is_success() => Onward::Fine,
        Ok(exchange) => Onward::Failed(exchange.status),
        Err(_) => Onward::NoAnswer,
    }
}

fn request(
    node: SocketAddr,
    incoming: &HeaderMap,
    path: &str,
    rest: &str,
    token: &str,
    left: Option<Duration>,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::get(path)
        .header(http::header::HOST, node.to_string())
        .header(headers::TOKEN, format!("{token}+"));
    if let Some(id) = incoming.get(shift::REQUEST).and_then(|id| id.to_str().ok()) {
        req = req.header(shift::REQUEST, format!("{id}.1"));
    }
    if !rest.is_empty() {
        req = req.header(headers::ONWARD, rest);
    }
    if let Some(left) = left {
        req = req.header(shift::TIMEOUT_MS, left.as_millis().to_string());
    }
    for name in INHERITED {
        if let Some(value) = incoming.get(name) {
            req = req.header(name, value);
        }
    }
    req.body(Full::default()).ok()
}
