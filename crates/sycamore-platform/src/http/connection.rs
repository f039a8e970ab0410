//! One connection, driven only while a request is on it.

use super::count::{Counted, Traffic};
use crate::error::{Error, Result};
use bytes::{Bytes, BytesMut};
use error_stack::Report;
use futures::future::{select, Either};
use futures::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use sycamore_http::conn::Silence;

/// Bytes that a connection buffers at most, which bounds the headers of an answer.
const BUFFER_BYTES: usize = 16 << 10;

/// How fast an answer must come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// Longest time to its head.
    pub(super) first: Duration,
    /// Longest time from one part of its body to the next.
    pub(super) next: Duration,
}

/// An open connection with no exchange under way.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<dyn Future<Output = hyper::Result<()>>>>,
}

impl Connection {
    /// Connects; any failure means that nothing was sent.
    pub(super) async fn open(address: SocketAddr, traffic: Rc<Traffic>) -> Result<Self> {
        let unreachable = |e: std::io::Error| Report::new(e).change_context(Error::Unreachable);
        let stream = TcpStream::connect(address).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        // A watch waits for many seconds, and a change must not wait for a silent connection.
        Silence::default().watch(&stream).map_err(unreachable)?;
        let inner = MonoioIo::new(stream.into_poll_io().map_err(unreachable)?);
        let (sender, driver) = Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(Counted { inner, traffic })
            .await
            .map_err(|e| Report::new(e).change_context(Error::Unreachable))?;
        Ok(Self { sender, driver: Box::pin(driver) })
    }

    /// Whether the connection can take a request; sees a close by the other side.
    pub(super) fn is_usable(&mut self) -> bool {
        (&mut self.driver).now_or_never().is_none() && self.sender.is_ready()
    }

    /// Sends `request` and reads the whole answer of at most `max` bytes. Gives the connection back
    /// when it can be used again.
    pub(super) async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        max: usize,
        pace: Pace,
    ) -> Result<((StatusCode, Bytes), Option<Self>)> {
        let head = monoio::time::timeout(pace.first, self.sender.send_request(request));
        let answer = head.then(|head| async move {
            match head {
                Ok(response) => collect(response, max, pace.next).await,
                Err(_) => Err(Report::new(Error::NoAnswer)),
            }
        });
        let answer = match select(Box::pin(answer), &mut self.driver).await {
            Either::Left((answer, _)) => return Ok((answer?, Some(self))),
            // The connection ended; the answer may be whole all the same.
            Either::Right((_, answer)) => answer.now_or_never(),
        };
        match answer {
            Some(answer) => Ok((answer?, None)),
            None => Err(Report::new(Error::NoAnswer)),
        }
    }
}

async fn collect(
    response: hyper::Result<Response<Incoming>>,
    max: usize,
    next: Duration,
) -> Result<(StatusCode, Bytes)> {
    let response = response.map_err(|e| Report::new(e).change_context(Error::NoAnswer))?;
    let status = response.status();
    let mut body = Limited::new(response.into_body(), max);
    let mut bytes = BytesMut::new();
    loop {
        let next = monoio::time::timeout(next, body.frame()).await;
        match next.map_err(|_| Report::new(Error::NoAnswer))? {
            None => return Ok((status, bytes.freeze())),
            Some(Ok(frame)) => bytes.extend(frame.into_data().ok()),
            Some(Err(e)) => return Err(Report::new(Error::Malformed(e.to_string()))),
        }
    }
}
