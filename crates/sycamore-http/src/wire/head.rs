//! Parser and encoder of message heads: request line or status line, and header fields.
//!
//! The decoder of `monoio-http` accepts bare line feeds and heads of any size. The checks here
//! reject both before the decoder gets the bytes.

use super::error::HeadError;
use super::framing::Framing;
use bytes::{Buf, BufMut, BytesMut};
use http::{header, HeaderMap, Version};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};

/// Method, target, version and header fields of a request.
pub type RequestHead = http::request::Parts;
/// Status, version and header fields of a response.
pub type ResponseHead = http::response::Parts;

/// Last line end of a head and the empty line after it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Limits of a message head.
#[derive(Debug, Clone)]
pub struct HeadLimits {
    /// Largest size in bytes, the empty line included.
    pub bytes: usize,
}

impl HeadLimits {
    /// Limits of [`HeadLimits::default`], for constant contexts.
    pub const DEFAULT: HeadLimits = HeadLimits { bytes: 16 << 10 };
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Removes a request head from the front of `buf`; `None` if the head is incomplete.
///
/// # Errors
/// [`HeadError`] if the head is invalid or exceeds `limits`; the connection can't be used any
/// further.
pub fn parse_request(
    buf: &mut BytesMut,
    limits: &HeadLimits,
) -> Result<Option<RequestHead>, HeadError> {
    while buf.starts_with(b"\r\n") {
        buf.advance(2);
    }
    if !is_complete(buf, limits)? {
        return Ok(None);
    }
    let head = decode(RequestHeadDecoder, buf)?;
    if !matches!(head.version, Version::HTTP_10 | Version::HTTP_11) {
        return Err(HeadError::Version);
    }
    if head.uri.scheme().is_some() || head.uri.authority().is_some() {
        return Err(HeadError::Target);
    }
    if !head.uri.path().starts_with('/') {
        return Err(HeadError::Target);
    }
    Ok(Some(head))
}

/// Removes a response head from the front of `buf`; `None` if the head is incomplete.
///
/// # Errors
/// [`HeadError`] if the head is invalid or exceeds `limits`; the connection can't be used any
/// further.
pub fn parse_response(
    buf: &mut BytesMut,
    limits: &HeadLimits,
) -> Result<Option<ResponseHead>, HeadError> {
    // Bytes that can't begin a response need no further ones to be refused.
    if buf.iter().zip(RESPONSE_START).any(|(byte, expected)| byte != expected) {
        return Err(HeadError::Malformed);
    }
    if !is_complete(buf, limits)? {
        return Ok(None);
    }
    decode(ResponseHeadDecoder, buf).map(Some)
}

/// First bytes of every response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Returns whether `buf` holds a complete head, and checks the size and the line ends of the head.
fn is_complete(buf: &[u8], limits: &HeadLimits) -> Result<bool, HeadError> {
    let Some(at) = buf.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
        if buf.len() >= limits.bytes {
            return Err(HeadError::TooLarge);
        }
        return Ok(false);
    };
    let end = at + HEAD_END.len();
    if end > limits.bytes {
        return Err(HeadError::TooLarge);
    }
    check_line_ends(&buf[..end])?;
    Ok(true)
}

/// Checks that every LF follows a CR and every CR precedes an LF. The decoder takes a bare LF as a
/// line end, but other parsers don't, so that the two could see different requests.
fn check_line_ends(head: &[u8]) -> Result<(), HeadError> {
    let mut before = 0;
    for &byte in head {
        if (byte == b'\n') != (before == b'\r') {
            return Err(HeadError::Malformed);
        }
        before = byte;
    }
    Ok(())
}

fn decode<D: Decoder<Error = DecodeError>>(
    mut decoder: D,
    buf: &mut BytesMut,
) -> Result<D::Item, HeadError> {
    match decoder.decode(buf) {
        Ok(Decoded::Some(head)) => Ok(head),
        Ok(Decoded::Insufficient | Decoded::InsufficientAtLeast(_)) => Err(HeadError::Malformed),
        Err(DecodeError::Parse(err)) => Err(parse_error(&err.to_string())),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// Maps the text of a parser error to the two kinds that are answered with a status other than 400.
/// `monoio-http` does not export the parser's error type, so only the text distinguishes them.
fn parse_error(text: &str) -> HeadError {
    match text {
        "too many headers" => HeadError::TooManyFields,
        "invalid HTTP version" => HeadError::Version,
        _ => HeadError::Malformed,
    }
}

/// Appends a request head to `out` with the header fields of `framing`.
pub fn encode_request(head: &RequestHead, framing: Framing, out: &mut BytesMut) {
    out.put_slice(head.method.as_str().as_bytes());
    out.put_u8(b' ');
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    out.put_slice(target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    encode_fields(&head.headers, framing, out);
}

/// Appends a response head to `out` with the header fields of `framing`.
pub fn encode_response(head: &ResponseHead, framing: Framing, out: &mut BytesMut) {
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(head.status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(head.status.canonical_reason().unwrap_or("").as_bytes());
    out.put_slice(b"\r\n");
    encode_fields(&head.headers, framing, out);
}

fn encode_fields(headers: &HeaderMap, framing: Framing, out: &mut BytesMut) {
    for (name, value) in headers {
        let replaced = name == header::TRANSFER_ENCODING
            || (name == header::CONTENT_LENGTH && framing != Framing::Empty);
        if !replaced {
            out.put_slice(name.as_str().as_bytes());
            out.put_slice(b": ");
            out.put_slice(value.as_bytes());
            out.put_slice(b"\r\n");
        }
    }
    match framing {
        Framing::Empty => {}
        Framing::Length(bytes) => {
            out.put_slice(b"content-length: ");
            out.put_slice(bytes.to_string().as_bytes());
            out.put_slice(b"\r\n");
        }
        Framing::Chunked | Framing::UntilClose => {
            out.put_slice(b"transfer-encoding: chunked\r\n");
        }
    }
    out.put_slice(b"\r\n");
}
