//! The client side: a pool of kept connections per address.

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

/// One whole answer.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
}

impl Exchange {
    /// The header `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The body read as JSON.
    ///
    /// # Errors
    /// [`BenchError::Http`] where it is none.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).change_context_lazy(|| {
            let shown = String::from_utf8_lossy(&self.body);
            BenchError::Http(format!("status {}, no such JSON: {shown}", self.status))
        })
    }
}

/// How far an exchange came that brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wire {
    /// No connection: nothing was sent.
    NotConnected,
    /// The connection broke before an answer's head.
    NoAnswer,
    /// The answer's head came, its body broke off.
    Cut,
}

type Stream = MonoioIo<TcpStreamPoll>;

/// A connection, which makes progress only while it is polled: during an exchange, and once before
/// the next to see whether the peer has closed it.
struct Kept {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<Stream, Full<Bytes>>>>,
}

/// A client that keeps connections to many addresses.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Kept>>>,
}

impl Client {
    /// Sends `req` to `addr` and reads the whole answer. Dropping the future closes the connection.
    ///
    /// # Errors
    /// How far the exchange came.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> std::result::Result<Exchange, Wire> {
        let mut kept = self.kept(addr).await?;
        let exchange = kept.exchange(req).await?;
        if kept.is_open() {
            self.idle.borrow_mut().entry(addr).or_default().push(kept);
        }
        Ok(exchange)
    }

    async fn kept(&self, addr: SocketAddr) -> std::result::Result<Kept, Wire> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            let Some(mut kept) = idle else {
                return connect(addr).await.map_err(|_| Wire::NotConnected);
            };
            if kept.is_open() {
                return Ok(kept);
            }
        }
    }
}

impl Kept {
    async fn exchange(&mut self, req: Request<Full<Bytes>>) -> std::result::Result<Exchange, Wire> {
        let work = async {
            let response = self.sender.send_request(req).await.map_err(|_| Wire::NoAnswer)?;
            collect(response).await
        };
        match select(pin!(work), &mut self.connection).await {
            Either::Left((result, _)) => result,
            // The connection has ended; what it brought is with the request already.
            Either::Right((_, work)) => work.await,
        }
    }

    fn is_open(&mut self) -> bool {
        let ended = self.connection.as_mut().now_or_never().is_some();
        !ended && self.sender.is_ready()
    }
}

async fn collect(response: Response<Incoming>) -> std::result::Result<Exchange, Wire> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| Wire::Cut)?.to_bytes();
    Ok(Exchange { status: head.status, headers: head.headers, body })
}

async fn connect(addr: SocketAddr) -> std::io::Result<Kept> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let (sender, connection) = handshake(io).await.map_err(std::io::Error::other)?;
    Ok(Kept { sender, connection: Box::pin(connection) })
}

/// One request over a connection of its own, bounded by `timeout`.
///
/// # Errors
/// [`BenchError::Http`] where no whole answer came in time.
pub async fn request(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Exchange> {
    let what = format!("{} {addr}{}", req.method(), req.uri());
    let client = Client::default();
    match monoio::time::timeout(timeout, client.send(addr, req)).await {
        Ok(Ok(exchange)) => Ok(exchange),
        Ok(Err(wire)) => Err(Report::new(BenchError::Http(format!("{what}: {wire:?}")))),
        Err(_) => Err(Report::new(BenchError::Http(format!("{what}: no answer in {timeout:?}")))),
    }
}
