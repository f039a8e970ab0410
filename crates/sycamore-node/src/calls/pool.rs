//! Pool of connections to upstreams or nodes, which keeps idle connections for reuse.

use crate::edge::History;
use futures::FutureExt;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::timeout;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use sycamore_http::conn::{Keepalive, Reader};

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the peer's idle timeout from which a connection isn't used any more: a request sent on
/// it could cross the peer's close, and may have run.
const CLOSE_MARGIN: Duration = Duration::from_millis(200);
/// Maximum number of addresses with idle connections.
const MAX_ADDRESSES: usize = 2_048;

/// Connection that requests are sent on.
pub(super) struct Stream {
    pub(super) reader: Reader<OwnedReadHalf<TcpStream>>,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
    /// Whether the connection has carried requests before.
    pub(super) history: History,
    /// Time after which the peer closes the connection while it is idle, by its last answer.
    pub(super) idle_time: Option<Duration>,
}

impl Stream {
    pub(super) fn from_split(
        halves: (OwnedReadHalf<TcpStream>, OwnedWriteHalf<TcpStream>),
    ) -> Self {
        let (reader, writer) = (Reader::new(halves.0), halves.1);
        Self { reader, writer, history: History::Fresh, idle_time: None }
    }

    /// Returns whether the connection may be used after it has been idle for `idle`.
    fn is_usable_after(&self, idle: Duration) -> bool {
        self.idle_time.is_none_or(|time| idle + CLOSE_MARGIN < time)
    }

    /// Returns whether the peer has closed the connection or sent bytes without a request.
    fn is_stale(&mut self) -> bool {
        self.reader.wait_until_closed().now_or_never().is_some() || self.reader.has_unread()
    }
}

/// Error of a failed connection attempt, before any byte of a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NotConnected;

/// Pool of idle connections by address, at most `max_idle` per address.
pub(super) struct Pool {
    /// Idle connections, each with the time since which it is idle.
    idle: RefCell<HashMap<SocketAddr, Vec<(Stream, Instant)>>>,
    max_idle: usize,
    idle_timeout: Duration,
}

impl Pool {
    pub(super) fn new(max_idle: usize, idle_timeout: Duration) -> Self {
        Self { idle: RefCell::default(), max_idle, idle_timeout }
    }

    /// Returns an idle connection to `address`, or opens one.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Stream, NotConnected> {
        while let Some(mut stream) = self.take(address) {
            if !stream.is_stale() {
                return Ok(stream);
            }
        }
        open(address).await
    }

    /// Keeps a connection for reuse; its last request and answer must have been transferred whole.
    pub(super) fn put(&self, address: SocketAddr, mut stream: Stream) {
        stream.history = History::Reused;
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_ADDRESSES && !idle.contains_key(&address) {
            return;
        }
        let streams = idle.entry(address).or_default();
        if streams.len() < self.max_idle {
            streams.push((stream, Instant::now()));
        }
    }

    /// Closes the connections to `address` that have been idle since before `sent`, the time at
    /// which a call was sent on a reused connection and got no answer: the network path of
    /// connections of that age may be broken without a reset.
    pub(super) fn close_idle_before(&self, address: SocketAddr, sent: Instant) {
        if let Some(streams) = self.idle.borrow_mut().get_mut(&address) {
            streams.retain(|(_, since)| *since > sent);
        }
    }

    /// Closes the connections that have been idle for the idle timeout.
    pub(super) fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, streams| {
            streams.retain(|(stream, since)| {
                let idle = since.elapsed();
                idle < self.idle_timeout && stream.is_usable_after(idle)
            });
            !streams.is_empty()
        });
    }

    fn take(&self, address: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let (stream, since) = idle.get_mut(&address)?.pop()?;
        let idle = since.elapsed();
        (idle < self.idle_timeout && stream.is_usable_after(idle)).then_some(stream)
    }
}

/// Opens a connection to `address`, watched by TCP keepalive.
pub(super) async fn open(address: SocketAddr) -> Result<Stream, NotConnected> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| NotConnected)?.map_err(|_| NotConnected)?;
    stream.set_nodelay(true).map_err(|_| NotConnected)?;
    Keepalive::default().apply(&stream).map_err(|_| NotConnected)?;
    Ok(Stream::from_split(stream.into_split()))
}
