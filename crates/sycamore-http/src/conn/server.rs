//! HTTP/1.1 server for messages held in memory, such as operators' commands and upstreams'
//! announcements.

use super::error::ReadError;
use super::reader::{write_all, Reader};
use crate::wire::{
    encode_response, expects_continue, request_framing, wants_close, BodyDecoder, Framing,
    HeadError, HeadLimits, CONTINUE,
};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use futures::future::{select, Either};
use http::{header, HeaderValue, Request, Response, StatusCode};
use monoio::io::{AsyncReadRent, AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::time::timeout;
use std::fmt;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Limits of a server connection.
#[derive(Debug, Clone)]
pub struct ServeConfig {
    /// Limits on the heads of requests.
    pub head: HeadLimits,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to read one request, and to write one response.
    pub message_time: Duration,
    /// Longest time that a connection may stay idle between requests.
    pub idle_time: Duration,
}

impl Default for ServeConfig {
    fn default() -> Self {
        Self {
            head: HeadLimits::default(),
            body_bytes: 1 << 20,
            message_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
        }
    }
}

/// Error that ends a server connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServeError {
    /// Reading a request failed, or the request was invalid.
    Read,
    /// Writing a response failed.
    Write,
    /// Reading a request or writing a response took longer than [`ServeConfig::message_time`].
    TimedOut,
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServeError::Read => "request could not be read",
            ServeError::Write => "response could not be written",
            ServeError::TimedOut => "request or response exceeded its time limit",
        })
    }
}

impl std::error::Error for ServeError {}

/// Server side of a connection, which reads whole requests and writes whole responses.
#[derive(Debug)]
pub struct Connection<S: AsyncWriteRent> {
    reader: Reader<OwnedReadHalf<S>>,
    writer: OwnedWriteHalf<S>,
    config: ServeConfig,
    close: bool,
}

impl<S: AsyncReadRent + AsyncWriteRent> Connection<S> {
    /// Creates a connection on `stream`.
    pub fn new(stream: S, config: ServeConfig) -> Self
    where
        S: Splitable<OwnedRead = OwnedReadHalf<S>, OwnedWrite = OwnedWriteHalf<S>>,
    {
        let (read, writer) = stream.into_split();
        Self { reader: Reader::new(read), writer, config, close: false }
    }

    /// Waits until the next request begins. Returns `false` if the connection is to be closed, the
    /// peer closed it, or it was idle for longer than [`ServeConfig::idle_time`].
    pub async fn wait_for_request(&mut self) -> bool {
        !self.close
            && matches!(
                timeout(self.config.idle_time, self.reader.wait_for_message()).await,
                Ok(Ok(()))
            )
    }

    /// Reads the next request; `None` if the peer closed the connection instead. An invalid or
    /// oversized request is answered with an error status.
    ///
    /// # Errors
    /// [`ServeError`] if the connection can't be used any further.
    pub async fn request(&mut self) -> Result<Option<Request<Bytes>>, Report<ServeError>> {
        let read = timeout(self.config.message_time, self.read()).await;
        match read.change_context(ServeError::TimedOut)? {
            Ok(req) => Ok(Some(req)),
            Err(ReadError::Closed) => Ok(None),
            Err(err) => {
                self.refuse(&err).await;
                Err(Report::new(err).change_context(ServeError::Read))
            }
        }
    }

    async fn read(&mut self) -> Result<Request<Bytes>, ReadError> {
        let head = self.reader.request_head(&self.config.head).await?;
        let framing = request_framing(&head)?;
        if matches!(framing, Framing::Length(bytes) if bytes > self.config.body_bytes as u64) {
            return Err(ReadError::BodyTooLarge);
        }
        if framing != Framing::Empty && expects_continue(&head.headers) {
            write_all(&mut self.writer, Bytes::from_static(CONTINUE)).await?;
        }
        self.close = wants_close(&head.headers, head.version);
        let body = self.reader.body(BodyDecoder::new(framing), self.config.body_bytes).await?;
        Ok(Request::from_parts(head, body))
    }

    /// Answers a request that failed with `err`, unless the connection itself failed.
    async fn refuse(&mut self, err: &ReadError) {
        let status = match err {
            ReadError::Head(err) => err.status(),
            ReadError::Body(_) => HeadError::Malformed.status(),
            ReadError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::Closed | ReadError::Cut | ReadError::Io(_) => return,
        };
        let mut resp = Response::new(Bytes::from(err.to_string()));
        *resp.status_mut() = status;
        self.close = true;
        // The connection is closed whether or not the response could be written.
        drop(self.respond(resp).await);
    }

    /// Writes the response to the last request.
    ///
    /// # Errors
    /// [`ServeError`] if the connection can't be used any further.
    pub async fn respond(&mut self, resp: Response<Bytes>) -> Result<(), Report<ServeError>> {
        let (mut head, body) = resp.into_parts();
        if self.close {
            head.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let mut out = BytesMut::with_capacity(256 + body.len());
        encode_response(&head, Framing::Length(body.len() as u64), &mut out);
        out.extend_from_slice(&body);
        let write = write_all(&mut self.writer, out.freeze());
        let written = timeout(self.config.message_time, write).await;
        written.change_context(ServeError::TimedOut)?.change_context(ServeError::Write)
    }

    /// Marks the connection to be closed after the next response, which says so in its head.
    pub fn close_next(&mut self) {
        self.close = true;
    }

    /// Waits until the peer closes the connection.
    pub async fn wait_until_closed(&mut self) {
        self.reader.wait_until_closed().await;
    }
}

/// Serves one connection until the peer closes it, it stays idle, or `stop` completes. A request
/// that has begun when `stop` completes is answered first.
///
/// # Errors
/// [`ServeError`] if the connection failed or a request was invalid.
pub async fn serve<S, H, F>(
    stream: S,
    config: &ServeConfig,
    stop: impl Future<Output = ()>,
    mut handler: H,
) -> Result<(), Report<ServeError>>
where
    S: AsyncReadRent
        + AsyncWriteRent
        + Splitable<OwnedRead = OwnedReadHalf<S>, OwnedWrite = OwnedWriteHalf<S>>,
    H: FnMut(Request<Bytes>) -> F,
    F: Future<Output = Response<Bytes>>,
{
    let mut conn = Connection::new(stream, config.clone());
    let mut stop = pin!(stop);
    loop {
        let has_request = match select(pin!(conn.wait_for_request()), &mut stop).await {
            Either::Left((has_request, _)) => has_request,
            Either::Right(((), _)) => false,
        };
        if !has_request {
            return Ok(());
        }
        let Some(req) = conn.request().await? else {
            return Ok(());
        };
        let resp = handler(req).await;
        conn.respond(resp).await?;
    }
}
