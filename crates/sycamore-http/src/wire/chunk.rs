//! Chunked bodies (RFC 9112, section 7.1). Extensions and trailers are dropped.

use super::body::Piece;
use super::error::BodyError;
use bytes::{Buf, BytesMut};

/// Longest size line, its extensions included, in bytes.
const MAX_SIZE_LINE: usize = 256;
/// Most hexadecimal digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 15;
/// Longest trailer section, in bytes.
const MAX_TRAILER: usize = 8 << 10;

/// Decodes one chunked body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ChunkDecoder {
    /// A size line comes next.
    Size,
    /// This many bytes of the chunk are left.
    Data(u64),
    /// The CR LF after a chunk comes next.
    DataEnd,
    /// The trailer section, of which this many bytes were dropped.
    Trailer(usize),
    /// The body has ended.
    Done,
}

impl ChunkDecoder {
    pub(super) fn decode(&mut self, buf: &mut BytesMut) -> Result<Piece, BodyError> {
        loop {
            let next = match *self {
                ChunkDecoder::Size => size_line(buf)?.map(after_size),
                ChunkDecoder::Data(left) => return Ok(self.data(left, buf)),
                ChunkDecoder::DataEnd => data_end(buf)?,
                ChunkDecoder::Trailer(dropped) => trailer_line(dropped, buf)?,
                ChunkDecoder::Done => return Ok(Piece::End),
            };
            match next {
                Some(state) => *self = state,
                None => return Ok(Piece::Need),
            }
        }
    }

    fn data(&mut self, left: u64, buf: &mut BytesMut) -> Piece {
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

fn size_line(buf: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    let Some(line) = line_len(buf, MAX_SIZE_LINE, BodyError::ChunkSize)? else {
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

fn data_end(buf: &mut BytesMut) -> Result<Option<ChunkDecoder>, BodyError> {
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

fn trailer_line(dropped: usize, buf: &mut BytesMut) -> Result<Option<ChunkDecoder>, BodyError> {
    let allowed = MAX_TRAILER - dropped;
    let Some(line) = line_len(buf, allowed, BodyError::Trailer)? else {
        return Ok(None);
    };
    buf.advance(line + 2);
    Ok(Some(match line {
        0 => ChunkDecoder::Done,
        line => ChunkDecoder::Trailer(MAX_TRAILER.min(dropped + line + 2)),
    }))
}

/// Length of the line at the front of `buf`, without its CR LF; `None` where it has not ended.
fn line_len(buf: &[u8], most: usize, err: BodyError) -> Result<Option<usize>, BodyError> {
    match buf.iter().position(|&byte| byte == b'\n') {
        Some(0) => Err(err),
        Some(lf) if buf[lf - 1] != b'\r' || lf - 1 > most => Err(err),
        Some(lf) if buf[..lf - 1].contains(&b'\r') => Err(err),
        Some(lf) => Ok(Some(lf - 1)),
        None if buf.len() > most + 1 => Err(err),
        None => Ok(None),
    }
}
