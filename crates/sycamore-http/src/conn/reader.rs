//! Reading of heads and bodies, and the relay of a body from one stream to another.

use super::error::ReadError;
use crate::wire::{
    parse_request, parse_response, BodyDecoder, BodyEncoder, HeadError, HeadLimits, Piece,
    RequestHead, ResponseHead,
};
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use std::io;

/// Bytes read at a time, and so the most that a relayed body holds in memory.
const READ_BYTES: usize = 16 << 10;
/// Bytes of later messages kept while an earlier one is being served.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Interim responses taken before a final one.
const MAX_INTERIM: usize = 8;

/// Reads messages off a stream.
#[derive(Debug)]
pub struct Reader<R> {
    stream: R,
    buf: BytesMut,
    ended: bool,
}

impl<R: AsyncReadRent> Reader<R> {
    /// A reader of `stream`.
    pub fn new(stream: R) -> Self {
        Self { stream, buf: BytesMut::new(), ended: false }
    }

    /// Whether bytes were read that no message has taken yet.
    pub fn has_unread(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Waits until a byte of the next message is there.
    ///
    /// # Errors
    /// [`ReadError::Closed`] where the peer closed the connection.
    pub async fn wait(&mut self) -> Result<(), ReadError> {
        if self.buf.is_empty() && self.fill().await? == 0 {
            return Err(ReadError::Closed);
        }
        Ok(())
    }

    /// Reads a request's head.
    ///
    /// # Errors
    /// [`ReadError`] where there is none, or it is refused.
    pub async fn request_head(&mut self, limits: &HeadLimits) -> Result<RequestHead, ReadError> {
        loop {
            if let Some(head) = parse_request(&mut self.buf, limits)? {
                return Ok(head);
            }
            self.fill_head().await?;
        }
    }

    /// Reads a response's head; interim responses are passed over.
    ///
    /// # Errors
    /// [`ReadError`] where there is none, or it is refused.
    pub async fn response_head(&mut self, limits: &HeadLimits) -> Result<ResponseHead, ReadError> {
        for _ in 0..=MAX_INTERIM {
            let head = self.any_response_head(limits).await?;
            if !is_interim(head.status) {
                return Ok(head);
            }
        }
        Err(ReadError::Head(HeadError::Malformed))
    }

    /// Reads a response's head, interim ones included.
    ///
    /// # Errors
    /// [`ReadError`] where there is none, or it is refused.
    pub async fn any_response_head(
        &mut self,
        limits: &HeadLimits,
    ) -> Result<ResponseHead, ReadError> {
        loop {
            if let Some(head) = parse_response(&mut self.buf, limits)? {
                return Ok(head);
            }
            self.fill_head().await?;
        }
    }

    /// Reads and drops what the peer still sends, at most `limit` bytes, until it closes.
    pub async fn discard(&mut self, limit: usize) {
        let mut dropped = self.buf.len();
        self.buf.clear();
        while dropped < limit {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(read) => dropped += read,
            }
            self.buf.clear();
        }
    }

    /// Reads the next piece of a body; `None` at its end.
    ///
    /// # Errors
    /// [`ReadError::Cut`] where the stream ends first, [`ReadError::Body`] where framing is broken.
    pub async fn piece(&mut self, body: &mut BodyDecoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            match body.decode(&mut self.buf)? {
                Piece::Data(data) => return Ok(Some(data)),
                Piece::End => return Ok(None),
                Piece::Need => self.fill_body(body).await?,
            }
        }
    }

    async fn fill_body(&mut self, body: &mut BodyDecoder) -> Result<(), ReadError> {
        match self.fill().await? {
            0 if !body.closed() => Err(ReadError::Cut),
            _ => Ok(()),
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// [`ReadError::BodyTooLarge`] over the limit, otherwise as [`Reader::piece`].
    pub async fn body(&mut self, mut body: BodyDecoder, limit: usize) -> Result<Bytes, ReadError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.piece(&mut body).await? {
            if whole.len() + piece.len() > limit {
                return Err(ReadError::BodyTooLarge);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Waits until the peer closes the connection. Bytes that come meanwhile are kept; a peer that
    /// sends more than a bound ahead is read no further.
    pub async fn closed(&mut self) {
        while self.buf.len() < MAX_READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures::future::pending().await
    }

    async fn fill_head(&mut self) -> Result<(), ReadError> {
        let begun = !self.buf.is_empty();
        match self.fill().await {
            Ok(0) if begun => Err(ReadError::Cut),
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(err) => Err(ReadError::Io(err)),
        }
    }

    /// Reads once; 0 at the end of the stream.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.ended {
            return Ok(0);
        }
        let (read, mut fresh) = self.stream.read(BytesMut::with_capacity(READ_BYTES)).await;
        let read = read?;
        fresh.truncate(read);
        self.ended = read == 0;
        if self.buf.is_empty() {
            self.buf = fresh;
        } else {
            self.buf.extend_from_slice(&fresh);
        }
        Ok(read)
    }
}

/// Switching protocols is final: nothing of HTTP follows it.
fn is_interim(status: StatusCode) -> bool {
    status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS
}

/// Writes all of `bytes`.
///
/// # Errors
/// The stream's error; part of `bytes` may have been written.
pub async fn write_all(stream: &mut impl AsyncWriteRent, bytes: Bytes) -> io::Result<()> {
    stream.write_all(bytes).await.0.map(drop)
}

/// Relays a body piece by piece, with at most one piece in memory. `out` holds what is to be
/// written before it, such as the head.
///
/// # Errors
/// The reading side's error as `Ok(Err(..))`, the writing side's as `Err(..)`.
pub async fn relay_body<R: AsyncReadRent>(
    reader: &mut Reader<R>,
    decoder: &mut BodyDecoder,
    writer: &mut impl AsyncWriteRent,
    mut encoder: BodyEncoder,
    mut out: BytesMut,
) -> io::Result<Result<(), ReadError>> {
    loop {
        let step = match decoder.decode(&mut reader.buf) {
            Ok(Piece::Data(data)) => encoder.encode(&data, &mut out),
            Ok(Piece::End) => match encoder.finish(&mut out) {
                Ok(()) => return write_all(writer, out.freeze()).await.map(Ok),
                Err(err) => Err(err),
            },
            Ok(Piece::Need) => {
                if !out.is_empty() {
                    write_all(writer, out.split().freeze()).await?;
                }
                if let Err(err) = reader.fill_body(decoder).await {
                    return Ok(Err(err));
                }
                Ok(())
            }
            Err(err) => Err(err),
        };
        if let Err(err) = step {
            return Ok(Err(ReadError::Body(err)));
        }
        if out.len() >= READ_BYTES {
            write_all(writer, out.split().freeze()).await?;
        }
    }
}
