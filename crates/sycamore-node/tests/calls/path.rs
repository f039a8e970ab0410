//! Requests and answers arrive whole, at the right place, with the right fields.

use super::world::{field, get, post, run, until, Options, World};
use http::StatusCode;
use sycamore_types::headers;

#[test]
fn a_call_goes_through_and_back() {
    run(async {
        let world = World::start(&Options::default()).await;
        for i in 0..20 {
            let body = format!("intake {i}");
            let resp = world.call(post("/counter/echo"), &body).await;
            assert_eq!(resp.status(), StatusCode::OK);
            assert_eq!(resp.body(), body.as_bytes());
        }
        assert_eq!(world.runs("echo"), 20);
        assert!(world.nodes.iter().all(|node| node.upstream.runs("echo") > 0), "both are used");
        world.stop().await;
    });
}

#[test]
fn photos_arrive_whole_both_ways() {
    run(async {
        let world = World::start(&Options::default()).await;
        let photo = "0123456789abcdef".repeat(6 << 16);
        let resp = world.call(post("/counter/photo"), &photo).await;
        assert_eq!(resp.status(), StatusCode::OK);
        assert!(resp.body() == photo.as_bytes(), "{} of {}", resp.body().len(), photo.len());
        world.stop().await;
    });
}

#[test]
fn chunked_answers_arrive_whole_without_extensions_and_trailers() {
    run(async {
        let world = World::start(&Options::default()).await;
        for _ in 0..3 {
            let resp = world.call(get("/counter/chunks"), "").await;
            assert_eq!(&resp.body()[..], b"hello");
            assert_eq!(field(&resp, "a"), "");
        }
        world.stop().await;
    });
}

#[test]
fn fields_of_one_connection_and_of_nodes_stay_where_they_are() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let req = get("/counter/hop")
            .header("connection", "x-mine")
            .header("x-mine", "1")
            .header("x-shift-hops", "3")
            .header("x-kept", "1");
        let resp = world.call(req, "").await;
        assert_eq!(field(&resp, "x-one"), "");
        assert!(resp.headers().keys().all(|name| !name.as_str().starts_with("x-shift-")));
        let seen = |name| world.nodes[0].upstream.last_field(name);
        assert_eq!(seen("x-mine"), None);
        assert_eq!(seen("x-kept").as_deref(), Some("1"));
        assert_eq!(seen(headers::HOPS).as_deref(), Some("1"), "a caller can't set the depth");
        assert_eq!(seen(headers::ROUTE), None);
        world.stop().await;
    });
}

#[test]
fn deadlines_shrink_on_the_way() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        world.call(get("/counter/echo").header(headers::TIMEOUT_MS, "700"), "").await;
        let left = world.nodes[0].upstream.last_field(headers::TIMEOUT_MS).unwrap();
        let left: u64 = left.parse().unwrap();
        assert!(left < 700 && left > 0, "{left}");
        world.stop().await;
    });
}

#[test]
fn the_upstream_announces_itself_and_drains() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let node = &world.nodes[0];
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
        world.stop().await;
    });
}

#[test]
fn slots_are_never_overrun() {
    run(async {
        let options = Options { nodes: 1, slots: 3, ..Options::default() };
        let world = World::start(&options).await;
        let calls = (0..12).map(|_| world.call(get("/counter/slow"), ""));
        let answers = futures::future::join_all(calls).await;
        let ok = answers.iter().filter(|resp| resp.status() == StatusCode::OK).count();
        assert_eq!(world.nodes[0].upstream.most_running(), 3);
        assert_eq!(world.runs("slow"), ok, "what was refused has not run");
        until(|| world.nodes[0].calls.load().running == 0).await;
        world.stop().await;
    });
}
