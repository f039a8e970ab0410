//! Adapters for the native protocol of callers and upstreams, described in `docs/INTERFACES.md`.

use super::{
    Announcement, CallEdge, Credential, History, Process, ReportedRate, RequestInfo,
    UpstreamAnswer, UpstreamCall, UpstreamEdge, UpstreamMessage, UpstreamReport,
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

/// Path of an upstream's announcement.
const ANNOUNCE_PATH: &str = "/shift/announce";
/// Path of an upstream's drain request.
const DRAIN_PATH: &str = "/shift/drain";
/// Maximum timeout that a request can set; a longer one is shortened to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Authentication scheme of a client's key (RFC 6750, section 2.1).
const KEY_SCHEME: &str = "bearer";

/// Native protocol of calls.
pub struct Calls;

impl CallEdge for Calls {
    fn request_info(&self, head: &RequestHead) -> RequestInfo {
        let fields = &head.headers;
        RequestInfo {
            id: fields.get(headers::REQUEST).cloned(),
            timeout: timeout(fields),
            class: class(fields),
            caller: fields.get(headers::CALLER).cloned(),
            credential: credential(fields, KEY_SCHEME),
        }
    }

    fn remove_credentials(&self, fields: &mut HeaderMap) {
        fields.remove(header::AUTHORIZATION);
        fields.remove(headers::CLIENT_ACCOUNT);
    }

    fn for_upstream(&self, call: &UpstreamCall<'_>, fields: &mut HeaderMap) {
        set(fields, headers::HOPS, call.hops);
        let left = u64::try_from(call.left.as_millis()).unwrap_or(u64::MAX);
        set(fields, headers::TIMEOUT_MS, &left.to_string());
        if let Some(account) = call.account {
            set(fields, headers::CLIENT_ACCOUNT, account.as_str());
        }
    }

    fn classify_answer(&self, _: &HeaderMap, answer: &ResponseHead, _: History) -> UpstreamAnswer {
        let is_shed = answer.status == StatusCode::SERVICE_UNAVAILABLE
            && text(&answer.headers, headers::OUTCOME) == Some("not-run")
            && answer.headers.contains_key(header::RETRY_AFTER);
        match is_shed {
            true => UpstreamAnswer::Shed,
            false => UpstreamAnswer::Ran,
        }
    }

    fn upstream_report(&self, answer: &ResponseHead) -> UpstreamReport {
        let fields = &answer.headers;
        UpstreamReport {
            rate: ReportedRate::from_field(fields, headers::RATE_LIMIT),
            leaving: fields.get_all(headers::LEAVING).iter().any(|value| value == "1"),
        }
    }

    fn answer(&self, answer: &Answer, _: &RequestInfo) -> Response<Bytes> {
        answer.to_response()
    }
}

/// Returns the credential in the field `authorization`, which has this scheme and a key.
pub fn credential(fields: &HeaderMap, scheme: &str) -> Credential {
    let mut values = fields.get_all(header::AUTHORIZATION).iter();
    let value = match (values.next(), values.next()) {
        (None, _) => return Credential::Absent,
        (Some(value), None) => value,
        (Some(_), Some(_)) => return Credential::Malformed,
    };
    // Keys may have characters beyond ASCII.
    let value = value.as_bytes().trim_ascii();
    let end = value.iter().position(|byte| *byte == b' ').unwrap_or(value.len());
    let (found, key) = value.split_at(end);
    match key.trim_ascii_start() {
        key if found.eq_ignore_ascii_case(scheme.as_bytes()) && !key.is_empty() => {
            Credential::Key(KeyDigest::of(key))
        }
        _ => Credential::Malformed,
    }
}

/// Returns the criticality class that a request names, or the default class.
pub(crate) fn class(fields: &HeaderMap) -> Criticality {
    text(fields, headers::CRITICALITY).map_or(Criticality::default(), Criticality::from_text)
}

/// Returns the timeout that a request sets, at most [`MAX_TIMEOUT`]; `None` if absent or malformed.
pub(crate) fn timeout(fields: &HeaderMap) -> Option<Duration> {
    let millis = text(fields, headers::TIMEOUT_MS)?.parse().ok()?;
    Some(Duration::from_millis(millis).min(MAX_TIMEOUT))
}

/// Returns the first value of the header field `name`; `None` if it is absent or not ASCII text.
pub(crate) fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

/// Sets the header field `name`, unless `value` is not a valid field value.
pub(crate) fn set(fields: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        fields.insert(HeaderName::from_static(name), value);
    }
}

/// Native protocol of the upstream's announcements and drain requests.
pub struct Upstream;

/// JSON body of an announcement.
#[derive(Debug, Deserialize)]
struct AnnouncementBody {
    version: UpstreamVersion,
    address: SocketAddr,
    slots: u16,
    connections: u16,
    /// Remaining warm-up time of the upstream in milliseconds; zero if left out.
    #[serde(default)]
    cold_ms: u64,
    #[serde(flatten)]
    process: ProcessBody,
}

/// Identity of an upstream process in the JSON body of its messages; its fields may be left out.
#[derive(Debug, Default, Deserialize)]
struct ProcessBody {
    /// Name of the process.
    process: Option<String>,
    /// Time at which the process started, in milliseconds since the Unix epoch.
    started_ms: Option<u64>,
}

impl From<ProcessBody> for Process {
    fn from(body: ProcessBody) -> Self {
        Self { name: body.process, started: body.started_ms.map(WallTime) }
    }
}

impl UpstreamEdge for Upstream {
    fn is_for_node(&self, head: &RequestHead) -> bool {
        head.method == Method::POST && matches!(head.uri.path(), ANNOUNCE_PATH | DRAIN_PATH)
    }

    fn read(&self, head: &RequestHead, body: &[u8]) -> Result<UpstreamMessage, String> {
        if head.uri.path() == DRAIN_PATH {
            let body = match body.is_empty() {
                true => ProcessBody::default(),
                false => serde_json::from_slice(body).map_err(|err| err.to_string())?,
            };
            return Ok(UpstreamMessage::Leave(body.into()));
        }
        let body: AnnouncementBody = serde_json::from_slice(body).map_err(|err| err.to_string())?;
        Ok(UpstreamMessage::Announce(Announcement {
            process: body.process.into(),
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
