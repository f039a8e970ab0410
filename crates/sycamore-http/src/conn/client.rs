//! A small client for whole messages, with a bounded pool of connections to one address.

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

/// Settings of a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientConfig {
    /// Limits of heads.
    pub head: HeadLimits,
    /// Longest body of a response, in bytes.
    pub body_bytes: usize,
    /// Longest time to connect.
    pub connect_time: Duration,
    /// Longest time from the request's first byte to the response's last.
    pub call_time: Duration,
    /// Idle connections kept.
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

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientError {
    /// No connection: the request was certainly not sent.
    Connect,
    /// The request may have taken effect, but no whole response came.
    Broken,
    /// The request may have taken effect, but no response came in time.
    TimedOut,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClientError::Connect => "no connection",
            ClientError::Broken => "no whole response",
            ClientError::TimedOut => "no response in time",
        })
    }
}

impl std::error::Error for ClientError {}

#[derive(Debug)]
struct Pooled {
    reader: Reader<OwnedReadHalf<TcpStream>>,
    writer: OwnedWriteHalf<TcpStream>,
}

/// Calls one address.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    config: ClientConfig,
    idle: RefCell<Vec<Pooled>>,
}

impl Client {
    /// A client of `address`.
    pub fn new(address: SocketAddr, config: ClientConfig) -> Self {
        Self { address, config, idle: RefCell::new(Vec::new()) }
    }

    /// The address that it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `req` and reads the whole response. Nothing is sent twice.
    ///
    /// # Errors
    /// [`ClientError`], which says whether the request may have taken effect.
    pub async fn send(&self, req: Request<Bytes>) -> Result<Response<Bytes>, Report<ClientError>> {
        let pooled = self.idle_connection();
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

    /// An idle connection that the peer has not closed.
    fn idle_connection(&self) -> Option<Pooled> {
        loop {
            let mut conn = self.idle.borrow_mut().pop()?;
            let closed = conn.reader.closed().now_or_never().is_some();
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
        let bodiless = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
        let framing = if bodiless { Framing::Empty } else { Framing::Length(body.len() as u64) };
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
