//! HTTP client with a pool of idle connections per address.

use crate::{BenchError, Result};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures::future::{select, Either};
use futures::FutureExt;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, Connection, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::time::Duration;

/// Complete answer to a request.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body of the answer.
    pub body: Bytes,
}

impl Exchange {
    /// Returns the value of the header `name`; `None` if it is absent or no ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Deserializes the body from JSON.
    ///
    /// # Errors
    /// [`BenchError::Http`] with status and body if the body is not JSON of the type `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).change_context_lazy(|| {
            let shown = String::from_utf8_lossy(&self.body);
            BenchError::Http(format!("status {}, unexpected body: {shown}", self.status))
        })
    }
}

/// Failure of a request that got no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened, so that nothing was sent.
    NotConnected,
    /// The connection broke before the head of an answer arrived.
    NoAnswer,
    /// The connection broke after the answer's head, within its body.
    Cut,
}

type Stream = MonoioIo<TcpStreamPoll>;

/// Pooled connection. It makes progress only while it is polled: during a request, and once before
/// the next, to detect whether the peer has closed it.
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<Stream, Full<Bytes>>>>,
}

/// Client that pools connections to any number of addresses.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>,
}

impl Client {
    /// Sends `req` to `addr` and reads the complete answer. Dropping the future closes the connection.
    ///
    /// # Errors
    /// The stage at which the request failed.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> std::result::Result<Exchange, ExchangeError> {
        let mut connection = self.connection(addr).await?;
        let exchange = connection.exchange(req).await?;
        if connection.is_open() {
            self.idle.borrow_mut().entry(addr).or_default().push(connection);
        }
        Ok(exchange)
    }

    /// Returns an open idle connection to `addr`, or opens one.
    async fn connection(
        &self,
        addr: SocketAddr,
    ) -> std::result::Result<PooledConnection, ExchangeError> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            let Some(mut connection) = idle else {
                return connect(addr).await.map_err(|_| ExchangeError::NotConnected);
            };
            if connection.is_open() {
                return Ok(connection);
            }
        }
    }
}

impl PooledConnection {
    async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> std::result::Result<Exchange, ExchangeError> {
        let work = async {
            let response =
                self.sender.send_request(req).await.map_err(|_| ExchangeError::NoAnswer)?;
            collect(response).await
        };
        match select(pin!(work), &mut self.connection).await {
            Either::Left((result, _)) => result,
            // The connection has ended; the bytes that it received were passed to the request already.
            Either::Right((_, work)) => work.await,
        }
    }

    fn is_open(&mut self) -> bool {
        let ended = self.connection.as_mut().now_or_never().is_some();
        !ended && self.sender.is_ready()
    }
}

async fn collect(response: Response<Incoming>) -> std::result::Result<Exchange, ExchangeError> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| ExchangeError::Cut)?.to_bytes();
    Ok(Exchange { status: head.status, headers: head.headers, body })
}

async fn connect(addr: SocketAddr) -> std::io::Result<PooledConnection> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let (sender, connection) = handshake(io).await.map_err(std::io::Error::other)?;
    Ok(PooledConnection { sender, connection: Box::pin(connection) })
}

/// Sends a request over a new connection and reads the complete answer.
///
/// # Errors
/// [`BenchError::Http`] if no complete answer arrives within `timeout`.
pub async fn request(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Exchange> {
    let what = format!("{} {addr}{}", req.method(), req.uri());
    let client = Client::default();
    match monoio::time::timeout(timeout, client.send(addr, req)).await {
        Ok(Ok(exchange)) => Ok(exchange),
        Ok(Err(error)) => Err(Report::new(BenchError::Http(format!("{what}: {error:?}")))),
        Err(_) => {
            Err(Report::new(BenchError::Http(format!("{what}: no answer within {timeout:?}"))))
        }
    }
}
