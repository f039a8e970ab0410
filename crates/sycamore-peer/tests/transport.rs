//! Tests of calls and datagrams between nodes over loopback sockets.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use futures::channel::oneshot;
use futures::StreamExt;
use monoio::net::TcpListener;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_member::message::{Body, Digest, ExchangeReply, ExchangeRequest, Packet};
use sycamore_peer::limits::{MAX_FETCH_BYTES, MAX_FETCH_HASHES, MAX_PACKET_BYTES};
use sycamore_peer::{
    serve, Counters, Datagrams, Error, Evidence, FetchRequest, Fetched, Inbox, Peers, PeersOptions,
    Received, Server, ServerOptions,
};
use sycamore_types::prelude::*;

/// Limits of a fetch whose time doesn't matter.
const LIMIT: FetchLimit =
    FetchLimit { silence: Duration::from_secs(20), whole: Duration::from_secs(20) };

/// Runs `test` on a runtime of its own.
fn block_on<T>(test: impl Future<Output = T>) -> T {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(test)
}

fn deployment(name: &str) -> Deployment {
    Deployment::new(name).unwrap()
}

/// Peer listener of deployment `klupa` on a loopback port.
struct Node {
    address: SocketAddr,
    counters: Arc<Counters>,
    /// Receivers of the listener's calls; `None` once a test has taken them.
    inbox: Option<Inbox>,
    stop: oneshot::Sender<()>,
    serving: monoio::task::JoinHandle<()>,
}

impl Node {
    fn start(options: ServerOptions) -> Self {
        let counters = Arc::new(Counters::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (server, inbox) = Server::new(deployment("klupa"), counters.clone());
        let (stop, stopped) = oneshot::channel();
        let stopped = async move {
            let _ = stopped.await;
        };
        let serving = monoio::spawn(serve(listener, server, options, stopped));
        Self { address, counters, inbox: Some(inbox), stop, serving }
    }

    /// Stops the listener and waits for its task.
    async fn stop(self) {
        self.stop.send(()).unwrap();
        self.serving.await;
    }
}

/// Creates a client of instance `a` in the deployment called `name`.
fn client(name: &str) -> Peers {
    let options = PeersOptions { call_timeout: Duration::from_secs(20), ..PeersOptions::default() };
    Peers::new(deployment(name), "a".parse().unwrap(), options, Arc::default())
}

fn head() -> ConfigHead {
    ConfigHead { version: ConfigVersion(7), manifest: ContentHash::of(b"manifest") }
}

/// Answers the calls of every kind; fetches from `store`, evidence with its own body.
fn answer_calls(mut inbox: Inbox, store: Vec<Bytes>) {
    monoio::spawn(async move {
        while let Some(call) = inbox.exchange.next().await {
            let next = Some(call.body.first + 1);
            let _ = call.tx.send(ExchangeReply { next, ..ExchangeReply::default() });
        }
    });
    monoio::spawn(async move {
        while let Some(call) = inbox.fetch.next().await {
            let held = store.iter().map(|body| (ContentHash::of(body), body.clone()));
            let wanted = held.filter(|(hash, _)| call.body.hashes.contains(hash));
            let reply = match call.body.base {
                Some(base) => Fetched::Delta(Bytes::copy_from_slice(&base.0)),
                None => Fetched::Objects(wanted.collect()),
            };
            let _ = call.tx.send(reply);
        }
    });
    monoio::spawn(async move {
        while let Some(call) = inbox.head.next().await {
            let _ = call.tx.send(Some(head()));
        }
    });
    monoio::spawn(async move {
        while let Some(call) = inbox.evidence.next().await {
            let _ = call.tx.send(call.body.body);
        }
    });
}

/// Guards against a kind of call whose request or reply is lost between client and inbox, and
/// against a connection for each call.
#[test]
fn each_kind_of_call_is_answered_over_one_connection() {
    block_on(async {
        let mut node = Node::start(ServerOptions::default());
        let store = vec![Bytes::from("one"), Bytes::from("two")];
        answer_calls(node.inbox.take().unwrap(), store.clone());
        let peers = client("klupa");
        let req = ExchangeRequest { first: 4, ..ExchangeRequest::default() };
        assert_eq!(peers.exchange(node.address, &req).await.unwrap().next, Some(5));
        assert_eq!(peers.head(node.address).await.unwrap(), Some(head()));
        let evidence = Evidence { kind: 1, body: Bytes::from("counts") };
        assert_eq!(peers.evidence(node.address, evidence).await.unwrap(), "counts");
        let hashes = vec![ContentHash::of(b"two"), ContentHash::of(b"three")];
        let req = FetchRequest { hashes, base: None };
        let held = peers.fetch(node.address, &req, &LIMIT).await.unwrap();
        let expected = vec![(ContentHash::of(b"two"), Bytes::from("two"))];
        assert_eq!(held, Fetched::Objects(expected));
        let base = ContentHash::of(b"base");
        let req = FetchRequest { base: Some(base), ..req };
        let delta = peers.fetch(node.address, &req, &LIMIT).await.unwrap();
        assert_eq!(delta, Fetched::Delta(Bytes::copy_from_slice(&base.0)));
        assert_eq!(node.counters.connections_in(), 1, "calls share a connection");
        assert_eq!(node.counters.bytes_in(), peers.counters().bytes_out());
        peers.close().await;
        node.stop().await;
    });
}

/// Guards against calls that reach a node of another deployment: client and listener name different
/// ones.
#[test]
fn call_of_another_deployment_is_refused_and_counted() {
    block_on(async {
        let mut node = Node::start(ServerOptions::default());
        answer_calls(node.inbox.take().unwrap(), Vec::new());
        let peers = client("sutokatha");
        let refused = peers.head(node.address).await.unwrap_err();
        assert_eq!(*refused.current_context(), Error::Deployment);
        assert_eq!(node.counters.refused(), 1);
        peers.close().await;
        node.stop().await;
    });
}

/// Guards against fetches of unbounded size: three objects of half the byte bound each, and a
/// request one hash over its bound.
#[test]
fn fetches_are_bounded() {
    block_on(async {
        let mut node = Node::start(ServerOptions::default());
        let large: Vec<Bytes> =
            (0..3u8).map(|fill| Bytes::from(vec![fill; MAX_FETCH_BYTES / 2])).collect();
        answer_calls(node.inbox.take().unwrap(), large.clone());
        let peers = client("klupa");
        let hashes: Vec<ContentHash> = large.iter().map(|body| ContentHash::of(body)).collect();
        let req = FetchRequest { hashes, base: None };
        let Fetched::Objects(held) = peers.fetch(node.address, &req, &LIMIT).await.unwrap() else {
            panic!("a delta without a base");
        };
        assert_eq!(held.len(), 2);
        let hashes = vec![ContentHash::of(b""); MAX_FETCH_HASHES + 1];
        let many = FetchRequest { hashes, base: None };
        let refused = peers.fetch(node.address, &many, &LIMIT).await.unwrap_err();
        assert_eq!(*refused.current_context(), Error::Malformed);
        peers.close().await;
        node.stop().await;
    });
}

/// Guards against unbounded connections: a second client connects where one connection is allowed.
#[test]
fn connections_over_the_limit_are_refused() {
    block_on(async {
        let options = ServerOptions { connections: 1, ..ServerOptions::default() };
        let mut node = Node::start(options);
        answer_calls(node.inbox.take().unwrap(), Vec::new());
        let (first, second) = (client("klupa"), client("klupa"));
        first.head(node.address).await.unwrap();
        assert!(second.head(node.address).await.is_err());
        assert_eq!(node.counters.connections_refused(), 1);
        first.close().await;
        second.close().await;
        node.stop().await;
    });
}

/// Guards against unbounded queues: 300 calls are made while nothing reads the inbox.
#[test]
fn calls_over_the_queue_limit_are_refused() {
    block_on(async {
        let mut node = Node::start(ServerOptions::default());
        let inbox = node.inbox.take().unwrap();
        let peers = Peers::new(
            deployment("klupa"),
            "a".parse().unwrap(),
            PeersOptions { call_timeout: Duration::from_millis(200), ..PeersOptions::default() },
            Arc::default(),
        );
        let calls = (0..300).map(|_| peers.head(node.address));
        let results = futures::future::join_all(calls).await;
        assert!(results.iter().all(Result::is_err));
        let mut head = inbox.head;
        let mut queued = 0;
        while head.try_recv().is_ok() {
            queued += 1;
        }
        // A queue holds 64 calls and one more slot for its sender.
        assert!(queued <= 65, "{queued} calls queued");
        peers.close().await;
        node.stop().await;
    });
}

/// Guards against malformed, oversized or foreign datagrams that pass, stop the receiver or go
/// uncounted: one of each is sent before a valid packet.
#[test]
fn valid_datagrams_arrive_and_others_are_counted_as_refused() {
    block_on(async {
        let bind = |name: &str| {
            let counters = Arc::new(Counters::default());
            let address = "127.0.0.1:0".parse().unwrap();
            (Datagrams::bind(address, &deployment(name), counters.clone()).unwrap(), counters)
        };
        let ((a, sent), (b, received), (other, _)) = (bind("klupa"), bind("klupa"), bind("x"));
        let to = b.local_addr().unwrap();
        let body = Body::Ping { seq: 1, digest: Digest::from(2) };
        let packet = Packet { from: "a".parse().unwrap(), body, items: Vec::new() };
        let garbage = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        garbage.send_to(b"\xff\xff\xff", to).unwrap();
        garbage.send_to(&vec![0; MAX_PACKET_BYTES + 1], to).unwrap();
        other.send(&packet, Stamp::default(), to).await.unwrap();
        let at = Stamp { wall: WallTime(7), logical: 3 };
        a.send(&packet, at, to).await.unwrap();
        let from = a.local_addr().unwrap();
        assert_eq!(b.recv().await.unwrap(), Received { packet, at, from });
        assert_eq!(received.refused(), 3);
        assert!(sent.bytes_out() > 0);
    });
}

/// Prints the bytes of one probe as a call on a new connection, as a call on an open one and as a
/// pair of datagrams, for the design page. It asserts no bound.
#[test]
fn print_bytes_of_a_probe() {
    block_on(async {
        let mut node = Node::start(ServerOptions::default());
        answer_calls(node.inbox.take().unwrap(), Vec::new());
        let peers = client("klupa");
        let total = || peers.counters().bytes_out() + peers.counters().bytes_in();
        peers.head(node.address).await.unwrap();
        let first_call = total();
        peers.head(node.address).await.unwrap();
        peers.head(node.address).await.unwrap();
        let before = total();
        peers.head(node.address).await.unwrap();
        println!(
            "call on a new connection: {first_call} B; on an open one: {} B",
            total() - before
        );
        let body = Body::Ping { seq: 70_000, digest: Digest::from(u64::MAX) };
        let at = Stamp { wall: WallTime(1_796_344_110_107), logical: 300 };
        let packet = Packet { from: "counter-0017".parse().unwrap(), body, items: Vec::new() };
        let len = sycamore_peer::codec::encode_packet(&packet, at, 1).unwrap().len();
        // 28: IPv4 and UDP headers of a datagram, in bytes.
        println!("ping and ack as datagrams: {} B", 2 * (len + 28));
        peers.close().await;
        node.stop().await;
    });
}

/// Guards against a node that does nothing else while datagrams come without a pause, those of another
/// deployment included.
#[test]
fn datagrams_without_end_leave_the_loop_to_others() {
    const TIME: Duration = Duration::from_millis(300);
    let ended = Arc::new(AtomicBool::new(false));
    let (longest, received) = block_on(async {
        let address = "127.0.0.1:0".parse().unwrap();
        let datagrams =
            Datagrams::bind(address, &deployment("klupa"), Arc::new(Counters::default())).unwrap();
        let to = datagrams.local_addr().unwrap();
        let senders = (0..3).map(|_| {
            let ended = ended.clone();
            std::thread::spawn(move || {
                let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
                while !ended.load(Ordering::Relaxed) {
                    // A full queue drops what is sent.
                    let _ = socket.send_to(b"junk", to);
                }
            })
        });
        let senders: Vec<_> = senders.collect();
        let began = Instant::now();
        let received = monoio::time::timeout(TIME, datagrams.recv()).await;
        let took = began.elapsed();
        ended.store(true, Ordering::Relaxed);
        senders.into_iter().for_each(|sender| sender.join().unwrap());
        (took, received.is_ok())
    });
    assert!(!received, "junk was taken for a datagram");
    assert!(longest < TIME * 2, "the timeout fired after {longest:?}");
}
