//! Buffered reader of message heads and bodies, and the relay of a body between two streams.

use super::error::ReadError;
use super::turn::Turn;
use crate::wire::{
    parse_request, parse_response, BodyDecoder, BodyEncoder, HeadError, HeadLimits, Piece,
    RequestHead, ResponseHead,
};
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use std::io;

/// Largest number of bytes per read; limits the memory of a relayed body.
const READ_BYTES: usize = 16 << 10;
/// Largest number of bytes buffered from later messages while an earlier one is served.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Largest number of interim responses accepted before a final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Buffered reader of the messages on a stream.
#[derive(Debug)]
pub struct Reader<R> {
    stream: R,
    buf: BytesMut,
    ended: bool,
    /// First error of the connection, in either direction.
    failure: Option<io::ErrorKind>,
    turn: Turn,
}

impl<R: AsyncReadRent> Reader<R> {
    /// Creates a reader of `stream` with an empty buffer.
    pub fn new(stream: R) -> Self {
        Self { stream, buf: BytesMut::new(), ended: false, failure: None, turn: Turn::default() }
    }

    /// Records that writing to the connection failed with an error of this `kind`. What has arrived
    /// can still be read, but the end of the stream counts as a failure from then on: an operating
    /// system reports a reset only once, and later reads find an end like that of an orderly close.
    pub fn record_write_failure(&mut self, kind: io::ErrorKind) {
        self.failure.get_or_insert(kind);
    }

    /// Returns whether the buffer holds bytes that no message has consumed.
    pub fn has_unread(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Waits until at least one byte of the next message is in the buffer.
    ///
    /// # Errors
    /// [`ReadError::Closed`] if the peer closed the connection, [`ReadError::Io`] if reading
    /// failed.
    pub async fn wait_for_message(&mut self) -> Result<(), ReadError> {
        self.turn.give_way_if_due().await;
        if self.buf.is_empty() && self.fill().await? == 0 {
            return Err(ReadError::Closed);
        }
        Ok(())
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    /// [`ReadError::Closed`] or [`ReadError::Cut`] if the stream ends before or within the head,
    /// [`ReadError::Head`] if it is invalid, [`ReadError::Io`] if reading failed.
    pub async fn request_head(&mut self, limits: &HeadLimits) -> Result<RequestHead, ReadError> {
        self.turn.give_way_if_due().await;
        loop {
            if let Some(head) = parse_request(&mut self.buf, limits)? {
                self.turn.count();
                return Ok(head);
            }
            self.fill_head().await?;
        }
    }

    /// Reads the head of the next final response and skips interim (1xx) ones.
    ///
    /// # Errors
    /// The errors of [`Reader::request_head`], and [`HeadError::Malformed`] after too many interim
    /// responses.
    pub async fn response_head(&mut self, limits: &HeadLimits) -> Result<ResponseHead, ReadError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.any_response_head(limits).await?;
            if !is_interim(head.status) {
                return Ok(head);
            }
        }
        Err(ReadError::Head(HeadError::Malformed))
    }

    /// Reads the head of the next response, which may be an interim (1xx) one.
    ///
    /// # Errors
    /// The errors of [`Reader::request_head`].
    pub async fn any_response_head(
        &mut self,
        limits: &HeadLimits,
    ) -> Result<ResponseHead, ReadError> {
        self.turn.give_way_if_due().await;
        loop {
            if let Some(head) = parse_response(&mut self.buf, limits)? {
                self.turn.count();
                return Ok(head);
            }
            self.fill_head().await?;
        }
    }

    /// Reads and discards bytes until the peer closes the connection, reading fails, or `limit`
    /// bytes were discarded.
    pub async fn discard(&mut self, limit: usize) {
        let mut dropped = self.buf.len();
        self.buf.clear();
        while dropped < limit {
            self.turn.give_way_if_due().await;
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(read) => dropped += read,
            }
            self.buf.clear();
        }
    }

    /// Reads the next piece of the body that `body` decodes; `None` at its end.
    ///
    /// # Errors
    /// [`ReadError::Cut`] if the stream ends within the body, [`ReadError::Body`] if the framing is
    /// invalid, [`ReadError::Io`] if reading failed.
    pub async fn body_piece(&mut self, body: &mut BodyDecoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            match body.decode(&mut self.buf)? {
                Piece::Data(data) => return Ok(Some(data)),
                Piece::End => return Ok(None),
                Piece::Need => self.fill_body(body).await?,
            }
        }
    }

    async fn fill_body(&mut self, body: &mut BodyDecoder) -> Result<(), ReadError> {
        self.turn.give_way_if_due().await;
        match self.fill().await? {
            0 if !body.peer_closed() => Err(ReadError::Cut),
            _ => Ok(()),
        }
    }

    /// Reads the whole body that `body` decodes, at most `limit` bytes.
    ///
    /// # Errors
    /// [`ReadError::BodyTooLarge`] if the body is larger than `limit`, and the errors of
    /// [`Reader::body_piece`].
    pub async fn body(&mut self, mut body: BodyDecoder, limit: usize) -> Result<Bytes, ReadError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.body_piece(&mut body).await? {
            if whole.len() + piece.len() > limit {
                return Err(ReadError::BodyTooLarge);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Waits until the peer closes the connection or reading fails.
    ///
    /// Bytes that arrive meanwhile are buffered. Once the buffer holds `MAX_READ_AHEAD_BYTES`,
    /// nothing more is read and the future never completes.
    pub async fn wait_until_closed(&mut self) {
        while self.buf.len() < MAX_READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures::future::pending().await
    }

    async fn fill_head(&mut self) -> Result<(), ReadError> {
        let started = !self.buf.is_empty();
        self.turn.give_way_if_due().await;
        match self.fill().await {
            Ok(0) if started => Err(ReadError::Cut),
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(err) => Err(ReadError::Io(err)),
        }
    }

    /// Reads once into the buffer and returns the number of bytes, 0 at the end of the stream unless
    /// the connection has failed.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.ended {
            return Ok(0);
        }
        let read = self.stream.read(BytesMut::with_capacity(READ_BYTES));
        let (read, mut new) = self.turn.run(read).await;
        let read = match (read, self.failure) {
            (Ok(0), Some(kind)) => return Err(kind.into()),
            (Ok(read), _) => read,
            (Err(err), _) => {
                self.failure.get_or_insert(err.kind());
                return Err(err);
            }
        };
        new.truncate(read);
        self.ended = read == 0;
        if self.buf.is_empty() {
            self.buf = new;
        } else {
            self.buf.extend_from_slice(&new);
        }
        Ok(read)
    }
}

/// Returns whether a final response follows one with `status`. After 101 Switching Protocols no
/// further HTTP message follows, so it counts as final.
fn is_interim(status: StatusCode) -> bool {
    status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS
}

/// Writes all of `bytes` to `stream`.
///
/// # Errors
/// I/O error of the stream; part of `bytes` may have been written.
pub async fn write_all(stream: &mut impl AsyncWriteRent, bytes: Bytes) -> io::Result<()> {
    stream.write_all(bytes).await.0.map(drop)
}

/// Relays a body from `reader` to `writer` piece by piece, with at most one piece in memory.
///
/// `out` holds bytes to write before the body, such as the head.
///
/// # Errors
/// Errors of reading and of the framing as `Ok(Err(..))`, errors of writing as `Err(..)`.
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
