//! Decoding of checked heads in parts of as many fields as the decoder of `monoio-http` accepts.

use super::error::HeadError;
use bytes::{BufMut, BytesMut};
use http::HeaderMap;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder};

/// Largest number of fields that the decoder of `monoio-http` accepts in one head.
const MAX_PART_FIELDS: usize = 96;
/// Largest number of field names in a head. A [`HeaderMap`] panics when it is full, so room is left
/// for the fields that a node adds.
const MAX_NAMES: usize = 24_000;
/// Start line of the parts after the first, which the decoder needs.
const PART_START: &[u8] = b"GET / HTTP/1.1\r\n";

/// Size of a complete head at the front of a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HeadSize {
    /// Size in bytes, the empty line included.
    pub(super) bytes: usize,
    /// Number of lines, the start line and the empty line included.
    pub(super) lines: usize,
}

/// Removes the head of this `size` from the front of `buf`. Its lines must end in CRLF.
///
/// # Errors
/// [`HeadError`] if the head is invalid or has more than [`MAX_NAMES`] field names.
pub(super) fn decode<D: Decoder<Error = DecodeError>>(
    decoder: D,
    buf: &mut BytesMut,
    size: HeadSize,
    headers_of: impl Fn(&mut D::Item) -> &mut HeaderMap,
) -> Result<D::Item, HeadError> {
    if size.lines <= MAX_PART_FIELDS + 2 {
        return decode_part(decoder, buf);
    }
    let head = buf.split_to(size.bytes);
    let mut lines = head.split_inclusive(|byte| *byte == b'\n').take(size.lines - 1);
    let first = part(lines.next().unwrap_or_default(), &mut lines);
    let mut item = decode_part(decoder, &mut { first })?;
    let mut lines = lines.peekable();
    while lines.peek().is_some() {
        let more = decode_part(RequestHeadDecoder, &mut part(PART_START, &mut lines))?.headers;
        append_all(headers_of(&mut item), &more)?;
    }
    Ok(item)
}

/// Returns a head of `start` and the next [`MAX_PART_FIELDS`] of the fields' `lines`.
fn part<'a>(start: &[u8], lines: &mut impl Iterator<Item = &'a [u8]>) -> BytesMut {
    let mut part = BytesMut::from(start);
    lines.take(MAX_PART_FIELDS).for_each(|line| part.put_slice(line));
    part.put_slice(b"\r\n");
    part
}

fn append_all(headers: &mut HeaderMap, more: &HeaderMap) -> Result<(), HeadError> {
    if headers.keys_len() + more.keys_len() > MAX_NAMES {
        return Err(HeadError::TooManyFields);
    }
    for (name, value) in more {
        headers.append(name.clone(), value.clone());
    }
    Ok(())
}

fn decode_part<D: Decoder<Error = DecodeError>>(
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
