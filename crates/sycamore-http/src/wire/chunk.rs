//! Decoder of chunked bodies (RFC 9112, section 7.1), which discards extensions and trailers.

use super::body::Piece;
use super::error::BodyError;
use bytes::{Buf, BytesMut};

/// Largest chunk size line in bytes, extensions included.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Largest number of hexadecimal digits of a chunk size; a `u64` can't overflow.
const MAX_SIZE_DIGITS: usize = 15;
/// Largest trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// State of the decoder of one chunked body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ChunkDecoder {
    /// Expects the size line of the next chunk.
    Size,
    /// Expects this number of bytes of the current chunk.
    Data(u64),
    /// Expects the CR LF after a chunk's data.
    DataEnd,
    /// Expects a line of the trailer section, of which this number of bytes was discarded.
    Trailer(usize),
    /// Expects nothing more: the body has ended.
    Done,
}

impl ChunkDecoder {
    /// Removes the next piece of the body from the front of `buf`.
    pub(super) fn decode(&mut self, buf: &mut BytesMut) -> Result<Piece, BodyError> {
        loop {
            let next = match *self {
                ChunkDecoder::Size => take_size_line(buf)?.map(after_size),
                ChunkDecoder::Data(left) => return Ok(self.take_data(left, buf)),
                ChunkDecoder::DataEnd => take_data_end(buf)?,
                ChunkDecoder::Trailer(discarded) => take_trailer_line(discarded, buf)?,
                ChunkDecoder::Done => return Ok(Piece::End),
            };
            match next {
                Some(state) => *self = state,
                None => return Ok(Piece::Need),
            }
        }
    }

    fn take_data(&mut self, left: u64, buf: &mut BytesMut) -> Piece {
        if buf.is_empty() {
            return Piece::Need;
        }
        let take = buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let rest = left - take as u64;
        *self = if rest == 0 { ChunkDecoder::DataEnd } else { ChunkDecoder::Data(rest) };
        Piece::Data(buf.split_to(take).freeze())
    }
}

fn after_size(size: u64) -> ChunkDecoder {
    match size {
        0 => ChunkDecoder::Trailer(0),
        size => ChunkDecoder::Data(size),
    }
}

/// Removes a size line and returns the chunk's size; `None` if the line is incomplete.
fn take_size_line(buf: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    let Some(line) = line_len(buf, MAX_SIZE_LINE_BYTES, BodyError::ChunkSize)? else {
        return Ok(None);
    };
    let digits = buf[..line].split(|&byte| byte == b';').next().unwrap_or_default();
    let size = parse_size(digits)?;
    buf.advance(line + 2);
    Ok(Some(size))
}

fn parse_size(digits: &[u8]) -> Result<u64, BodyError> {
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS {
        return Err(BodyError::ChunkSize);
    }
    digits.iter().try_fold(0, |sum, &digit| {
        let value = char::from(digit).to_digit(16).ok_or(BodyError::ChunkSize)?;
        Ok(sum << 4 | u64::from(value))
    })
}

/// Removes the CR LF after a chunk's data and returns the next state; `None` if it is incomplete.
fn take_data_end(buf: &mut BytesMut) -> Result<Option<ChunkDecoder>, BodyError> {
    let seen = buf.len().min(2);
    if buf[..seen] != b"\r\n"[..seen] {
        return Err(BodyError::ChunkEnd);
    }
    if seen < 2 {
        return Ok(None);
    }
    buf.advance(2);
    Ok(Some(ChunkDecoder::Size))
}

/// Removes a trailer line and returns the next state; `None` if the line is incomplete.
fn take_trailer_line(
    discarded: usize,
    buf: &mut BytesMut,
) -> Result<Option<ChunkDecoder>, BodyError> {
    let allowed = MAX_TRAILER_BYTES - discarded;
    let Some(line) = line_len(buf, allowed, BodyError::Trailer)? else {
        return Ok(None);
    };
    buf.advance(line + 2);
    Ok(Some(match line {
        0 => ChunkDecoder::Done,
        line => ChunkDecoder::Trailer(MAX_TRAILER_BYTES.min(discarded + line + 2)),
    }))
}

/// Returns the length of the line at the front of `buf` without its CR LF; `None` if the line is
/// incomplete, and `err` if it is longer than `max` bytes or has a bare CR or LF.
fn line_len(buf: &[u8], max: usize, err: BodyError) -> Result<Option<usize>, BodyError> {
    match buf.iter().position(|&byte| byte == b'\n') {
        Some(0) => Err(err),
        Some(lf) if buf[lf - 1] != b'\r' || lf - 1 > max => Err(err),
        Some(lf) if buf[..lf - 1].contains(&b'\r') => Err(err),
        Some(lf) => Ok(Some(lf - 1)),
        None if buf.len() > max + 1 => Err(err),
        None => Ok(None),
    }
}
