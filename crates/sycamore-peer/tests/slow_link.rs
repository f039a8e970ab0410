//! Tests of fetches over connections that carry bytes slowly, or none.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use futures::StreamExt;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::future::{pending, Future};
use std::net::SocketAddr;
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
