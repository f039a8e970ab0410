//! Sends calls and records their outcomes.

use super::answer::{classify, Ended, Record};
use super::{CallKind, KeyUse};
use crate::http::{Client, Exchange};
use crate::stand_in::upstream::{checksum, fill, headers};
use crate::witness::now_us;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use sycamore_types::headers as shift;

/// Number of bytes of a failed call's answer that [`Record::detail`] keeps.
const DETAIL_BYTES: usize = 160;

/// Client that sends calls and classifies their answers.
#[derive(Default)]
pub struct Caller {
    client: Client,
}

/// Call to be sent.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Kind of the call.
    pub kind: &'a CallKind,
    /// Index of the kind in [`super::Options::kinds`].
    pub index: usize,
    /// Token that identifies the call; also its request identifier and idempotency key.
    pub token: String,
    /// Name that the caller gives.
    pub caller: String,
    /// Longest wait for the answer, over all attempts.
    pub limit: Duration,
    /// Addresses to try in order, one for each attempt.
    pub addrs: Vec<SocketAddr>,
}

impl Caller {
    /// Sends `call` to its addresses in order until an attempt succeeds. A call through nodes has a
    /// single address, because the node retries.
    pub async fn send(&self, call: &Call<'_>) -> Record {
        let start = Instant::now();
        let sent_us = now_us();
        let body = fill(&call.token, call.kind.body);
        let sent_sum = checksum(&body);
        let mut attempts = 0;
        let mut last = (Ended::NotConnected, None);
        for addr in &call.addrs {
            attempts += 1;
            let left = call.limit.saturating_sub(start.elapsed());
            last = self.attempt(call, *addr, body.clone(), &sent_sum, left).await;
            if last.0 == Ended::Ok {
                break;
            }
        }
        let (ended, exchange) = last;
        record(call, sent_us, start.elapsed(), ended, exchange, attempts)
    }

    async fn attempt(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
        body: Bytes,
        sent_sum: &str,
        left: Duration,
    ) -> (Ended, Option<Exchange>) {
        let Some(req) = request(call, addr, body) else { return (Ended::NotConnected, None) };
        let result = match monoio::time::timeout(left, self.client.send(addr, req)).await {
            Ok(result) => result,
            Err(_) => return (Ended::TimedOut, None),
        };
        let ended = classify(&call.token, sent_sum, &result);
        (ended, result.ok())
    }
}

fn request(call: &Call<'_>, addr: SocketAddr, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let kind = call.kind;
    let path = kind.path.replace("{}", &call.token);
    let mut req = Request::builder().method(kind.method.clone()).uri(path);
    let mut set = |name: &'static str, value: String| {
        if let (Some(map), Ok(value)) = (req.headers_mut(), HeaderValue::from_str(&value)) {
            map.insert(HeaderName::from_static(name), value);
        }
    };
    set("host", addr.to_string());
    set(headers::TOKEN, call.token.clone());
    set(shift::REQUEST, call.token.clone());
    set(shift::CALLER, call.caller.clone());
    if let Some(len) = kind.answer {
        set(headers::ANSWER_BYTES, len.to_string());
    }
    if let Some(us) = kind.work_us {
        set(headers::WORK_US, us.to_string());
    }
    if !kind.nested_paths.is_empty() {
        set(headers::ONWARD, kind.nested_paths.join(","));
    }
    if kind.crash {
        set(headers::CRASH, "1".into());
    }
    if kind.key != KeyUse::None {
        set(shift::IDEMPOTENCY_KEY, call.token.clone());
    }
    if let Some(criticality) = kind.criticality {
        set(shift::CRITICALITY, criticality.into());
    }
    if let Some(ms) = kind.timeout_ms {
        set(shift::TIMEOUT_MS, ms.to_string());
    }
    req.body(Full::new(body)).ok()
}

fn record(
    call: &Call<'_>,
    sent_us: u64,
    latency: Duration,
    ended: Ended,
    exchange: Option<Exchange>,
    attempts: u32,
) -> Record {
    let header = |name: &str| exchange.as_ref().and_then(|e| e.header(name)).map(str::to_owned);
    Record {
        token: call.token.clone(),
        kind: call.index,
        idempotent: call.kind.is_idempotent(),
        sendings: if call.kind.key == KeyUse::Repeated { 2 } else { 1 },
        addr: call.addrs.get(attempts.saturating_sub(1) as usize).copied(),
        sent_us,
        latency,
        ended,
        status: exchange.as_ref().map(|exchange| exchange.status),
        reason: header(shift::REASON),
        retry_after: header("retry-after").and_then(|seconds| seconds.parse().ok()),
        instance: header(headers::INSTANCE),
        version: header(headers::VERSION),
        leaving: exchange.as_ref().and_then(|e| e.header(shift::LEAVING)) == Some("1"),
        detail: detail(ended, exchange.as_ref()),
        attempts,
    }
}

/// Returns the start of the answer's body if the call didn't end well, else an empty text.
fn detail(ended: Ended, exchange: Option<&Exchange>) -> String {
    let body = exchange.filter(|_| ended != Ended::Ok).map(|exchange| &exchange.body);
    let start = body.map(|body| &body[..body.len().min(DETAIL_BYTES)]).unwrap_or_default();
    String::from_utf8_lossy(start).trim().to_owned()
}
