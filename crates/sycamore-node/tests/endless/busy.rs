//! Peers that are as fast as the node, so that its connections with them are always ready: the node
//! goes on with everything else.
//!
//! Each peer has a thread of its own, since the event loop of the node must not slow it down.

use super::world::{get, run, Cluster};
use super::{alone, options, SLACK, TIMEOUT};
use http::StatusCode;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time for which the peers are as fast as they can.
const PLAY: Duration = Duration::from_secs(3);
/// Time after which a read or write of a peer fails, and its thread looks whether it is to end.
const IO_TIMEOUT: Duration = Duration::from_millis(400);
/// Size of the blocks that a peer sends.
const BLOCK_BYTES: usize = 256 << 10;

/// Threads of the peers, told to end and joined on drop.
struct Threads {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Threads {
    fn new() -> Self {
        Self { ended: Arc::default(), threads: Vec::new() }
    }

    fn spawn(&mut self, act: impl FnOnce(&AtomicBool) + Send + 'static) {
        let ended = self.ended.clone();
        self.threads.push(std::thread::spawn(move || act(&ended)));
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

/// Starts an upstream that answers each request with `head` and then `piece` again and again, until
/// its connection is closed. Returns its address.
fn start_upstream(threads: &mut Threads, head: &'static str, piece: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    threads.spawn(move |ended| {
        while !ended.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => serve(stream, head, piece, ended),
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    address
}

fn serve(mut stream: TcpStream, head: &str, piece: &str, ended: &AtomicBool) {
    stream.set_nonblocking(false).unwrap();
    stream.set_write_timeout(Some(IO_TIMEOUT)).unwrap();
    let read = stream.read(&mut [0; 4_096]).unwrap_or(0);
    if read == 0 || stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let block = piece.repeat(BLOCK_BYTES / piece.len());
    while !ended.load(Ordering::Relaxed) && stream.write_all(block.as_bytes()).is_ok() {}
}

/// Starts a caller that sends `request`, then `piece` again and again, and drops what it gets; it
/// comes back whenever its connection ends.
fn start_caller(
    threads: &mut Threads,
    node: SocketAddr,
    request: &'static str,
    piece: &'static str,
) {
    threads.spawn(move |ended| {
        while !ended.load(Ordering::Relaxed) {
            let mut stream = TcpStream::connect(node).unwrap();
            stream.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
            stream.set_write_timeout(Some(IO_TIMEOUT)).unwrap();
            let mut sender = stream.try_clone().unwrap();
            let block = piece.repeat(BLOCK_BYTES / piece.len().max(1));
            if sender.write_all(request.as_bytes()).is_err() {
                continue;
            }
            std::thread::scope(|scope| {
                scope.spawn(|| {
                    while !ended.load(Ordering::Relaxed)
                        && !block.is_empty()
                        && sender.write_all(block.as_bytes()).is_ok()
                    {}
                });
                let mut buf = vec![0; BLOCK_BYTES];
                while stream.read(&mut buf).is_ok_and(|read| read > 0) {
                    if ended.load(Ordering::Relaxed) {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Calls another upstream of the cluster during [`PLAY`]; returns the longest time of a call.
async fn call_meanwhile(cluster: &Cluster) -> Duration {
    let (started, mut longest) = (Instant::now(), Duration::ZERO);
    while started.elapsed() < PLAY {
        let began = Instant::now();
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::OK);
        longest = longest.max(began.elapsed());
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    longest
}

/// Head of an answer in chunks.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// Head of an answer that ends with its connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// Guards against a node that does nothing else while it relays an answer whose sender and receiver
/// are as fast as itself: in chunks of any size, or without a length.
#[test]
fn an_answer_without_end_leaves_the_node_to_other_calls() {
    let _alone = alone();
    for (head, piece) in
        [(CHUNKED, "1\r\nx\r\n"), (CHUNKED, "6\r\npieces\r\n"), (UNFRAMED, "body ")]
    {
        run(async {
            let mut threads = Threads::new();
            let cluster = Cluster::start(&options()).await;
            let busy = Cluster::start(&options()).await;
            let address = start_upstream(&mut threads, head, piece);
            busy.nodes[0].hub.upstream.send_modify(|upstream| {
                upstream.as_mut().expect("an announced upstream").address = address;
            });
            let node = busy.nodes[0].hub.settings.listen.caller;
            let request = "GET /counter/history HTTP/1.1\r\nhost: a\r\n\r\n";
            start_caller(&mut threads, node, request, "");
            // Both nodes are on the event loop of this thread, as two tasks of one node are.
            let longest = call_meanwhile(&cluster).await;
            assert!(longest < TIMEOUT + SLACK, "{piece:?}: a call took {longest:?}");
            drop(threads);
            cluster.stop().await;
            busy.stop().await;
        });
    }
}

/// Guards against the same by a caller: a body without end, and requests without end that are answered
/// at once.
#[test]
fn a_caller_without_end_leaves_the_node_to_other_calls() {
    let _alone = alone();
    let upload = "POST /counter/upload HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let lost = "GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n";
    for (request, piece) in [(upload, "1\r\nx\r\n"), (lost, lost)] {
        run(async {
            let mut threads = Threads::new();
            let cluster = Cluster::start(&options()).await;
            let node = cluster.nodes[0].hub.settings.listen.caller;
            start_caller(&mut threads, node, request, piece);
            let longest = call_meanwhile(&cluster).await;
            assert!(longest < TIMEOUT + SLACK, "{request:?}: a call took {longest:?}");
            drop(threads);
            cluster.stop().await;
        });
    }
}
