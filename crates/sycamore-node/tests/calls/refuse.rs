//! Refusals say why, when to come back, and that nothing ran.

use super::world::{field, get, post, run, service, settle, until, version, Options, World};
use http::StatusCode;
use monoio::io::{AsyncWriteRentExt, Splitable};
use std::time::Duration;
use sycamore_http::conn::Reader;
use sycamore_http::HeadLimits;
use sycamore_settings::calls::Calls as CallSettings;
use sycamore_types::headers;
use sycamore_types::prelude::*;

#[track_caller]
fn assert_refused(resp: &http::Response<bytes::Bytes>, status: u16, reason: &str) {
    assert_eq!(resp.status().as_u16(), status, "{resp:?}");
    assert_eq!(field(resp, headers::OUTCOME), "not-run");
    assert_eq!(field(resp, headers::REASON), reason);
}

#[test]
fn an_unknown_path_is_refused() {
    run(async {
        let world = World::start(&Options::default()).await;
        let resp = world.call(get("/nowhere"), "").await;
        assert_refused(&resp, 404, "no-route");
        world.stop().await;
    });
}

#[test]
fn a_full_upstream_refuses_at_once_and_says_when_to_come_back() {
    run(async {
        let limits = Limits { queue: 0, ..Limits::default() };
        let world =
            World::start(&Options { nodes: 1, slots: 1, limits, ..Options::default() }).await;
        settle().await;
        let first = world.call(get("/counter/wait"), "");
        let second = async {
            until(|| world.runs("wait") == 1).await;
            let resp = world.try_call(0, get("/counter/echo"), "").await.unwrap();
            assert_refused(&resp, 503, "overloaded");
            assert_eq!(field(&resp, "retry-after"), "1");
            assert_eq!(world.runs("echo"), 0);
            world.nodes[0].upstream.release();
        };
        let (resp, ()) = futures::join!(first, second);
        assert_eq!(resp.status(), StatusCode::OK);
        world.stop().await;
    });
}

#[test]
fn a_wait_that_is_too_long_ends_in_a_refusal() {
    run(async {
        let limits = Limits { queue_time: Duration::from_millis(30), ..Limits::default() };
        let world =
            World::start(&Options { nodes: 1, slots: 1, limits, ..Options::default() }).await;
        settle().await;
        let first = world.call(get("/counter/wait"), "");
        let second = async {
            until(|| world.runs("wait") == 1).await;
            let resp = world.try_call(0, post("/counter/echo"), "x").await.unwrap();
            assert_refused(&resp, 503, "overloaded");
            world.nodes[0].upstream.release();
        };
        futures::join!(first, second);
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}

#[test]
fn a_draining_upstream_takes_nothing_and_its_calls_go_elsewhere() {
    run(async {
        let world = World::start(&Options::default()).await;
        settle().await;
        world.nodes[0].hub.upstream.send_modify(|up| up.as_mut().unwrap().draining = true);
        for _ in 0..10 {
            let resp = world.call(post("/counter/echo"), "x").await;
            assert_eq!(resp.status(), StatusCode::OK);
        }
        assert_eq!(world.nodes[0].upstream.runs("echo"), 0);
        world.nodes[1].hub.upstream.send_modify(|up| up.as_mut().unwrap().draining = true);
        let resp = world.call(post("/counter/echo"), "x").await;
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(world.runs("echo"), 10);
        world.stop().await;
    });
}

#[test]
fn a_bad_version_takes_nothing_from_the_moment_its_node_knows() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        settle().await;
        world.nodes[0].hub.raise(Fact::BadVersion {
            service: service(),
            version: version("1.0.0"),
            by: MoveId::new("m-1").unwrap(),
            reason: "fails".into(),
            at: Stamp::default(),
        });
        settle().await;
        let resp = world.call(get("/counter/echo"), "").await;
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}

#[test]
fn an_unproven_version_without_a_share_takes_nothing() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let by = Some(MoveId::new("m-1").unwrap());
        world.publish_shares(&[
            VersionShare { version: version("0.9.0"), share: Share::ALL, by: None },
            VersionShare { version: version("1.0.0"), share: Share::NONE, by },
        ]);
        settle().await;
        let resp = world.call(get("/counter/echo"), "").await;
        assert_refused(&resp, 503, "no-upstream");
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}

#[test]
fn a_dead_upstream_is_a_refusal_since_nothing_was_sent() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        settle().await;
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        world.nodes[0].hub.upstream.send_modify(|up| up.as_mut().unwrap().address = free);
        let resp = world.call(post("/counter/echo"), "x").await;
        assert_refused(&resp, 503, "no-upstream");
        world.stop().await;
    });
}

#[test]
fn bodies_over_the_limit_are_refused_before_they_are_read() {
    run(async {
        let limits = Limits { body_bytes: 100, ..Limits::default() };
        let world = World::start(&Options { nodes: 1, limits, ..Options::default() }).await;
        let resp = world.call(post("/counter/echo"), &"x".repeat(101)).await;
        assert_refused(&resp, 413, "body-too-large");
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}

#[test]
fn loops_end_at_the_hop_limit() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let node = &world.nodes[0];
        let limit = node.hub.settings.calls.hop_limit;
        let config = sycamore_http::ClientConfig::default();
        let onward = sycamore_http::Client::new(node.hub.settings.listen.upstream, config);
        for (level, status) in [(limit - 1, 200), (limit, 503)] {
            let req = get("/counter/echo").header(headers::HOPS, level.to_string());
            let resp = onward.send(req.body("".into()).unwrap()).await.unwrap();
            assert_eq!(resp.status().as_u16(), status);
        }
        assert_eq!(world.runs("echo"), 1);
        world.stop().await;
    });
}

#[test]
fn another_deployment_is_refused() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let config = sycamore_http::ClientConfig::default();
        let relay = sycamore_http::Client::new(world.nodes[0].hub.settings.listen.relay, config);
        let req = get("/counter/echo").header(headers::DEPLOYMENT, "other");
        let resp = relay.send(req.body("".into()).unwrap()).await.unwrap();
        assert_eq!(resp.status(), StatusCode::FORBIDDEN);
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}

#[test]
fn connections_of_one_address_are_bounded_by_the_setting() {
    run(async {
        let calls = CallSettings { connections_per_address: 3, ..CallSettings::default() };
        let world = World::start(&Options { nodes: 1, calls, ..Options::default() }).await;
        let caller = world.nodes[0].hub.settings.listen.caller;
        let open = || async {
            let stream = monoio::net::TcpStream::connect(caller).await.unwrap();
            let (read, mut write) = stream.into_split();
            let request = "GET /counter/echo HTTP/1.1\r\nhost: a\r\n\r\n";
            let (sent, _) = write.write_all(request.as_bytes().to_vec()).await;
            let mut reader = Reader::new(read);
            let answered = sent.is_ok() && reader.response_head(&HeadLimits::DEFAULT).await.is_ok();
            (answered, reader, write)
        };
        let mut kept = Vec::new();
        for _ in 0..3 {
            kept.push(open().await);
        }
        assert!(kept.iter().all(|(answered, ..)| *answered), "three are allowed");
        assert!(!open().await.0, "a fourth is not");
        drop(kept.pop());
        let again = || async { open().await.0 };
        let begun = std::time::Instant::now();
        while !again().await {
            assert!(begun.elapsed() < Duration::from_secs(5), "room comes back with a close");
        }
        world.stop().await;
    });
}
