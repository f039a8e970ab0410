//! Stream for libraries that poll, which gives way to the other tasks of its thread.

use super::turn::Turn;
use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// Stream whose reads pause now and then while it is always ready: the protocols above read until a
/// read is pending, or go to the end of the event loop's queue by themselves, which holds up its timers.
#[derive(Debug)]
pub struct Polled<S> {
    stream: S,
    turn: Turn,
}

impl<S> Polled<S> {
    /// Wraps `stream`.
    pub fn new(stream: S) -> Self {
        Self { stream, turn: Turn::default() }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Polled<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.turn.poll_give_way(cx));
        self.turn.count();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.turn.note(poll)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Polled<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
