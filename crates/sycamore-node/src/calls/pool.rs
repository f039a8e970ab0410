//! Connections to upstreams and nodes, with idle ones kept for reuse.

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

/// Longest time to connect.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Addresses with idle connections at most.
const MAX_ADDRESSES: usize = 2_048;

/// A connection that requests go out on.
pub(super) struct Stream {
    pub(super) reader: Reader<OwnedReadHalf<TcpStream>>,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
    /// What it has carried before.
    pub(super) history: History,
}

impl Stream {
    pub(super) fn from_split(
        halves: (OwnedReadHalf<TcpStream>, OwnedWriteHalf<TcpStream>),
    ) -> Self {
        Self { reader: Reader::new(halves.0), writer: halves.1, history: History::Fresh }
    }

    /// Whether the peer has closed it, or sent what nobody asked for.
    fn is_stale(&mut self) -> bool {
        self.reader.closed().now_or_never().is_some() || self.reader.has_unread()
    }
}

/// No connection could be made; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NotConnected;

/// Idle connections by address.
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<(Stream, Instant)>>>,
    most_idle: usize,
    idle_time: Duration,
}

impl Pool {
    pub(super) fn new(most_idle: usize, idle_time: Duration) -> Self {
        Self { idle: RefCell::default(), most_idle, idle_time }
    }

    /// An idle connection to `address`, or a new one.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Stream, NotConnected> {
        while let Some(mut stream) = self.take(address) {
            if !stream.is_stale() {
                return Ok(stream);
            }
        }
        open(address).await
    }

    /// Keeps a connection whose last exchange was whole on both sides.
    pub(super) fn put(&self, address: SocketAddr, mut stream: Stream) {
        stream.history = History::Reused;
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_ADDRESSES && !idle.contains_key(&address) {
            return;
        }
        let streams = idle.entry(address).or_default();
        if streams.len() < self.most_idle {
            streams.push((stream, Instant::now()));
        }
    }

    /// Closes the connections to `address` that have been idle since before `sent`, when a call went
    /// out on one that has brought no answer: they may all have gone silent.
    pub(super) fn doubt(&self, address: SocketAddr, sent: Instant) {
        if let Some(streams) = self.idle.borrow_mut().get_mut(&address) {
            streams.retain(|(_, since)| *since > sent);
        }
    }

    /// Closes the connections that have been idle too long.
    pub(super) fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, streams| {
            streams.retain(|(_, since)| since.elapsed() < self.idle_time);
            !streams.is_empty()
        });
    }

    fn take(&self, address: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let (stream, since) = idle.get_mut(&address)?.pop()?;
        (since.elapsed() < self.idle_time).then_some(stream)
    }
}

/// Opens a connection to `address`.
pub(super) async fn open(address: SocketAddr) -> Result<Stream, NotConnected> {
    let connected = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| NotConnected)?.map_err(|_| NotConnected)?;
    stream.set_nodelay(true).map_err(|_| NotConnected)?;
    Keepalive::default().apply(&stream).map_err(|_| NotConnected)?;
    Ok(Stream::from_split(stream.into_split()))
}
