//! Nested calls that an upstream makes through its node to serve a request.

use super::headers;
use crate::http::Client;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_types::headers as shift;

/// Headers that a nested call copies from the request it serves.
const INHERITED: [&str; 4] = [shift::HOPS, shift::CRITICALITY, shift::CALLER, headers::WORK_US];

/// Outcome of a nested call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NestedCall {
    /// The nested call succeeded, or the request asked for none.
    Ok,
    /// The nested call was answered with this error status.
    Failed(StatusCode),
    /// No complete answer to the nested call arrived.
    NoAnswer,
}

/// Makes the first nested call that the request headers `incoming` ask for, through `node` and with
/// the timeout `left`. Makes no call without a node.
pub async fn call(
    client: &Client,
    node: Option<SocketAddr>,
    incoming: &HeaderMap,
    token: &str,
    left: Option<Duration>,
) -> NestedCall {
    let Some(list) = incoming.get(headers::ONWARD).and_then(|list| list.to_str().ok()) else {
        return NestedCall::Ok;
    };
    let (path, rest) = list.split_once(',').unwrap_or((list, ""));
    let Some(node) = node.filter(|_| !path.is_empty()) else { return NestedCall::Ok };
    let Some(req) = request(node, incoming, path, rest, token, left) else {
        return NestedCall::NoAnswer;
    };
    match client.send(node, req).await {
        Ok(exchange) if exchange.status.is_success() => NestedCall::Ok,
        Ok(exchange) => NestedCall::Failed(exchange.status),
        Err(_) => NestedCall::NoAnswer,
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
