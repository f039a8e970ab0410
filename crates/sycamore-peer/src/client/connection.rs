//! HTTP/2 client connection to another node's peer listener.

use crate::codec::malformed;
use crate::io::CountedStream;
use crate::server::{FROM_HEADER, HTTP2_SEND_BUFFER_BYTES, HTTP2_WINDOW_BYTES};
use crate::{Counters, Error, Result};
use error_stack::ResultExt;
use http::HeaderValue;
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio::task::JoinHandle;
use monoio_compat::hyper::{MonoioExecutor, MonoioIo};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;
use sycamore_types::headers::DEPLOYMENT;
use sycamore_types::prelude::*;
use tonic::body::Body;

/// Sends calls over one connection, with the headers that name the deployment and the caller.
#[derive(Clone)]
pub(super) struct Channel {
    send: SendRequest<Body>,
    deployment: HeaderValue,
    from: HeaderValue,
    latest_read: Rc<Cell<Option<Instant>>>,
}

impl Channel {
    /// Returns the record of the time at which bytes arrived last on the connection, at first that
    /// at which it was established.
    pub(super) fn latest_read(&self) -> Rc<Cell<Option<Instant>>> {
        self.latest_read.clone()
    }
}

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = std::result::Result<Self::Response, Self::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<std::result::Result<(), Self::Error>> {
        self.send.poll_ready(cx)
    }

    fn call(&mut self, mut req: http::Request<Body>) -> Self::Future {
        req.headers_mut().insert(DEPLOYMENT, self.deployment.clone());
        req.headers_mut().insert(FROM_HEADER, self.from.clone());
        Box::pin(self.send.send_request(req))
    }
}

/// Open connection and the task that drives its I/O.
pub(super) struct Connection {
    pub(super) channel: Channel,
    /// Time at which the latest call took the channel.
    pub(super) last_used: Instant,
    driver: JoinHandle<()>,
}

/// Connection that accepts no new calls and ends when its running calls have ended.
pub(super) struct ClosingConnection {
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to the peer listener at `to`, without a timeout of its own.
    pub(super) async fn open(
        to: SocketAddr,
        deployment: &Deployment,
        from: &InstanceId,
        counters: Arc<Counters>,
    ) -> Result<Self> {
        let stream = TcpStream::connect_addr(to).await.change_context(Error::Connect)?;
        stream.set_nodelay(true).change_context(Error::Connect)?;
        let stream = stream.into_poll_io().change_context(Error::Connect)?;
        counters.add_connections_out(1);
        let latest_read = Rc::new(Cell::new(Some(Instant::now())));
        let io = MonoioIo::new(CountedStream::new(stream, counters, latest_read.clone()));
        let (send, connection) = Builder::new(MonoioExecutor)
            .initial_stream_window_size(HTTP2_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_WINDOW_BYTES)
            .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES)
            .handshake(io)
            .await
            .change_context(Error::Connect)?;
        let driver = monoio::spawn(async move {
            // The calls on the connection report its errors.
            let _ = connection.await;
        });
        let channel = Channel {
            send,
            deployment: header_value(deployment.as_str())?,
            from: header_value(from.as_str())?,
            latest_read,
        };
        Ok(Self { channel, last_used: Instant::now(), driver })
    }

    /// Returns whether the connection has ended, at the peer's close or on a network error.
    pub(super) fn is_closed(&self) -> bool {
        self.channel.send.is_closed() || self.driver.is_finished()
    }

    /// Stops new calls on the connection; it ends when its running calls have ended.
    pub(super) fn into_closing(self) -> ClosingConnection {
        ClosingConnection { driver: self.driver }
    }
}

impl ClosingConnection {
    /// Returns whether the connection has ended.
    pub(super) fn is_finished(&self) -> bool {
        self.driver.is_finished()
    }

    /// Waits until the connection has ended.
    pub(super) async fn join(self) {
        self.driver.await;
    }
}

/// Converts `value` to a header value.
///
/// # Errors
/// [`Error::Malformed`] where it holds characters that a header may not carry.
fn header_value(value: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(value).map_err(|_| malformed("name not allowed in a header"))
}
