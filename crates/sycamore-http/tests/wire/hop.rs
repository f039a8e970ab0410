//! Fields of one connection do not travel on.

use http::{HeaderMap, HeaderName, HeaderValue, Version};
use sycamore_http::wire::{expects_continue, strip_hop_by_hop, wants_close};

fn fields(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)))
        .collect()
}

#[test]
fn hop_by_hop_fields_are_removed() {
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

#[test]
fn persistence_follows_the_version() {
    let none = fields(&[]);
    let close = fields(&[("connection", "foo, Close")]);
    let keep = fields(&[("connection", "Keep-Alive")]);
    assert!(!wants_close(&none, Version::HTTP_11));
    assert!(wants_close(&close, Version::HTTP_11));
    assert!(wants_close(&none, Version::HTTP_10));
    assert!(!wants_close(&keep, Version::HTTP_10));
}

#[test]
fn the_expectation_is_seen() {
    assert!(expects_continue(&fields(&[("expect", "100-Continue")])));
    assert!(!expects_continue(&fields(&[])));
}
