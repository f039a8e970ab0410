//! Bound on the memory of request bodies in transit, and bodies too long to be sent again.

use super::world::{field, get, post, run, settle, wait_until, Cluster, Options};
use http::StatusCode;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::net::SocketAddr;
use sycamore_settings::calls::{Calls, EXCHANGE_BYTES};
use sycamore_settings::Settings;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Number of exchanges whose bodies fit into the memory; relaying exchanges may use half of it.
const EXCHANGES: u64 = 4;

fn options(exchanges: u64) -> Options {
    let options = Options { nodes: 1, ..Options::default() };
    let calls = Calls { body_memory: exchanges * EXCHANGE_BYTES, ..options.calls.clone() };
    Options { calls, ..options }
}

/// Starts an upload of one byte and returns once the node has sent `100 Continue`.
async fn begin_upload(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST /counter/echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\
                expect: 100-continue\r\n\r\n";
    stream.write_all(head).await.0.unwrap();
    assert!(answer(&mut stream).await.starts_with("HTTP/1.1 100"));
    stream
}

async fn answer(stream: &mut TcpStream) -> String {
    let (read, bytes) = stream.read(vec![0; 4096]).await;
    String::from_utf8_lossy(&bytes[..read.unwrap()]).into_owned()
}

/// Returns the metric of memory reserved for request bodies, in bytes.
fn reserved_bytes(cluster: &Cluster) -> u64 {
    let families = cluster.nodes[0].hub.registry.gather();
    let family = families.iter().find(|family| family.name() == "sycamoreshift_calls_body_bytes");
    family.map_or(0, |family| family.get_metric()[0].get_gauge().get_value() as u64)
}

/// Many slow uploads at once would exhaust the node's memory: those beyond the limit must be
/// refused before their bodies are read, and finished or aborted uploads must release theirs.
#[test]
fn uploads_beyond_the_memory_are_refused_before_they_are_read() {
    run(async {
        let cluster = Cluster::start(&options(EXCHANGES)).await;
        let address = cluster.nodes[0].hub.settings.listen.caller;
        let mut first = begin_upload(address).await;
        let second = begin_upload(address).await;

        let mut third = TcpStream::connect(address).await.unwrap();
        let head = "POST /counter/echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n";
        third.write_all(head).await.0.unwrap();
        // The refusal must come although no byte of the body is sent.
        let refused = answer(&mut third).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        for line in ["shift-outcome: not-run", "shift-reason: overloaded", "retry-after: 1"] {
            assert!(refused.contains(line), "{line} is missing: {refused}");
        }
        assert_eq!(reserved_bytes(&cluster), 2 * EXCHANGE_BYTES);
        assert_eq!(cluster.runs("echo"), 0);
        assert_eq!(cluster.call(get("/counter/echo"), "").await.status(), StatusCode::OK);

        first.write_all("x").await.0.unwrap();
        assert!(answer(&mut first).await.starts_with("HTTP/1.1 200"));
        wait_until(|| reserved_bytes(&cluster) == EXCHANGE_BYTES).await;
        assert_eq!(cluster.call(post("/counter/echo"), "x").await.status(), StatusCode::OK);
        drop(second);
        wait_until(|| reserved_bytes(&cluster) == 0).await;
        cluster.stop().await;
    });
}

/// Bodies relayed by other nodes count as well: beyond the limit a call must be refused instead of
/// getting `100 Continue`.
#[test]
fn relayed_bodies_beyond_the_memory_are_refused_before_they_are_asked_for() {
    run(async {
        let cluster = Cluster::start(&Options { slots: 8, ..options(EXCHANGES) }).await;
        settle().await;
        let relay = cluster.nodes[0].hub.settings.listen.relay;
        let mut uploads = Vec::new();
        for _ in 0..EXCHANGES {
            let (upload, said) = begin_relayed(relay).await;
            assert!(said.starts_with("HTTP/1.1 100"), "{said}");
            uploads.push(upload);
        }
        assert_eq!(reserved_bytes(&cluster), EXCHANGES * EXCHANGE_BYTES);
        let (_, said) = begin_relayed(relay).await;
        assert!(said.starts_with("HTTP/1.1 503"), "{said}");
        assert!(said.contains("shift-reason: overloaded"), "{said}");
        let resp = cluster.call(post("/counter/echo"), "x").await;
        assert_eq!(field(&resp, headers::REASON), "overloaded");
        assert_eq!(cluster.runs("echo"), EXCHANGES as usize);

        drop(uploads);
        wait_until(|| reserved_bytes(&cluster) == 0).await;
        assert_eq!(cluster.call(post("/counter/echo"), "x").await.status(), StatusCode::OK);
        cluster.stop().await;
    });
}

/// Starts a call as another node relays it, and returns the response before its body is sent.
async fn begin_relayed(address: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /counter/echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\
         expect: 100-continue\r\n{}: {}\r\n{}: counter;counter;1.0.0;10000\r\n{}: {}\r\n\
         {}: {}\r\n{}: a\r\n{}: 5000\r\n{}: 1\r\n{}: counter\r\n\r\n",
        headers::DEPLOYMENT,
        Settings::default().node.deployment,
        headers::ROUTE,
        headers::CALL_ID,
        CallId(7),
        headers::FINGERPRINT,
        Fingerprint(7),
        headers::CALLER_HASH,
        headers::TIMEOUT_MS,
        headers::HOPS,
        headers::ORIGIN,
    );
    stream.write_all(head.into_bytes()).await.0.unwrap();
    let said = answer(&mut stream).await;
    (stream, said)
}

/// A node that relays a call to itself reserves memory twice: with the smallest memory allowed, one
/// such call must still run instead of being refused by its own reservation.
#[test]
fn a_call_that_a_node_relays_to_itself_fits_the_smallest_memory() {
    run(async {
        let cluster = Cluster::start(&options(2)).await;
        let resp = cluster.call(post("/counter/echo"), "x").await;
        assert_eq!(resp.status(), StatusCode::OK, "{}", field(&resp, headers::REASON));
        wait_until(|| reserved_bytes(&cluster) == 0).await;
        cluster.stop().await;
    });
}

/// Body size in bytes above what a node buffers for a retry.
const LONG_BODY_BYTES: usize = 200 << 10;

/// A long body is streamed without being kept: a retry would send only its unread rest, so an
/// idempotent call with such a body must not be retried.
#[test]
fn a_call_with_a_streamed_body_is_not_retried() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        settle().await;
        let body = "x".repeat(LONG_BODY_BYTES);
        let put = || http::Request::put("/counter/close");
        let resp = cluster.call(put(), &body).await;
        assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        assert_eq!(cluster.runs("close"), 1);
        cluster.stop().await;
    });
}

/// After an upstream sheds a call with a streamed body, the refusal must reach the caller as it is,
/// without another attempt.
#[test]
fn a_call_with_a_streamed_body_that_is_shed_is_refused_without_a_retry() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        settle().await;
        let resp = cluster.call(post("/counter/shed"), &"x".repeat(LONG_BODY_BYTES)).await;
        assert_eq!(resp.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(cluster.runs("shed"), 1);
        cluster.stop().await;
    });
}
