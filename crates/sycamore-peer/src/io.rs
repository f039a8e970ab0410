//! TCP stream wrapper that counts the bytes read and written.

use crate::counters::Counters;
use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;
use sycamore_http::conn::Polled;

/// TCP stream that adds its traffic to the [`Counters`] and records when bytes arrived.
pub(crate) struct CountedStream {
    stream: Polled<TcpStreamPoll>,
    counters: Arc<Counters>,
    latest_read: Rc<Cell<Option<Instant>>>,
}

impl CountedStream {
    /// Wraps `stream`; every read of at least one byte sets `latest_read`, which idle detection
    /// clears.
    pub(crate) fn new(
        stream: TcpStreamPoll,
        counters: Arc<Counters>,
        latest_read: Rc<Cell<Option<Instant>>>,
    ) -> Self {
        Self { stream: Polled::new(stream), counters, latest_read }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.counters.add_bytes_in(read as u64);
            self.latest_read.set(Some(Instant::now()));
        }
        poll
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &poll {
            self.counters.add_bytes_out(*written as u64);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
