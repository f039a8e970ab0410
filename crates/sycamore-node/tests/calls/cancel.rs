//! Callers that leave and deadlines that pass reach the upstream.

use super::world::{field, get, post, run, until, Options, World};
use futures::FutureExt;
use http::StatusCode;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use sycamore_types::headers;

#[test]
fn a_caller_that_leaves_cancels_its_call_at_the_upstream() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let address = world.nodes[0].hub.settings.listen.caller;
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.write_all("GET /counter/wait HTTP/1.1\r\nhost: a\r\n\r\n").await.0.unwrap();
        until(|| world.runs("wait") == 1).await;
        drop(caller);
        until(|| world.nodes[0].upstream.cancelled() == 1).await;
        until(|| world.nodes[0].calls.load().running == 0).await;
        world.stop().await;
    });
}

#[test]
fn a_deadline_ends_the_call_with_an_unknown_outcome() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let req = post("/counter/wait").header(headers::TIMEOUT_MS, "60");
        let resp = world.call(req, "x").await;
        assert_eq!(resp.status(), StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        until(|| world.nodes[0].upstream.cancelled() == 1).await;
        assert_eq!(world.runs("wait"), 1);
        world.stop().await;
    });
}

#[test]
fn a_wait_that_its_caller_leaves_frees_its_place() {
    run(async {
        let world = World::start(&Options { nodes: 1, slots: 1, ..Options::default() }).await;
        let address = world.nodes[0].hub.settings.listen.caller;
        let first = world.call(get("/counter/wait"), "");
        let second = async {
            until(|| world.runs("wait") == 1).await;
            let mut caller = TcpStream::connect(address).await.unwrap();
            caller.write_all("GET /counter/echo HTTP/1.1\r\nhost: a\r\n\r\n").await.0.unwrap();
            until(|| world.nodes[0].calls.load().queued == 1).await;
            drop(caller);
            until(|| world.nodes[0].calls.load().queued == 0).await;
            world.nodes[0].upstream.release();
        };
        futures::join!(first, second);
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}

#[test]
fn slots_come_back_when_callers_come_and_go() {
    run(async {
        let world = World::start(&Options { nodes: 1, slots: 2, ..Options::default() }).await;
        let address = world.nodes[0].hub.settings.listen.caller;
        for _ in 0..40 {
            let mut caller = TcpStream::connect(address).await.unwrap();
            caller.write_all("GET /counter/slow HTTP/1.1\r\nhost: a\r\n\r\n").await.0.unwrap();
            monoio::time::sleep(std::time::Duration::from_millis(1)).await;
            drop(caller);
        }
        until(|| world.nodes[0].calls.load().running == 0).await;
        let resp = world.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::OK);
        world.stop().await;
    });
}

#[test]
fn a_drain_of_the_node_takes_nothing_new_and_cuts_nothing() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let hub = world.nodes[0].hub.clone();
        let first = world.call(post("/counter/wait"), "whole");
        let drain = async {
            until(|| world.runs("wait") == 1).await;
            hub.set_phase(sycamore_node::hub::Phase::Closing);
            let resp = world.try_call(0, post("/counter/echo"), "x").await.unwrap();
            assert_eq!(field(&resp, headers::OUTCOME), "not-run");
            assert!(hub.idle().now_or_never().is_none(), "the drain waits for it");
            world.nodes[0].upstream.release();
            hub.idle().await;
        };
        let (resp, ()) = futures::join!(first, drain);
        assert_eq!(&resp.body()[..], b"whole");
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}
