//! How the end of a body is found (RFC 9112, section 6), in its strict reading.

use super::error::HeadError;
use super::head::{RequestHead, ResponseHead};
use http::{header, HeaderMap, Method, StatusCode, Version};

/// Most digits of a `content-length`.
const MAX_LENGTH_DIGITS: usize = 18;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends where its connection is closed; only a response's may (RFC 9112, section 6.3).
    UntilClose,
}

/// The framing of a request's body.
///
/// # Errors
/// [`HeadError`] for every form that two parsers may read differently.
pub fn request_framing(head: &RequestHead) -> Result<Framing, HeadError> {
    Ok(declared(&head.headers, head.version)?.unwrap_or(Framing::Empty))
}

/// The framing of the body of a response to a request with `method`.
///
/// # Errors
/// [`HeadError`] as for requests, and for a response that switches protocols.
pub fn response_framing(head: &ResponseHead, method: &Method) -> Result<Framing, HeadError> {
    let framing = declared(&head.headers, head.version)?;
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(HeadError::Upgrade);
    }
    if has_no_body(head.status, method) {
        return Ok(Framing::Empty);
    }
    Ok(framing.unwrap_or(Framing::UntilClose))
}

fn has_no_body(status: StatusCode, method: &Method) -> bool {
    method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

fn declared(headers: &HeaderMap, version: Version) -> Result<Option<Framing>, HeadError> {
    let chunked = chunked(headers, version)?;
    let length = length(headers)?;
    match (chunked, length) {
        (true, Some(_)) => Err(HeadError::BothLengths),
        (true, None) => Ok(Some(Framing::Chunked)),
        (false, Some(bytes)) => Ok(Some(Framing::Length(bytes))),
        (false, None) => Ok(None),
    }
}

fn chunked(headers: &HeaderMap, version: Version) -> Result<bool, HeadError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let alone = codings.next().is_none();
    if alone && version == Version::HTTP_11 && coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Ok(true);
    }
    Err(HeadError::Coding)
}

fn length(headers: &HeaderMap) -> Result<Option<u64>, HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() {
        return Err(HeadError::ManyLengths);
    }
    parse_length(length.as_bytes()).map(Some)
}

fn parse_length(digits: &[u8]) -> Result<u64, HeadError> {
    if digits.contains(&b',') {
        return Err(HeadError::ManyLengths);
    }
    let plain = !digits.is_empty()
        && digits.len() <= MAX_LENGTH_DIGITS
        && digits.iter().all(u8::is_ascii_digit);
    if !plain {
        return Err(HeadError::BadLength);
    }
    Ok(digits.iter().fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0')))
}
