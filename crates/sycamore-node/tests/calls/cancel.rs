//! Cancellation: disconnects of callers and expired deadlines end calls at the upstream and free
//! their slots.

use super::world::{field, get, post, run, wait_until, Cluster, Options};
use futures::FutureExt;
use http::StatusCode;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use sycamore_types::headers;

/// Without cancellation, the call of a caller that disconnected would keep running and hold its
/// slot.
#[test]
fn a_disconnect_cancels_the_call_at_the_upstream() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let address = cluster.nodes[0].hub.settings.listen.caller;
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.write_all("GET /counter/wait HTTP/1.1\r\nhost: a\r\n\r\n").await.0.unwrap();
        wait_until(|| cluster.runs("wait") == 1).await;
        drop(caller);
        wait_until(|| cluster.nodes[0].upstream.cancelled() == 1).await;
        wait_until(|| cluster.nodes[0].calls.load().running == 0).await;
        cluster.stop().await;
    });
}

/// A call whose deadline passes while it runs must be cancelled at the upstream and be reported as
/// `unknown`, as it may have had its effect.
#[test]
fn a_deadline_ends_the_call_with_an_unknown_outcome() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let req = post("/counter/wait").header(headers::TIMEOUT_MS, "60");
        let resp = cluster.call(req, "x").await;
        assert_eq!(resp.status(), StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        wait_until(|| cluster.nodes[0].upstream.cancelled() == 1).await;
        assert_eq!(cluster.runs("wait"), 1);
        cluster.stop().await;
    });
}

/// A queued call whose caller disconnects must leave the queue, and not run later.
#[test]
fn a_disconnect_removes_a_queued_call() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, slots: 1, ..Options::default() }).await;
        let address = cluster.nodes[0].hub.settings.listen.caller;
        let first = cluster.call(get("/counter/wait"), "");
        let second = async {
            wait_until(|| cluster.runs("wait") == 1).await;
            let mut caller = TcpStream::connect(address).await.unwrap();
            caller.write_all("GET /counter/echo HTTP/1.1\r\nhost: a\r\n\r\n").await.0.unwrap();
            wait_until(|| cluster.nodes[0].calls.load().queued == 1).await;
            drop(caller);
            wait_until(|| cluster.nodes[0].calls.load().queued == 0).await;
            cluster.nodes[0].upstream.release();
        };
        futures::join!(first, second);
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}

/// A slot lost at a disconnect at any point of a call would add up until the upstream gets no more
/// calls.
#[test]
fn slots_are_released_after_many_disconnects() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, slots: 2, ..Options::default() }).await;
        let address = cluster.nodes[0].hub.settings.listen.caller;
        for _ in 0..40 {
            let mut caller = TcpStream::connect(address).await.unwrap();
            caller.write_all("GET /counter/slow HTTP/1.1\r\nhost: a\r\n\r\n").await.0.unwrap();
            monoio::time::sleep(std::time::Duration::from_millis(1)).await;
            drop(caller);
        }
        wait_until(|| cluster.nodes[0].calls.load().running == 0).await;
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::OK);
        cluster.stop().await;
    });
}

/// A closing node must refuse new calls as `not-run`, and wait for the running ones to be answered
/// whole.
#[test]
fn a_closing_node_refuses_new_calls_and_finishes_running_ones() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let hub = cluster.nodes[0].hub.clone();
        let first = cluster.call(post("/counter/wait"), "whole");
        let drain = async {
            wait_until(|| cluster.runs("wait") == 1).await;
            hub.set_phase(sycamore_node::hub::Phase::Closing);
            let resp = cluster.try_call(0, post("/counter/echo"), "x").await.unwrap();
            assert_eq!(field(&resp, headers::OUTCOME), "not-run");
            assert!(
                hub.wait_until_idle().now_or_never().is_none(),
                "the drain waits for the running call"
            );
            cluster.nodes[0].upstream.release();
            hub.wait_until_idle().await;
        };
        let (resp, ()) = futures::join!(first, drain);
        assert_eq!(&resp.body()[..], b"whole");
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}
