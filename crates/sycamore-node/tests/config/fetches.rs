//! Fetches of configurations from peers.

use super::{resources, run, run_on, ConfigSettings, Node, Store};
use futures::future::pending;
use futures::StreamExt;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use sycamore_config::Encoded;
use sycamore_peer::{serve, Fetched, Inbox, Server, ServerOptions};
use sycamore_types::prelude::*;

/// Time within which a fetch that serves no purpose must have ended; below [`FETCH_TIMEOUT`].
const END_WITHIN: Duration = Duration::from_secs(5);
const FETCH_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts a peer of `node` that answers nothing by itself.
fn start_peer(node: &Node) -> (SocketAddr, Inbox) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let deployment = node.hub.settings.node.deployment.clone();
    let (server, inbox) = Server::new(deployment, Arc::default());
    monoio::spawn(serve(listener, server, ServerOptions::default(), pending()));
    (address, inbox)
}

/// Answers fetches with the objects of `encoded`.
async fn answer_fetches(mut inbox: Inbox, encoded: Encoded) {
    let bodies = std::iter::once(&encoded.manifest).chain(&encoded.resources);
    let objects: Vec<_> = bodies.map(|body| (ContentHash::of(body), body.clone())).collect();
    while let Some(call) = inbox.fetch.next().await {
        let is_wanted = |hash: &ContentHash| call.body.hashes.contains(hash);
        let wanted = objects.iter().filter(|(hash, _)| is_wanted(hash)).cloned();
        let _ = call.tx.send(Fetched::Objects(wanted.collect()));
    }
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

/// Starts a link to the peer at `to` over which 20 KB arrive from there in a second.
fn start_slow_link(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect_addr(to).await.unwrap();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            monoio::spawn(copy(near_read, far_write, 16 << 10, Duration::ZERO));
            monoio::spawn(copy(far_read, near_write, 1_000, Duration::from_millis(50)));
        }
    });
    address
}

/// Guards against a node that gives up a fetch at `fetch_timeout`, though bytes arrive: with this
/// link a manifest takes three times as long.
#[test]
fn a_fetch_over_a_slow_link_is_waited_for() {
    run(async |node| {
        node.write_row(2, 1_000);
        node.wait_for("config_version", 2).await;
        let encoded = Encoded::new(&resources(1_001, 0, 1), ConfigVersion(5));
        let (address, inbox) = start_peer(node);
        let link = start_slow_link(address);
        node.hub.facts.learn_from(Fact::Head(encoded.head), link);
        monoio::spawn(answer_fetches(inbox, encoded));
        node.wait_for("config_version", 5).await;
    });
}

/// Guards against fetches of superseded versions that go on, which take the link and the workers
/// from the fetch of the newest one.
#[test]
fn a_fetch_ends_when_a_newer_version_is_in_force() {
    let settings = ConfigSettings { fetch_timeout: FETCH_TIMEOUT, ..ConfigSettings::default() };
    run_on(Store::default(), settings, async |node| {
        node.write_row(2, 3);
        node.wait_for("config_version", 2).await;
        let (address, mut inbox) = start_peer(node);
        let head = ConfigHead { version: ConfigVersion(5), manifest: ContentHash::of(b"five") };
        node.hub.facts.learn_from(Fact::Head(head), address);
        let mut call = inbox.fetch.next().await.unwrap();
        assert_eq!(call.body.hashes, [head.manifest]);

        node.write_row(6, 4);
        node.wait_for("config_version", 6).await;
        let ended = monoio::time::timeout(END_WITHIN, call.tx.cancellation()).await;
        assert!(ended.is_ok(), "the fetch of version 5 still runs {END_WITHIN:?} after version 6");
    });
}
