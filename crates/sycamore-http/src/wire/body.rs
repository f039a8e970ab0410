//! Incremental decoder and encoder of message bodies.

use super::chunk::ChunkDecoder;
use super::error::BodyError;
use super::framing::Framing;
use bytes::{BufMut, Bytes, BytesMut};

/// Result of one [`BodyDecoder::decode`] call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Next bytes of the body.
    Data(Bytes),
    /// The input is consumed and the body has not ended.
    Need,
    /// The body has ended; the rest of the input belongs to the next message.
    End,
}

/// Incremental decoder of one message body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyDecoder(Decoding);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Decoding {
    Length(u64),
    Chunked(ChunkDecoder),
    UntilClose { closed: bool },
}

impl BodyDecoder {
    /// Creates a decoder of a body framed as `framing`.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty => Decoding::Length(0),
            Framing::Length(bytes) => Decoding::Length(bytes),
            Framing::Chunked => Decoding::Chunked(ChunkDecoder::Size),
            Framing::UntilClose => Decoding::UntilClose { closed: false },
        })
    }

    /// Removes the next piece of the body from the front of `buf`.
    ///
    /// # Errors
    /// [`BodyError`] if the framing is invalid; the connection can't be used any further.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Piece, BodyError> {
        match &mut self.0 {
            Decoding::Length(0) => Ok(Piece::End),
            Decoding::Length(_) if buf.is_empty() => Ok(Piece::Need),
            Decoding::Length(left) => {
                let take = buf.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= take as u64;
                Ok(Piece::Data(buf.split_to(take).freeze()))
            }
            Decoding::Chunked(chunks) => chunks.decode(buf),
            Decoding::UntilClose { closed: true } => Ok(Piece::End),
            Decoding::UntilClose { .. } if buf.is_empty() => Ok(Piece::Need),
            Decoding::UntilClose { .. } => Ok(Piece::Data(buf.split().freeze())),
        }
    }

    /// Records that the peer closed the connection in an orderly way, and returns whether the body
    /// is complete. Only the close ends a body framed as [`Framing::UntilClose`]; another body that
    /// has not ended is incomplete.
    pub fn peer_closed(&mut self) -> bool {
        if let Decoding::UntilClose { closed } = &mut self.0 {
            *closed = true;
        }
        self.is_done()
    }

    /// Returns whether the body has ended.
    pub fn is_done(&self) -> bool {
        matches!(
            self.0,
            Decoding::Length(0)
                | Decoding::Chunked(ChunkDecoder::Done)
                | Decoding::UntilClose { closed: true }
        )
    }
}

/// Incremental encoder of one message body, which checks the body's length against the framing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyEncoder(Encoding);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Encoding {
    Length(u64),
    Chunked,
}

impl BodyEncoder {
    /// Creates an encoder of a body framed as `framing`.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty => Encoding::Length(0),
            Framing::Length(bytes) => Encoding::Length(bytes),
            // With chunks the receiver can detect a truncated body; with a closed connection as the
            // body's end it can't.
            Framing::Chunked | Framing::UntilClose => Encoding::Chunked,
        })
    }

    /// Appends `data` in the body's framing to `out`.
    ///
    /// # Errors
    /// [`BodyError::Excess`] if the body becomes longer than its declared length.
    pub fn encode(&mut self, data: &[u8], out: &mut BytesMut) -> Result<(), BodyError> {
        match &mut self.0 {
            Encoding::Length(left) => {
                *left = left.checked_sub(data.len() as u64).ok_or(BodyError::Excess)?;
                out.put_slice(data);
            }
            // A chunk of size 0 would end the body.
            Encoding::Chunked if data.is_empty() => {}
            Encoding::Chunked => {
                out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
                out.put_slice(data);
                out.put_slice(b"\r\n");
            }
        }
        Ok(())
    }

    /// Appends the end of the body, if its framing has one, to `out`.
    ///
    /// # Errors
    /// [`BodyError::Cut`] if the body is shorter than its declared length.
    pub fn finish(&mut self, out: &mut BytesMut) -> Result<(), BodyError> {
        match self.0 {
            Encoding::Length(0) => Ok(()),
            Encoding::Length(_) => Err(BodyError::Cut),
            Encoding::Chunked => {
                out.put_slice(b"0\r\n\r\n");
                Ok(())
            }
        }
    }
}
