//! Bodies under way take a bounded amount of memory.

use super::world::{field, get, post, run, settle, until, Options, World};
use http::StatusCode;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use std::net::SocketAddr;
use sycamore_settings::calls::{Calls, EXCHANGE_BYTES};
use sycamore_settings::Settings;
use sycamore_types::headers;
use sycamore_types::prelude::*;

/// Exchanges that fit the memory of these tests; callers may have half of it.
const EXCHANGES: u64 = 4;

fn options(exchanges: u64) -> Options {
    let options = Options { nodes: 1, ..Options::default() };
    let calls = Calls { body_memory: exchanges * EXCHANGE_BYTES, ..options.calls.clone() };
    Options { calls, ..options }
}

/// Begins an upload of one byte and returns once the node has asked for the byte.
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

/// The metric of memory that bodies under way hold.
fn held(world: &World) -> u64 {
    let families = world.nodes[0].hub.registry.gather();
    let family = families.iter().find(|family| family.name() == "sycamoreshift_calls_body_bytes");
    family.map_or(0, |family| family.get_metric()[0].get_gauge().get_value() as u64)
}

#[test]
fn uploads_beyond_the_memory_are_refused_before_they_are_read() {
    run(async {
        let world = World::start(&options(EXCHANGES)).await;
        let address = world.nodes[0].hub.settings.listen.caller;
        let mut first = begin_upload(address).await;
        let second = begin_upload(address).await;

        let mut third = TcpStream::connect(address).await.unwrap();
        let head = "POST /counter/echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n";
        third.write_all(head).await.0.unwrap();
        // Not a byte of the body is sent: the refusal comes all the same.
        let refused = answer(&mut third).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        for line in ["shift-outcome: not-run", "shift-reason: overloaded", "retry-after: 1"] {
            assert!(refused.contains(line), "{line} is missing: {refused}");
        }
        assert_eq!(held(&world), 2 * EXCHANGE_BYTES);
        assert_eq!(world.runs("echo"), 0);
        assert_eq!(world.call(get("/counter/echo"), "").await.status(), StatusCode::OK);

        first.write_all("x").await.0.unwrap();
        assert!(answer(&mut first).await.starts_with("HTTP/1.1 200"));
        until(|| held(&world) == EXCHANGE_BYTES).await;
        assert_eq!(world.call(post("/counter/echo"), "x").await.status(), StatusCode::OK);
        drop(second);
        until(|| held(&world) == 0).await;
        world.stop().await;
    });
}

#[test]
fn relayed_bodies_beyond_the_memory_are_refused_before_they_are_asked_for() {
    run(async {
        let world = World::start(&Options { slots: 8, ..options(EXCHANGES) }).await;
        settle().await;
        let relay = world.nodes[0].hub.settings.listen.relay;
        let mut uploads = Vec::new();
        for _ in 0..EXCHANGES {
            let (upload, said) = begin_relayed(relay).await;
            assert!(said.starts_with("HTTP/1.1 100"), "{said}");
            uploads.push(upload);
        }
        assert_eq!(held(&world), EXCHANGES * EXCHANGE_BYTES);
        let (_, said) = begin_relayed(relay).await;
        assert!(said.starts_with("HTTP/1.1 503"), "{said}");
        assert!(said.contains("shift-reason: overloaded"), "{said}");
        let resp = world.call(post("/counter/echo"), "x").await;
        assert_eq!(field(&resp, headers::REASON), "overloaded");
        assert_eq!(world.runs("echo"), EXCHANGES as usize);

        drop(uploads);
        until(|| held(&world) == 0).await;
        assert_eq!(world.call(post("/counter/echo"), "x").await.status(), StatusCode::OK);
        world.stop().await;
    });
}

/// Begins a call as another node does, and gives what is said before its body is sent.
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

#[test]
fn a_call_whose_both_sides_are_one_node_fits_the_least_memory() {
    run(async {
        let world = World::start(&options(2)).await;
        let resp = world.call(post("/counter/echo"), "x").await;
        assert_eq!(resp.status(), StatusCode::OK, "{}", field(&resp, headers::REASON));
        until(|| held(&world) == 0).await;
        world.stop().await;
    });
}

/// Longer than what a node holds of a body.
const LONG: usize = 200 << 10;

#[test]
fn a_body_that_was_passed_on_is_not_sent_again_in_part() {
    run(async {
        let world = World::start(&Options::default()).await;
        settle().await;
        let body = "x".repeat(LONG);
        let put = || http::Request::put("/counter/close");
        let resp = world.call(put(), &body).await;
        assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        assert_eq!(world.runs("close"), 1);
        world.stop().await;
    });
}

#[test]
fn a_long_call_that_the_upstream_shed_is_answered_at_once() {
    run(async {
        let world = World::start(&Options::default()).await;
        settle().await;
        let resp = world.call(post("/counter/shed"), &"x".repeat(LONG)).await;
        assert_eq!(resp.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(world.runs("shed"), 1);
        world.stop().await;
    });
}
