//! Counters of requests and of bytes on the wire.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Returns the count since the counter was created.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    pub(super) fn add(&self, n: usize) {
        self.0.set(self.0.get().wrapping_add(n as u64));
    }
}

/// Counters of the requests and bytes of one platform client.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Number of read and watch requests that the budget allowed.
    pub reads: Counter,
    /// Number of write requests that the budget allowed.
    pub writes: Counter,
    /// Number of requests that got no complete answer.
    pub failures: Counter,
    /// Number of requests not sent because this node's share of the budget was spent.
    pub throttled: Counter,
    /// Number of bytes sent, headers included.
    pub sent: Counter,
    /// Number of bytes received, headers included.
    pub received: Counter,
}

/// Byte stream that counts what is read from and written to `inner`.
pub(super) struct CountingStream<S> {
    pub(super) inner: S,
    pub(super) traffic: Rc<Traffic>,
}

impl<S: Read + Unpin> Read for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        // The inner read would consume the cursor without returning the number of bytes read, so
        // the bytes go through a separate buffer whose length is known.
        let mut chunk = [0u8; MAX_READ_BYTES];
        let len = buf.remaining().min(MAX_READ_BYTES);
        let mut read = hyper::rt::ReadBuf::new(&mut chunk[..len]);
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

/// Largest number of bytes taken by one read.
const MAX_READ_BYTES: usize = 8 << 10;

impl<S: Write + Unpin> Write for CountingStream<S> {
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
