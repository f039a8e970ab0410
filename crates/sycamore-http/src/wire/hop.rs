//! Connection-specific header fields (RFC 9110, section 7.6.1).

use http::{header, HeaderMap, HeaderName, HeaderValue, Version};
use std::time::Duration;

/// Header fields that an intermediary must not forward. `transfer-encoding` is left to the encoder.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Removes the connection-specific fields and those that the `connection` field names. The framing
/// fields are kept, because the encoder replaces them.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        if name != header::CONTENT_LENGTH && name != header::TRANSFER_ENCODING {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    connection_tokens(headers)
        .filter_map(|token| HeaderName::from_bytes(token.as_bytes()).ok())
        .collect()
}

fn connection_tokens(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}

/// Returns whether the sender of a message closes the connection after it.
pub fn wants_close(headers: &HeaderMap, version: Version) -> bool {
    let has = |wanted| connection_tokens(headers).any(|token| token.eq_ignore_ascii_case(wanted));
    match version {
        Version::HTTP_11 => has("close"),
        _ => !has("keep-alive"),
    }
}

/// Returns the time after which the sender of a message closes the connection while it is idle, as
/// the `keep-alive` field's `timeout` parameter states it in whole seconds; `None` if it doesn't.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let params = headers.get_all("keep-alive").iter().filter_map(|value| value.to_str().ok());
    let pairs = params.flat_map(|value| value.split(',')).filter_map(|param| param.split_once('='));
    let mut timeouts =
        pairs.filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout")).map(|(_, secs)| secs);
    timeouts.find_map(|secs| secs.trim().parse().ok()).map(Duration::from_secs)
}

/// Returns whether the client waits for a 100 Continue response before it sends the body.
pub fn expects_continue(headers: &HeaderMap) -> bool {
    let is_continue = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"100-continue");
    headers.get(header::EXPECT).is_some_and(is_continue)
}
