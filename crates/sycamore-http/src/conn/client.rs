//! HTTP/1.1 client of one address for messages held in memory, with a bounded pool of connections.

use super::error::ReadError;
use super::reader::{write_all, Reader};
use crate::wire::{
    encode_request, response_framing, wants_close, BodyDecoder, Framing, HeadError, HeadLimits,
};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use futures::FutureExt;
use http::{header, HeaderValue, Method, Request, Response};
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::timeout;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits of a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Limits on the heads of responses.
    pub head: HeadLimits,
    /// Largest body of a response, in bytes.
    pub body_bytes: usize,
    /// Longest time to open a connection.
    pub connect_time: Duration,
    /// Longest time from the first byte of a request to the last byte of its response.
    pub call_time: Duration,
    /// Largest number of idle connections kept for later requests.
    pub idle: usize,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            head: HeadLimits::default(),
            body_bytes: 4 << 20,
            connect_time: Duration::from_secs(1),
            call_time: Duration::from_secs(5),
            idle: 4,
        }
    }
}

/// Error of a request sent by a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be opened; the request was not sent.
    Connect,
    /// The connection failed or the response was invalid; the request may have taken effect.
    Broken,
    /// No complete response arrived in time; the request may have taken effect.
    TimedOut,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClientError::Connect => "connection could not be opened",
            ClientError::Broken => "no complete and valid response was received",
            ClientError::TimedOut => "response was not received in time",
        })
    }
}

impl std::error::Error for ClientError {}

#[derive(Debug)]
struct Pooled {
    reader: Reader<OwnedReadHalf<TcpStream>>,
    writer: OwnedWriteHalf<TcpStream>,
}

/// HTTP/1.1 client of one address.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    config: ClientConfig,
    idle: RefCell<Vec<Pooled>>,
}

impl Client {
    /// Creates a client of `address`. It connects on the first request.
    pub fn new(address: SocketAddr, config: ClientConfig) -> Self {
        Self { address, config, idle: RefCell::new(Vec::new()) }
    }

    /// Returns the address to which the client sends its requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `req` once, without retries, and reads the whole response.
    ///
    /// # Errors
    /// [`ClientError`], whose variants distinguish whether the request may have taken effect.
    pub async fn send(&self, req: Request<Bytes>) -> Result<Response<Bytes>, Report<ClientError>> {
        let pooled = self.take_idle();
        let mut conn = match pooled {
            Some(conn) => conn,
            None => self.connect().await?,
        };
        let exchanged = timeout(self.config.call_time, self.exchange(&mut conn, req)).await;
        let (resp, keep) =
            exchanged.change_context(ClientError::TimedOut)?.change_context(ClientError::Broken)?;
        let mut idle = self.idle.borrow_mut();
        if keep && idle.len() < self.config.idle {
            idle.push(conn);
        }
        Ok(resp)
    }

    /// Takes an idle connection that the peer has not closed and on which no bytes arrived since
    /// the last response, and drops the others.
    fn take_idle(&self) -> Option<Pooled> {
        loop {
            let mut conn = self.idle.borrow_mut().pop()?;
            let closed = conn.reader.wait_until_closed().now_or_never().is_some();
            if !closed && !conn.reader.has_unread() {
                return Some(conn);
            }
        }
    }

    async fn connect(&self) -> Result<Pooled, Report<ClientError>> {
        let connected = timeout(self.config.connect_time, TcpStream::connect(self.address)).await;
        let stream =
            connected.change_context(ClientError::Connect)?.change_context(ClientError::Connect)?;
        stream.set_nodelay(true).change_context(ClientError::Connect)?;
        let (read, writer) = stream.into_split();
        Ok(Pooled { reader: Reader::new(read), writer })
    }

    /// Sends `req` on `conn` and reads the response. Also returns whether `conn` can be reused.
    async fn exchange(
        &self,
        conn: &mut Pooled,
        req: Request<Bytes>,
    ) -> Result<(Response<Bytes>, bool), ReadError> {
        let (mut head, body) = req.into_parts();
        if !head.headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(&self.address.to_string());
            head.headers.insert(header::HOST, host.expect("an address is ASCII"));
        }
        let has_no_body = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
        let framing = if has_no_body { Framing::Empty } else { Framing::Length(body.len() as u64) };
        let mut out = BytesMut::with_capacity(256 + body.len());
        encode_request(&head, framing, &mut out);
        out.extend_from_slice(&body);
        write_all(&mut conn.writer, out.freeze()).await?;

        let resp = conn.reader.response_head(&self.config.head).await?;
        let framing = response_framing(&resp, &head.method)?;
        if framing == Framing::UntilClose {
            return Err(HeadError::Unframed.into());
        }
        let body = conn.reader.body(BodyDecoder::new(framing), self.config.body_bytes).await?;
        let keep = !wants_close(&resp.headers, resp.version) && !conn.reader.has_unread();
        Ok((Response::from_parts(resp, body), keep))
    }
}
