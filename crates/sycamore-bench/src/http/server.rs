//! HTTP server: a loop that accepts connections and serves them concurrently.

use crate::{BenchError, Result};
use bytes::Bytes;
use error_stack::ResultExt;
use futures::future::{select, Either};
use futures::stream::{FuturesUnordered, StreamExt};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use monoio::io::IntoPollIo;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::MonoioIo;
use serde::Serialize;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// Pause after a failed accept, before the next attempt.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// HTTP answer of a stand-in, with its complete body.
pub type Answer = Response<Full<Bytes>>;

/// Error by which a handler lets the server break the connection instead of answering.
#[derive(Debug, Clone, Copy)]
pub struct Break;

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without an answer, as the handler requested")
    }
}

impl std::error::Error for Break {}

/// Result of a handler for a request.
pub type Reply = std::result::Result<Answer, Break>;

/// Largest number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Listening TCP socket of an HTTP server.
pub struct Listener {
    inner: TcpListener,
}

impl Listener {
    /// Opens a TCP socket that listens on `addr`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`BenchError::Io`] if `addr` can't be bound, for instance because it is in use.
    pub fn bind(addr: SocketAddr) -> Result<Self> {
        let opts = ListenerOpts::new().reuse_port(false).reuse_addr(true).backlog(BACKLOG);
        let inner = TcpListener::bind_with_config(addr, &opts)
            .change_context_lazy(|| BenchError::Io(format!("bind {addr}")))?;
        Ok(Self { inner })
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    /// [`BenchError::Io`] if the operating system can't tell the address.
    pub fn addr(&self) -> Result<SocketAddr> {
        self.inner
            .local_addr()
            .change_context_lazy(|| BenchError::Io("get the listener's address".into()))
    }

    /// Waits for a connection from a client and accepts it.
    ///
    /// # Errors
    /// [`BenchError::Io`] if the operating system reports a failure, for instance because no file
    /// descriptor is free.
    pub async fn accept(&self) -> Result<TcpStream> {
        let (stream, _) = self
            .inner
            .accept()
            .await
            .change_context_lazy(|| BenchError::Io("accept a connection".into()))?;
        Ok(stream)
    }
}

/// Options of a server.
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// Largest number of connections served at the same time; further ones are closed at once.
    pub connections: usize,
    /// Delay between the accept of a connection and its first read.
    pub open: Duration,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self { connections: 4_096, open: Duration::ZERO }
    }
}

/// Serves connections of `listener` with `handler` until the future is dropped, which closes them.
pub async fn serve<H, F>(listener: &Listener, options: &ServeOptions, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone,
    F: Future<Output = Reply>,
{
    let mut connections = FuturesUnordered::new();
    loop {
        let accepted = {
            let mut accept = pin!(listener.accept());
            loop {
                if connections.is_empty() {
                    break accept.await;
                }
                match select(accept.as_mut(), connections.next()).await {
                    Either::Left((accepted, _)) => break accepted,
                    Either::Right(_) => {}
                }
            }
        };
        match accepted {
            Ok(stream) if connections.len() < options.connections => {
                connections.push(serve_connection(stream, options.open, handler.clone()));
            }
            Ok(_) => {}
            Err(_) => monoio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, open: Duration, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    if !open.is_zero() {
        monoio::time::sleep(open).await;
    }
    let Ok(stream) = stream.into_poll_io() else { return };
    let service = service_fn(handler);
    // An error concerns this connection only; the server goes on.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(MonoioIo::new(stream), service)
        .await;
}

/// Creates an answer with a plain text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// Creates an answer with `value` as its JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = text(status, body);
    let kind = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    answer
}
