//! Relaying of requests and answers: bodies arrive whole, header fields are kept, added or removed.

use super::world::{field, get, post, run, wait_until, Cluster, Options};
use http::StatusCode;
use sycamore_types::headers;

/// Calls through one node must be spread over both upstreams, each with its own answer.
#[test]
fn calls_are_relayed_to_every_upstream_and_answered() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        for i in 0..20 {
            let body = format!("intake {i}");
            let resp = cluster.call(post("/counter/echo"), &body).await;
            assert_eq!(resp.status(), StatusCode::OK);
            assert_eq!(resp.body(), body.as_bytes());
        }
        assert_eq!(cluster.runs("echo"), 20);
        assert!(
            cluster.nodes.iter().all(|node| node.upstream.runs("echo") > 0),
            "both upstreams get calls"
        );
        cluster.stop().await;
    });
}

/// A body of 6 MiB is streamed in pieces in both directions: none may be lost, repeated or
/// reordered.
#[test]
fn large_bodies_arrive_whole_in_both_directions() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        let photo = "0123456789abcdef".repeat(6 << 16);
        let resp = cluster.call(post("/counter/photo"), &photo).await;
        assert_eq!(resp.status(), StatusCode::OK);
        assert!(resp.body() == photo.as_bytes(), "{} of {}", resp.body().len(), photo.len());
        cluster.stop().await;
    });
}

/// Chunk extensions and trailers of an answer must not end up in its body or header.
#[test]
fn chunked_answers_arrive_whole_without_extensions_and_trailers() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        for _ in 0..3 {
            let resp = cluster.call(get("/counter/chunks"), "").await;
            assert_eq!(&resp.body()[..], b"hello");
            assert_eq!(field(&resp, "a"), "");
        }
        cluster.stop().await;
    });
}

/// Relayed hop-by-hop fields would apply to the wrong connection; internal fields set by a caller
/// could change the call's depth, and those that nodes set for each other must not reach callers or
/// upstreams.
#[test]
fn hop_by_hop_and_internal_fields_are_not_relayed() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let req = get("/counter/hop")
            .header("connection", "x-mine")
            .header("x-mine", "1")
            .header("x-shift-hops", "3")
            .header("x-kept", "1");
        let resp = cluster.call(req, "").await;
        assert_eq!(field(&resp, "x-one"), "");
        assert!(resp.headers().keys().all(|name| !name.as_str().starts_with("x-shift-")));
        let seen = |name| cluster.nodes[0].upstream.last_field(name);
        assert_eq!(seen("x-mine"), None);
        assert_eq!(seen("x-kept").as_deref(), Some("1"));
        assert_eq!(seen(headers::HOPS).as_deref(), Some("1"), "a caller can't set the depth");
        assert_eq!(seen(headers::ROUTE), None);
        cluster.stop().await;
    });
}

/// An upstream that got the caller's whole timeout would run on after the caller has given up.
#[test]
fn the_upstream_gets_the_time_left_of_the_timeout() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        cluster.call(get("/counter/echo").header(headers::TIMEOUT_MS, "700"), "").await;
        let left = cluster.nodes[0].upstream.last_field(headers::TIMEOUT_MS).unwrap();
        let left: u64 = left.parse().unwrap();
        assert!(left < 700 && left > 0, "{left}");
        cluster.stop().await;
    });
}

/// An announcement must replace the known upstream, a malformed one must be refused with 400, and a
/// drain must mark the upstream as draining and return the running calls.
#[test]
fn announcements_and_drain_requests_update_the_upstream() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let node = &cluster.nodes[0];
        let config = sycamore_http::ClientConfig::default();
        let to_node = sycamore_http::Client::new(node.hub.settings.listen.upstream, config);
        let body = format!(
            r#"{{"version":"2.0.0","address":"{}","slots":7,"connections":9,"cold_ms":5}}"#,
            node.upstream.address()
        );
        let req = post("/shift/announce").body(body.into()).unwrap();
        assert_eq!(to_node.send(req).await.unwrap().status(), StatusCode::OK);
        let known = node.hub.upstream.borrow().clone().unwrap();
        assert_eq!((known.slots, known.version.as_str(), known.draining), (7, "2.0.0", false));
        let req = post("/shift/announce").body("{}".into()).unwrap();
        assert_eq!(to_node.send(req).await.unwrap().status(), StatusCode::BAD_REQUEST);
        let req = post("/shift/drain").body("".into()).unwrap();
        let resp = to_node.send(req).await.unwrap();
        assert_eq!(&resp.body()[..], br#"{"in_flight":0}"#);
        assert!(node.hub.upstream.borrow().as_ref().unwrap().draining);
        cluster.stop().await;
    });
}

/// More calls than slots at once must not exceed the announced concurrency; refused ones must not
/// run.
#[test]
fn an_upstream_never_runs_more_calls_than_its_slots() {
    run(async {
        let options = Options { nodes: 1, slots: 3, ..Options::default() };
        let cluster = Cluster::start(&options).await;
        let calls = (0..12).map(|_| cluster.call(get("/counter/slow"), ""));
        let answers = futures::future::join_all(calls).await;
        let ok = answers.iter().filter(|resp| resp.status() == StatusCode::OK).count();
        assert_eq!(cluster.nodes[0].upstream.most_running(), 3);
        assert_eq!(cluster.runs("slow"), ok, "refused calls have not run");
        wait_until(|| cluster.nodes[0].calls.load().running == 0).await;
        cluster.stop().await;
    });
}

/// Callers are told of a limit in bytes alone: a call with many small fields must not be refused,
/// at the node that takes it or at the one that it is relayed to.
#[test]
fn calls_with_many_fields_are_relayed() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        for _ in 0..10 {
            let fields = (0..200).map(|i| format!("x-field-{i}"));
            let req = fields.fold(get("/counter/echo"), |req, name| req.header(name, "1"));
            assert_eq!(cluster.call(req, "").await.status(), StatusCode::OK);
        }
        assert!(
            cluster.nodes.iter().all(|node| node.upstream.runs("echo") > 0),
            "one is relayed to"
        );
        cluster.stop().await;
    });
}
