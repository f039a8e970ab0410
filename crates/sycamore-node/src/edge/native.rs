//! The protocol of `docs/INTERFACES.md`.

use super::{
    Announcement, CallEdge, History, Process, RequestWords, UpstreamAnswer, UpstreamCall,
    UpstreamEdge, UpstreamMessage,
};
use crate::calls::Answer;
use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_call::Criticality;
use sycamore_http::{RequestHead, ResponseHead};
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Path of the announcement.
const ANNOUNCE: &str = "/shift/announce";
/// Path of the drain.
const DRAIN: &str = "/shift/drain";
/// Longest time that a caller may ask for.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Requests of callers and calls of upstreams.
pub struct Calls;

impl CallEdge for Calls {
    fn words(&self, head: &RequestHead) -> RequestWords {
        let fields = &head.headers;
        RequestWords {
            id: fields.get(headers::REQUEST).cloned(),
            timeout: timeout(fields),
            class: class(fields),
            caller: fields.get(headers::CALLER).cloned(),
        }
    }

    fn for_upstream(&self, call: &UpstreamCall<'_>, fields: &mut HeaderMap) {
        set(fields, headers::HOPS, call.hops);
        let left = u64::try_from(call.left.as_millis()).unwrap_or(u64::MAX);
        set(fields, headers::TIMEOUT_MS, &left.to_string());
    }

    fn judge(&self, _: &HeaderMap, answer: &ResponseHead, _: History) -> UpstreamAnswer {
        let is_shed = answer.status == StatusCode::SERVICE_UNAVAILABLE
            && text(&answer.headers, headers::OUTCOME) == Some("not-run")
            && answer.headers.contains_key(header::RETRY_AFTER);
        match is_shed {
            true => UpstreamAnswer::Shed,
            false => UpstreamAnswer::Ran,
        }
    }

    fn answer(&self, answer: &Answer, _: &RequestWords) -> Response<Bytes> {
        answer.to_response()
    }
}

/// The class that a request names.
pub(crate) fn class(fields: &HeaderMap) -> Criticality {
    text(fields, headers::CRITICALITY).map_or(Criticality::default(), Criticality::from_text)
}

/// The time that a request names.
pub(crate) fn timeout(fields: &HeaderMap) -> Option<Duration> {
    let millis = text(fields, headers::TIMEOUT_MS)?.parse().ok()?;
    Some(Duration::from_millis(millis).min(MAX_TIMEOUT))
}

/// The field `name` as text.
pub(crate) fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

/// Sets the field `name`, unless `value` can't be one.
pub(crate) fn set(fields: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        fields.insert(HeaderName::from_static(name), value);
    }
}

/// What an upstream says of itself.
pub struct Upstream;

/// The body of an announcement.
#[derive(Debug, Deserialize)]
struct Body {
    version: UpstreamVersion,
    address: SocketAddr,
    slots: u16,
    connections: u16,
    #[serde(default)]
    cold_ms: u64,
}

impl UpstreamEdge for Upstream {
    fn is_for_node(&self, head: &RequestHead) -> bool {
        head.method == Method::POST && matches!(head.uri.path(), ANNOUNCE | DRAIN)
    }

    fn read(&self, head: &RequestHead, body: &[u8]) -> Result<UpstreamMessage, String> {
        if head.uri.path() == DRAIN {
            return Ok(UpstreamMessage::Leave(Process::default()));
        }
        let body: Body = serde_json::from_slice(body).map_err(|err| err.to_string())?;
        Ok(UpstreamMessage::Announce(Announcement {
            process: Process::default(),
            sequence: None,
            service: None,
            version: body.version,
            address: body.address,
            slots: body.slots,
            connections: body.connections,
            cold: Duration::from_millis(body.cold_ms),
            draining: false,
        }))
    }

    fn acknowledge(&self, in_flight: u16) -> Response<Bytes> {
        let body = serde_json::json!({ "in_flight": in_flight }).to_string();
        Response::new(Bytes::from(body))
    }
}
