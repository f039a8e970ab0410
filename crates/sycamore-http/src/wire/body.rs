//! Bodies, decoded and encoded piece by piece.

use super::chunk::ChunkDecoder;
use super::error::BodyError;
use super::framing::Framing;
use bytes::{BufMut, Bytes, BytesMut};

/// What a body decoder found at the front of its input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// More input is needed.
    Need,
    /// The body has ended; what is left of the input belongs to the next message.
    End,
}

/// Decodes one body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyDecoder(Decoding);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Decoding {
    Length(u64),
    Chunked(ChunkDecoder),
    UntilClose { closed: bool },
}

impl BodyDecoder {
    /// A decoder of a body framed as `framing`.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty => Decoding::Length(0),
            Framing::Length(bytes) => Decoding::Length(bytes),
            Framing::Chunked => Decoding::Chunked(ChunkDecoder::Size),
            Framing::UntilClose => Decoding::UntilClose { closed: false },
        })
    }

    /// Takes the next piece off the front of `buf`.
    ///
    /// # Errors
    /// [`BodyError`] where the framing is broken; the connection can't be used any further.
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

    /// Takes note that the peer closed the connection in an orderly way, which ends a body that has
    /// no other end. Gives whether the body is whole now; any other body was cut.
    pub fn closed(&mut self) -> bool {
        if let Decoding::UntilClose { closed } = &mut self.0 {
            *closed = true;
        }
        self.is_done()
    }

    /// Whether the body has ended.
    pub fn is_done(&self) -> bool {
        matches!(
            self.0,
            Decoding::Length(0)
                | Decoding::Chunked(ChunkDecoder::Done)
                | Decoding::UntilClose { closed: true }
        )
    }
}

/// Encodes one body, and checks that it keeps to what its head announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyEncoder(Encoding);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Encoding {
    Length(u64),
    Chunked,
}

impl BodyEncoder {
    /// An encoder of a body framed as `framing`.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Empty => Encoding::Length(0),
            Framing::Length(bytes) => Encoding::Length(bytes),
            // Chunks show where a body was cut, which a closed connection does not.
            Framing::Chunked | Framing::UntilClose => Encoding::Chunked,
        })
    }

    /// Appends `data` to `out`.
    ///
    /// # Errors
    /// [`BodyError::Excess`] where the announced length is exceeded.
    pub fn encode(&mut self, data: &[u8], out: &mut BytesMut) -> Result<(), BodyError> {
        match &mut self.0 {
            Encoding::Length(left) => {
                *left = left.checked_sub(data.len() as u64).ok_or(BodyError::Excess)?;
                out.put_slice(data);
            }
            // An empty chunk would end the body.
            Encoding::Chunked if data.is_empty() => {}
            Encoding::Chunked => {
                out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
                out.put_slice(data);
                out.put_slice(b"\r\n");
            }
        }
        Ok(())
    }

    /// Appends what ends the body.
    ///
    /// # Errors
    /// [`BodyError::Cut`] where less was written than announced.
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
