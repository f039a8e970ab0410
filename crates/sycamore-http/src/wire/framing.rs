//! Body framing of messages (RFC 9112, section 6); rejects all ambiguous forms.

use super::error::HeadError;
use super::head::{RequestHead, ResponseHead};
use http::{header, HeaderMap, Method, StatusCode, Version};

/// Largest number of digits of a `content-length`; a `u64` can't overflow.
const MAX_LENGTH_DIGITS: usize = 18;

/// Framing of a message body, which determines where the body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// Body of this number of bytes (`content-length`).
    Length(u64),
    /// Body in chunks (`transfer-encoding: chunked`).
    Chunked,
    /// Body that ends when the connection is closed; responses only (RFC 9112, section 6.3).
    UntilClose,
}

/// Returns the framing of the body of the request with this head.
///
/// # Errors
/// [`HeadError`] for every form that two parsers may interpret differently.
pub fn request_framing(head: &RequestHead) -> Result<Framing, HeadError> {
    Ok(declared_framing(&head.headers, head.version)?.unwrap_or(Framing::Empty))
}

/// Returns the framing of the body of a response to a request with `method`.
///
/// # Errors
/// The errors of [`request_framing`], and [`HeadError::Upgrade`] if the response switches
/// protocols.
pub fn response_framing(head: &ResponseHead, method: &Method) -> Result<Framing, HeadError> {
    let framing = declared_framing(&head.headers, head.version)?;
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

/// Returns the framing in the header fields; `None` if they declare none.
fn declared_framing(headers: &HeaderMap, version: Version) -> Result<Option<Framing>, HeadError> {
    let chunked = is_chunked(headers, version)?;
    let length = content_length(headers)?;
    match (chunked, length) {
        (true, Some(_)) => Err(HeadError::BothLengths),
        (true, None) => Ok(Some(Framing::Chunked)),
        (false, Some(bytes)) => Ok(Some(Framing::Length(bytes))),
        (false, None) => Ok(None),
    }
}

fn is_chunked(headers: &HeaderMap, version: Version) -> Result<bool, HeadError> {
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

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, HeadError> {
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
