//! Parser and encoder of message heads: request line or status line, and header fields.
//!
//! The decoder of `monoio-http` accepts bare line feeds and heads of any size. The checks here
//! reject both before the decoder gets the bytes.

use super::decode::{decode, HeadSize};
use super::error::HeadError;
use super::framing::Framing;
use bytes::{Buf, BufMut, BytesMut};
use http::{header, HeaderMap, Version};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};

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
    let Some(size) = complete_size(buf, limits)? else { return Ok(None) };
    let head = decode(RequestHeadDecoder, buf, size, |head| &mut head.headers)?;
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
    let Some(size) = complete_size(buf, limits)? else { return Ok(None) };
    let head = decode(ResponseHeadDecoder, buf, size, |head| &mut head.headers)?;
    // The decoder takes statuses up to 999, which belong to no class (RFC 9110, section 15).
    match head.status.as_u16() {
        ..=MAX_STATUS => Ok(Some(head)),
        _ => Err(HeadError::Malformed),
    }
}

/// Highest status of a response.
const MAX_STATUS: u16 = 599;

/// First bytes of every response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Returns the size of the head in `buf`, whose size and line ends are checked; `None` if the head
/// is incomplete.
fn complete_size(buf: &[u8], limits: &HeadLimits) -> Result<Option<HeadSize>, HeadError> {
    let Some(at) = buf.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
        if buf.len() >= limits.bytes {
            return Err(HeadError::TooLarge);
        }
        return Ok(None);
    };
    let end = at + HEAD_END.len();
    if end > limits.bytes {
        return Err(HeadError::TooLarge);
    }
    let lines = count_lines(&buf[..end])?;
    Ok(Some(HeadSize { bytes: end, lines }))
}

/// Returns the number of lines of a head after checking that every LF follows a CR and every CR
/// precedes an LF. The decoder takes a bare LF as a line end, but other parsers don't, so that the
/// two could see different requests.
fn count_lines(head: &[u8]) -> Result<usize, HeadError> {
    let mut lines = 0;
    let mut before = 0;
    for &byte in head {
        if (byte == b'\n') != (before == b'\r') {
            return Err(HeadError::Malformed);
        }
        lines += usize::from(byte == b'\n');
        before = byte;
    }
    Ok(lines)
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
