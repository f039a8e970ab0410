//! The client side: a pool of kept connections per address.

use crate::{BenchError, Result};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
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

type Sender = SendRequest<Full<Bytes>>;

/// A client that keeps connections to many addresses.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Client {
    /// Sends `req` to `addr` and reads the whole answer. A kept connection that was closed in the
    /// meantime, before any byte of the request could be sent, is replaced once.
    ///
    /// # Errors
    /// How far the exchange came.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> std::result::Result<Exchange, Wire> {
        let mut sender = self.sender(addr).await?;
        let response = sender.send_request(req).await.map_err(|_| Wire::NoAnswer)?;
        let exchange = collect(response).await?;
        if sender.ready().await.is_ok() {
            self.idle.borrow_mut().entry(addr).or_default().push(sender);
        }
        Ok(exchange)
    }

    async fn sender(&self, addr: SocketAddr) -> std::result::Result<Sender, Wire> {
        loop {
            let kept = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop);
            match kept {
                Some(sender) if sender.is_closed() || !sender.is_ready() => {}
                Some(sender) => return Ok(sender),
                None => return connect(addr).await.map_err(|_| Wire::NotConnected),
            }
        }
    }
}

async fn collect(response: Response<Incoming>) -> std::result::Result<Exchange, Wire> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| Wire::Cut)?.to_bytes();
    Ok(Exchange { status: head.status, headers: head.headers, body })
}

async fn connect(addr: SocketAddr) -> std::io::Result<Sender> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        handshake(MonoioIo::new(stream.into_poll_io()?)).await.map_err(std::io::Error::other)?;
    // The connection's task ends when its sender is dropped or the peer closes.
    monoio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
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
