//! One HTTP/2 connection to another node.

use crate::io::Counted;
use crate::server::{FROM_HEADER, HTTP2_BUFFER_BYTES, HTTP2_WINDOW_BYTES};
use crate::{Counters, Error, Result};
use error_stack::{Report, ResultExt};
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

/// Sends calls over one connection.
#[derive(Clone)]
pub(super) struct Channel {
    send: SendRequest<Body>,
    deployment: HeaderValue,
    from: HeaderValue,
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

/// An open connection with the task that drives it.
pub(super) struct Connection {
    pub(super) channel: Channel,
    pub(super) used: Instant,
    driver: JoinHandle<()>,
}

/// A connection that takes no more calls.
pub(super) struct Closing {
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection to the peer listener at `to`.
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
        let io = MonoioIo::new(Counted::new(stream, counters, Rc::new(Cell::new(true))));
        let (send, connection) = Builder::new(MonoioExecutor)
            .initial_stream_window_size(HTTP2_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_WINDOW_BYTES)
            .max_send_buf_size(HTTP2_BUFFER_BYTES)
            .handshake(io)
            .await
            .change_context(Error::Connect)?;
        let driver = monoio::spawn(async move {
            // An error of the connection shows in the calls that it carried.
            let _ = connection.await;
        });
        let channel = Channel {
            send,
            deployment: header(deployment.as_str())?,
            from: header(from.as_str())?,
        };
        Ok(Self { channel, used: Instant::now(), driver })
    }

    /// Whether the peer or the network has closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.channel.send.is_closed() || self.driver.is_finished()
    }

    /// Takes no more calls; the connection ends once its calls have.
    pub(super) fn release(self) -> Closing {
        Closing { driver: self.driver }
    }
}

impl Closing {
    /// Whether the connection has ended.
    pub(super) fn is_finished(&self) -> bool {
        self.driver.is_finished()
    }

    /// Waits for the connection's end.
    pub(super) async fn join(self) {
        self.driver.await;
    }
}

fn header(value: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(value).map_err(|_| Report::new(Error::Malformed))
}
