//! Tests of fetches over connections that carry bytes slowly, or none.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use futures::StreamExt;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::cell::Cell;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_peer::{
    serve, Error, FetchRequest, Fetched, Peers, PeersOptions, Server, ServerOptions,
};
use sycamore_types::prelude::*;

/// Pause between two chunks on the slow link.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest time without bytes; several pauses, so that a busy machine doesn't exceed it.
const SILENCE: Duration = Duration::from_millis(600);
/// Size of the encoded delta that the peer sends, in bytes.
const DELTA_BYTES: usize = 60_000;

/// Runs `test` on a runtime of its own.
fn block_on<T>(test: impl Future<Output = T>) -> T {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(test)
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn deployment() -> Deployment {
    Deployment::new("slow").unwrap()
}

/// Starts a node that answers each fetch with a delta of [`DELTA_BYTES`].
fn start_node() -> SocketAddr {
    let (listener, address) = listener();
    let (server, mut inbox) = Server::new(deployment(), Arc::default());
    monoio::spawn(serve(listener, server, ServerOptions::default(), pending()));
    monoio::spawn(async move {
        while let Some(call) = inbox.fetch.next().await {
            let _ = call.tx.send(Fetched::Delta(Bytes::from(vec![7; DELTA_BYTES])));
        }
    });
    address
}

/// Copies what `from` sends to `to`, `chunk` bytes at most before each pause.
async fn copy(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    chunk: usize,
    pause: Duration,
) {
    loop {
        let (read, buf) = from.read(Vec::with_capacity(chunk)).await;
        if !matches!(read, Ok(1..)) || to.write_all(buf).await.0.is_err() {
            return;
        }
        monoio::time::sleep(pause).await;
    }
}

/// Starts a link to the node at `to` that carries `chunk` bytes from there in each pause.
fn start_link(to: SocketAddr, chunk: usize) -> SocketAddr {
    let (listener, address) = listener();
    monoio::spawn(async move {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect_addr(to).await.unwrap();
        let ((near_read, near_write), (far_read, far_write)) =
            (near.into_split(), far.into_split());
        monoio::spawn(copy(near_read, far_write, 16 << 10, Duration::ZERO));
        copy(far_read, near_write, chunk, PAUSE).await;
    });
    address
}

/// Starts a link to the node at `to` whose first connection carries nothing any more once the
/// returned cell is true; later ones work.
fn start_link_that_breaks(to: SocketAddr) -> (SocketAddr, Rc<Cell<bool>>) {
    let (listener, address) = listener();
    let is_broken = Rc::new(Cell::new(false));
    let breaks = is_broken.clone();
    monoio::spawn(async move {
        let mut is_first = true;
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect_addr(to).await.unwrap();
            let ((near_read, near_write), (far_read, far_write)) =
                (near.into_split(), far.into_split());
            let breaks = is_first.then(|| breaks.clone());
            monoio::spawn(copy_until_broken(near_read, far_write, breaks.clone()));
            monoio::spawn(copy_until_broken(far_read, near_write, breaks));
            is_first = false;
        }
    });
    (address, is_broken)
}

/// Copies what `from` sends to `to`, and drops it once `is_broken` holds true.
async fn copy_until_broken(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    is_broken: Option<Rc<Cell<bool>>>,
) {
    loop {
        let (read, buf) = from.read(Vec::with_capacity(16 << 10)).await;
        let is_dropped = is_broken.as_ref().is_some_and(|is_broken| is_broken.get());
        if !matches!(read, Ok(1..)) || (!is_dropped && to.write_all(buf).await.0.is_err()) {
            return;
        }
    }
}

/// Fetches from the node at `to`, and returns the result with the time that it took.
async fn fetch(to: SocketAddr, whole: Duration) -> (Result<Fetched, Error>, Duration) {
    let peers =
        Peers::new(deployment(), "a".parse().unwrap(), PeersOptions::default(), Arc::default());
    let req = FetchRequest { hashes: Vec::new(), base: Some(ContentHash::of(b"base")) };
    let started = Instant::now();
    let fetched = peers.fetch(to, &req, &FetchLimit { silence: SILENCE, whole }).await;
    let result = fetched.map_err(|report| *report.current_context());
    (result, started.elapsed())
}

/// Guards against a fetch that is given up over a slow link, though the answer is on its way: one
/// that takes longer than the default time of a call.
#[test]
fn a_fetch_lasts_while_bytes_arrive() {
    block_on(async {
        let link = start_link(start_node(), 1_000);
        let (fetched, took) = fetch(link, Duration::from_secs(60)).await;
        assert!(matches!(fetched, Ok(Fetched::Delta(delta)) if delta.len() == DELTA_BYTES));
        assert!(took > PeersOptions::default().call_timeout, "fetched within {took:?}");
    });
}

/// Guards against a node that waits for a peer whose process is stopped, of which the system still
/// takes the connection, for longer than it allows without bytes.
#[test]
fn a_fetch_from_a_silent_peer_ends() {
    block_on(async {
        let (_listener, address) = listener();
        let (fetched, took) = fetch(address, Duration::from_secs(60)).await;
        assert_eq!(fetched, Err(Error::Timeout));
        assert!((SILENCE..SILENCE * 3).contains(&took), "gave up after {took:?}");
    });
}

/// Guards against fetches that time out one after the other on a connection that broke without a
/// sign, as after a cut, though a new one would work.
#[test]
fn a_silent_connection_is_replaced() {
    block_on(async {
        let (link, is_broken) = start_link_that_breaks(start_node());
        let peers =
            Peers::new(deployment(), "a".parse().unwrap(), PeersOptions::default(), Arc::default());
        let req = FetchRequest { hashes: Vec::new(), base: Some(ContentHash::of(b"base")) };
        let limit = FetchLimit { silence: SILENCE, whole: SILENCE * 10 };
        assert!(peers.fetch(link, &req, &limit).await.is_ok());
        is_broken.set(true);
        let silent = peers.fetch(link, &req, &limit).await.map_err(|e| *e.current_context());
        assert_eq!(silent, Err(Error::Timeout));
        let next = peers.fetch(link, &req, &limit).await.map_err(|e| *e.current_context());
        assert!(next.is_ok(), "{next:?}");
    });
}

/// Guards against a fetch without an end from a peer whose answer arrives byte by byte.
#[test]
fn a_fetch_that_hardly_moves_ends() {
    block_on(async {
        let link = start_link(start_node(), 10);
        let whole = SILENCE * 2;
        let (fetched, took) = fetch(link, whole).await;
        assert_eq!(fetched, Err(Error::Timeout));
        assert!((whole..whole * 3).contains(&took), "gave up after {took:?}");
    });
}
