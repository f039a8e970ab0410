//! Counts of requests, and of bytes on the wire.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A count that only grows.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    pub(super) fn add(&self, n: usize) {
        self.0.set(self.0.get().wrapping_add(n as u64));
    }
}

/// What one client has sent and received.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Read requests sent.
    pub reads: Count,
    /// Write requests sent.
    pub writes: Count,
    /// Requests without a whole answer.
    pub failures: Count,
    /// Requests held back by this node's share of the budget.
    pub throttled: Count,
    /// Bytes sent, headers included.
    pub sent: Count,
    /// Bytes received, headers included.
    pub received: Count,
}

/// A stream that counts its bytes.
pub(super) struct Counted<S> {
    pub(super) inner: S,
    pub(super) traffic: Rc<Traffic>,
}

impl<S: Read + Unpin> Read for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        // The cursor is consumed by the inner read, so a buffer of our own tells the length.
        let mut chunk = [0u8; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let mut read = hyper::rt::ReadBuf::new(&mut chunk[..room]);
        match Pin::new(&mut self.inner).poll_read(cx, read.unfilled()) {
            Poll::Ready(Ok(())) => {
                let filled = read.filled();
                self.traffic.received.add(filled.len());
                buf.put_slice(filled);
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }
}

/// Bytes read at once.
const READ_BYTES: usize = 8 << 10;

impl<S: Write + Unpin> Write for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = written {
            self.traffic.sent.add(n);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
