//! Tests of the connection-specific header fields.

use http::{HeaderMap, HeaderName, HeaderValue, Version};
use std::time::Duration;
use sycamore_http::wire::{expects_continue, keep_alive_timeout, strip_hop_by_hop, wants_close};

fn fields(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)))
        .collect()
}

// Guards against forwarding a field that concerns one connection, and against removing a framing
// field because `connection` names it.
#[test]
fn hop_by_hop_fields_are_removed_and_framing_fields_kept() {
    let mut headers = fields(&[
        ("connection", "keep-alive, X-Only-Here, content-length"),
        ("keep-alive", "timeout=5"),
        ("x-only-here", "1"),
        ("te", "trailers"),
        ("upgrade", "websocket"),
        ("content-length", "3"),
        ("accept", "text/plain"),
    ]);
    strip_hop_by_hop(&mut headers);
    let mut left: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
    left.sort_unstable();
    assert_eq!(left, ["accept", "content-length"]);
}

// Guards against a wrong default persistence: HTTP/1.1 connections stay open, 1.0 ones are closed,
// unless the `connection` field says otherwise.
#[test]
fn connection_persistence_depends_on_the_version() {
    let none = fields(&[]);
    let close = fields(&[("connection", "foo, Close")]);
    let keep = fields(&[("connection", "Keep-Alive")]);
    assert!(!wants_close(&none, Version::HTTP_11));
    assert!(wants_close(&close, Version::HTTP_11));
    assert!(wants_close(&none, Version::HTTP_10));
    assert!(!wants_close(&keep, Version::HTTP_10));
}

// Guards against missing an `expect` field in another letter case.
#[test]
fn expect_continue_is_detected_in_any_letter_case() {
    assert!(expects_continue(&fields(&[("expect", "100-Continue")])));
    assert!(!expects_continue(&fields(&[])));
}

// Guards against a request on a connection that its peer has said to close by then.
#[test]
fn the_idle_timeout_of_the_keep_alive_field_is_read() {
    let timeout = |value: &'static str| keep_alive_timeout(&fields(&[("keep-alive", value)]));
    assert_eq!(timeout("timeout=5"), Some(Duration::from_secs(5)));
    assert_eq!(timeout("max=100, Timeout = 0"), Some(Duration::ZERO));
    for bad in ["", "max=100", "timeout", "timeout=", "timeout=-1", "timeout=1.5", "timeout=x"] {
        assert_eq!(timeout(bad), None, "{bad:?}");
    }
    assert_eq!(keep_alive_timeout(&fields(&[])), None);
}
