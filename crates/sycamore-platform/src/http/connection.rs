//! HTTP/1.1 client connection that is polled only while it carries a request.

use super::count::{CountingStream, Traffic};
use crate::error::{Error, Result};
use bytes::{Bytes, BytesMut};
use error_stack::Report;
use futures::future::{select, Either};
use futures::FutureExt;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use sycamore_http::conn::{Keepalive, Polled};

/// Read buffer limit of a connection in bytes, which also limits the headers of an answer.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Time limits on the parts of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerTimeouts {
    /// Longest wait for the answer's head, from sending the request.
    pub(super) head: Duration,
    /// Longest wait for each frame of the answer's body, from the frame before it.
    pub(super) frame: Duration,
}

/// Open connection that carries no request.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<dyn Future<Output = hyper::Result<()>>>>,
}

impl Connection {
    /// Connects to `address` and counts the connection's bytes in `traffic`.
    ///
    /// # Errors
    /// [`Error::Unreachable`] on any failure; no request was sent.
    pub(super) async fn open(address: SocketAddr, traffic: Rc<Traffic>) -> Result<Self> {
        let unreachable = |e: std::io::Error| Report::new(e).change_context(Error::Unreachable);
        let stream = TcpStream::connect(address).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        // A watch request waits many seconds for its answer. Keepalive detects a dead peer
        // meanwhile, which would otherwise delay a change until the request times out.
        Keepalive::default().apply(&stream).map_err(unreachable)?;
        let inner = MonoioIo::new(Polled::new(stream.into_poll_io().map_err(unreachable)?));
        let (sender, driver) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(CountingStream { inner, traffic })
            .await
            .map_err(|e| Report::new(e).change_context(Error::Unreachable))?;
        Ok(Self { sender, driver: Box::pin(driver) })
    }

    /// Polls the connection once and returns whether it can carry a request. A connection that the
    /// peer has closed cannot.
    pub(super) fn is_usable(&mut self) -> bool {
        (&mut self.driver).now_or_never().is_none() && self.sender.is_ready()
    }

    /// Sends `request` and reads the whole answer, whose body may have at most `max` bytes. Returns
    /// the connection as well unless it was closed.
    ///
    /// # Errors
    /// [`Error::NoAnswer`] if the connection fails or a timeout passes, [`Error::AnswerTooLarge`] if
    /// the body has more than `max` bytes, [`Error::Malformed`] if it breaks the protocol. The
    /// request may have taken effect.
    pub(super) async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        max: usize,
        timeouts: AnswerTimeouts,
    ) -> Result<(Response<Bytes>, Option<Self>)> {
        let head = monoio::time::timeout(timeouts.head, self.sender.send_request(request));
        let answer = head.then(|head| async move {
            match head {
                Ok(response) => read_answer(response, max, timeouts.frame).await,
                Err(_) => Err(Report::new(Error::NoAnswer)),
            }
        });
        let answer = match select(Box::pin(answer), &mut self.driver).await {
            Either::Left((answer, _)) => return Ok((answer?, Some(self))),
            // The peer closed the connection, possibly after it sent the whole answer.
            Either::Right((_, answer)) => answer.now_or_never(),
        };
        match answer {
            Some(answer) => Ok((answer?, None)),
            None => Err(Report::new(Error::NoAnswer)),
        }
    }
}

/// Reads the body of `response`, waiting at most `timeout` for each frame. A body that is announced
/// as too large is not read.
async fn read_answer(
    response: hyper::Result<Response<Incoming>>,
    max: usize,
    timeout: Duration,
) -> Result<Response<Bytes>> {
    let response = response.map_err(|e| Report::new(e).change_context(Error::NoAnswer))?;
    let (head, body) = response.into_parts();
    if body.size_hint().lower() > u64::try_from(max).unwrap_or(u64::MAX) {
        return Err(Report::new(Error::AnswerTooLarge { max }));
    }
    let mut body = Limited::new(body, max);
    let mut bytes = BytesMut::new();
    loop {
        let frame = monoio::time::timeout(timeout, body.frame()).await;
        match frame.map_err(|_| Report::new(Error::NoAnswer))? {
            None => return Ok(Response::from_parts(head, bytes.freeze())),
            Some(Ok(frame)) => bytes.extend(frame.into_data().ok()),
            Some(Err(e)) if e.is::<LengthLimitError>() => {
                return Err(Report::new(Error::AnswerTooLarge { max }));
            }
            Some(Err(e)) => return Err(Report::new(Error::Malformed(e.to_string()))),
        }
    }
}
