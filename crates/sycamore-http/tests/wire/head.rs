//! Tests of the head parser and encoder: valid heads are accepted, and heads that two parsers may
//! interpret differently are refused.

use bytes::BytesMut;
use http::{Method, StatusCode};
use quickcheck::quickcheck;
use sycamore_http::wire::{
    encode_request, encode_response, parse_request, parse_response, request_framing,
    response_framing,
};
use sycamore_http::{Framing, HeadError, HeadLimits};

/// Parses a request head and returns its framing; `None` if the head is incomplete.
fn request(bytes: &str) -> Result<Option<Framing>, HeadError> {
    let mut buf = BytesMut::from(bytes);
    match parse_request(&mut buf, &HeadLimits::default())? {
        Some(head) => request_framing(&head).map(Some),
        None => Ok(None),
    }
}

/// Parses the head of a response to `method` and returns its framing.
fn response(bytes: &str, method: &Method) -> Result<Framing, HeadError> {
    let mut buf = BytesMut::from(bytes);
    let head = parse_response(&mut buf, &HeadLimits::default())?.expect("head is complete");
    response_framing(&head, method)
}

/// Parses the head of a POST request with `fields` and returns its framing.
fn post(fields: &str) -> Result<Option<Framing>, HeadError> {
    request(&format!("POST /intake HTTP/1.1\r\nhost: a\r\n{fields}\r\n"))
}

// Guards against refusing a valid request or reading a wrong framing from it.
#[test]
fn valid_requests_are_accepted() {
    assert_eq!(post(""), Ok(Some(Framing::Empty)));
    assert_eq!(post("content-length: 3\r\n"), Ok(Some(Framing::Length(3))));
    assert_eq!(post("Transfer-Encoding: Chunked\r\n"), Ok(Some(Framing::Chunked)));
    assert_eq!(request("\r\nGET / HTTP/1.1\r\n\r\n"), Ok(Some(Framing::Empty)));
    assert_eq!(request("GET / HTTP/1.1\r\nhost: a\r\n"), Ok(None));
}

// Guards against request smuggling: two parsers on the path that read these lengths, codings or
// lines differently see different requests.
#[test]
fn smuggling_forms_are_refused_with_400() {
    let cases = [
        ("content-length: 3\r\ntransfer-encoding: chunked\r\n", HeadError::BothLengths),
        ("content-length: 3\r\ncontent-length: 4\r\n", HeadError::ManyLengths),
        ("content-length: 3\r\ncontent-length: 3\r\n", HeadError::ManyLengths),
        ("content-length: 3, 3\r\n", HeadError::ManyLengths),
        ("content-length: +3\r\n", HeadError::BadLength),
        ("content-length: 0x3\r\n", HeadError::BadLength),
        ("content-length:\r\n", HeadError::BadLength),
        ("content-length: 9999999999999999999\r\n", HeadError::BadLength),
        ("transfer-encoding: gzip, chunked\r\n", HeadError::Coding),
        ("transfer-encoding: identity\r\n", HeadError::Coding),
        ("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n", HeadError::Coding),
        ("content-length : 3\r\n", HeadError::Malformed),
        ("a: b\r\n folded\r\n", HeadError::Malformed),
        ("a: b\nc: d\r\n", HeadError::Malformed),
        ("a: b\rc: d\r\n", HeadError::Malformed),
    ];
    for (fields, err) in cases {
        assert_eq!(post(fields), Err(err), "{fields:?}");
        assert_eq!(err.status(), StatusCode::BAD_REQUEST);
    }
}

// Guards against request smuggling with bare line feeds, which end a line for some parsers only.
#[test]
fn bare_line_feeds_do_not_hide_a_second_request() {
    let bytes = "GET /a HTTP/1.1\nhost: a\n\nGET /b HTTP/1.1\r\nhost: a\r\n\r\n";
    assert_eq!(request(bytes), Err(HeadError::Malformed));
}

// Guards against accepting proxy forms of the target, unknown versions, or chunks in HTTP/1.0.
#[test]
fn unsupported_targets_and_versions_are_refused() {
    assert_eq!(request("GET http://b/ HTTP/1.1\r\n\r\n"), Err(HeadError::Target));
    assert_eq!(request("OPTIONS * HTTP/1.1\r\n\r\n"), Err(HeadError::Target));
    assert_eq!(request("CONNECT b:1 HTTP/1.1\r\n\r\n"), Err(HeadError::Target));
    assert_eq!(request("GET / HTTP/2.0\r\n\r\n"), Err(HeadError::Version));
    let old = "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_eq!(request(old), Err(HeadError::Coding));
}

// Guards against buffering a head without limit, complete or not.
#[test]
fn large_heads_are_refused_with_431() {
    let limit = HeadLimits::default().bytes;
    let whole = post(&format!("a: {}\r\n", "b".repeat(limit)));
    assert_eq!(whole, Err(HeadError::TooLarge));
    assert_eq!(request(&"b".repeat(limit)), Err(HeadError::TooLarge));
    let many = post(&"a: b\r\n".repeat(limit / 6));
    assert_eq!(many, Err(HeadError::TooLarge));
    assert_eq!(HeadError::TooLarge.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
}

/// Returns `count` fields with different names, whose values are their indexes.
fn fields(count: usize) -> String {
    (0..count).map(|i| format!("f{i}: {i}\r\n")).collect()
}

// Guards against a final refusal of a head that is small enough but has many fields: callers and
// upstreams are told of a limit in bytes alone.
#[test]
fn every_field_of_a_head_within_its_bytes_is_read() {
    for count in [0, 1, 95, 96, 97, 98, 192, 193, 1_000] {
        let text = format!("GET /a HTTP/1.1\r\n{}\r\nbody", fields(count));
        let mut buf = BytesMut::from(text.as_str());
        let head = parse_request(&mut buf, &HeadLimits::default()).unwrap().unwrap();
        assert_eq!((head.uri.path(), head.headers.len()), ("/a", count));
        let values = (0..count).map(|i| head.headers.get(format!("f{i}")).cloned());
        let all =
            values.enumerate().all(|(i, value)| value.is_some_and(|value| value == i.to_string()));
        assert!(all, "{:?}", head.headers);
        assert_eq!(&buf[..], b"body");

        let text = format!("HTTP/1.1 204 No Content\r\n{}\r\n", fields(count));
        let mut buf = BytesMut::from(text.as_str());
        let head = parse_response(&mut buf, &HeadLimits::default()).unwrap().unwrap();
        assert_eq!((head.status, head.headers.len()), (StatusCode::NO_CONTENT, count));
    }
}

// Guards against checks that only the first fields get: a fault must be found wherever it stands.
#[test]
fn faults_behind_many_fields_are_refused() {
    for before in 90..100 {
        let before = fields(before);
        for (fault, err) in [
            (" folded\r\n", HeadError::Malformed),
            ("a : b\r\n", HeadError::Malformed),
            ("no colon\r\n", HeadError::Malformed),
            ("a: b\nc: d\r\n", HeadError::Malformed),
            ("content-length: 3\r\ncontent-length: 4\r\n", HeadError::ManyLengths),
            ("content-length: 3\r\ntransfer-encoding: chunked\r\n", HeadError::BothLengths),
        ] {
            assert_eq!(post(&format!("{before}{fault}")), Err(err), "{fault:?}");
        }
    }
}

// Guards against a node that ends itself on a head with more field names than a map of them can
// hold, or on the fields that it adds to such a head.
#[test]
fn fields_beyond_the_capacity_of_a_map_are_refused_with_431() {
    let parse = |count| {
        let text = format!("GET /a HTTP/1.1\r\n{}\r\n", fields(count));
        parse_request(&mut BytesMut::from(text.as_str()), &HeadLimits { bytes: 1 << 20 })
    };
    let mut head = parse(23_999).unwrap().unwrap();
    for i in 0..500 {
        let name = http::HeaderName::try_from(format!("added-{i}")).unwrap();
        head.headers.insert(name, http::HeaderValue::from_static("1"));
    }
    for count in [24_200, 24_576, 24_577, 32_768, 40_000] {
        assert_eq!(parse(count).map(|_| ()), Err(HeadError::TooManyFields), "{count}");
    }
    assert_eq!(HeadError::TooManyFields.status(), StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
}

// Guards against a wrong end of a response's body, which depends on the status, the request's
// method and the length, and against accepting a protocol switch.
#[test]
fn response_framing_depends_on_status_method_and_length() {
    let get = Method::GET;
    let taken = response("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n", &get);
    assert_eq!(taken, Ok(Framing::Length(7)));
    let unframed = response("HTTP/1.1 200 OK\r\n\r\n", &get);
    assert_eq!(unframed, Ok(Framing::UntilClose));
    assert_eq!(response("HTTP/1.1 204 No Content\r\n\r\n", &get), Ok(Framing::Empty));
    let head = response("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n", &Method::HEAD);
    assert_eq!(head, Ok(Framing::Empty));
    let switch = response("HTTP/1.1 101 Switching Protocols\r\n\r\n", &get);
    assert_eq!(switch, Err(HeadError::Upgrade));
    let both = "HTTP/1.1 204 No Content\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n";
    assert_eq!(response(both, &get), Err(HeadError::ManyLengths));
}

// Guards against a relayed head with both lengths, when its body is framed anew.
#[test]
fn encoded_head_has_one_framing_only() {
    let mut buf = BytesMut::from(
        "POST /a?b=c HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\naccept: */*\r\n\r\n",
    );
    let head = parse_request(&mut buf, &HeadLimits::default()).unwrap().unwrap();
    let mut out = BytesMut::new();
    encode_request(&head, Framing::Chunked, &mut out);
    let text = std::str::from_utf8(&out).unwrap();
    assert!(text.starts_with("POST /a?b=c HTTP/1.1\r\n"), "{text}");
    assert!(!text.contains("content-length"), "{text}");
    assert!(text.contains("transfer-encoding: chunked\r\n"), "{text}");
}

// Guards against dropping the length from the response to a HEAD request, which has no body.
#[test]
fn response_to_head_keeps_its_content_length() {
    let mut buf = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n");
    let head = parse_response(&mut buf, &HeadLimits::default()).unwrap().unwrap();
    let mut out = BytesMut::new();
    encode_response(&head, Framing::Empty, &mut out);
    assert_eq!(&out[..], b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n");
}

// Guards against a panic of the parser on any byte in a field's name or value.
#[test]
fn any_byte_in_a_field_is_accepted_or_refused_without_panic() {
    for byte in 0..=u8::MAX {
        for (before, after) in [("x", "y: z"), ("x: y", "z")] {
            let mut buf = BytesMut::from("GET / HTTP/1.1\r\n");
            buf.extend_from_slice(before.as_bytes());
            buf.extend_from_slice(&[byte]);
            buf.extend_from_slice(after.as_bytes());
            buf.extend_from_slice(b"\r\n\r\n");
            drop(parse_request(&mut buf, &HeadLimits::default()));
        }
    }
}

quickcheck! {
    // Guards against a panic of the head parsers on arbitrary bytes.
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let mut buf = BytesMut::from(&bytes[..]);
        drop(parse_request(&mut buf, &HeadLimits::default()));
        let mut buf = BytesMut::from(&bytes[..]);
        drop(parse_response(&mut buf, &HeadLimits::default()));
        true
    }

    // Guards against a panic on arbitrary bytes in a well-formed frame of target, name and value.
    fn arbitrary_fields_never_panic(name: Vec<u8>, value: Vec<u8>, target: Vec<u8>) -> bool {
        let mut buf = BytesMut::from("GET /");
        buf.extend_from_slice(&target);
        buf.extend_from_slice(b" HTTP/1.1\r\n");
        buf.extend_from_slice(&name);
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(&value);
        buf.extend_from_slice(b"\r\n\r\n");
        if let Ok(Some(head)) = parse_request(&mut buf, &HeadLimits::default()) {
            let _ = request_framing(&head);
        }
        true
    }

    // Guards against a head that is refused or left unread because it arrives in two reads.
    fn head_is_parsed_the_same_wherever_it_is_split(cut: usize) -> bool {
        let bytes = b"PUT /photo/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 12\r\n\r\n";
        let cut = cut % bytes.len();
        let mut buf = BytesMut::from(&bytes[..cut]);
        let early = parse_request(&mut buf, &HeadLimits::default());
        buf.extend_from_slice(&bytes[cut..]);
        let whole = parse_request(&mut buf, &HeadLimits::default());
        matches!(early, Ok(None)) && matches!(whole, Ok(Some(_))) && buf.is_empty()
    }
}

/// Guards against waiting for the end of a head that no response begins with: the bytes may come
/// without end, one at a time.
#[test]
fn bytes_that_begin_no_response_are_refused_at_once() {
    for bytes in ["n", "HTTQ", "\r\n", "http/1.1 200"] {
        let mut buf = BytesMut::from(bytes);
        assert!(parse_response(&mut buf, &HeadLimits::DEFAULT).is_err(), "{bytes:?}");
    }
    let mut buf = BytesMut::from("HTTP/1.1 2");
    assert!(matches!(parse_response(&mut buf, &HeadLimits::DEFAULT), Ok(None)));
}
