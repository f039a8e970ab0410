//! Requests that crash upstreams.

use super::world::{field, post, run, until, Options, World};
use http::StatusCode;
use sycamore_types::headers;
use sycamore_types::prelude::*;

fn quarantined(world: &World) -> bool {
    let known = world.nodes[0].hub.facts.known();
    known.values().any(|fact| matches!(fact, Fact::Quarantined { .. }))
}

/// Tells every node what any of them knows.
fn spread(world: &World) {
    for from in &world.nodes {
        for fact in from.hub.facts.known().values() {
            for to in &world.nodes {
                to.hub.facts.learn(fact.clone());
            }
        }
    }
}

#[test]
fn a_stopped_node_raises_nothing_more() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let resp = world.call(post("/counter/crash"), "poison").await;
        assert_eq!(field(&resp, headers::REASON), "crashed");
        let hub = world.nodes[0].hub.clone();
        world.stop().await;
        let known = hub.facts.known().len();
        // Longer than a crash is looked into.
        monoio::time::sleep(std::time::Duration::from_millis(250)).await;
        assert_eq!(hub.facts.known().len(), known);
    });
}

#[test]
fn a_request_is_quarantined_after_its_second_crash() {
    run(async {
        let world = World::start(&Options { nodes: 3, ..Options::default() }).await;
        for crashes in 1..=2 {
            let resp = world.call(post("/counter/crash"), "poison").await;
            assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
            assert_eq!(field(&resp, headers::OUTCOME), "unknown");
            assert_eq!(field(&resp, headers::REASON), "crashed");
            let named = |fact: &Fact| matches!(fact, Fact::CrashSeen { .. });
            until(|| {
                spread(&world);
                world.nodes[0].hub.facts.known().values().filter(|fact| named(fact)).count()
                    == crashes
            })
            .await;
        }
        until(|| quarantined(&world)).await;
        for node in 0..3 {
            let resp = world.try_call(node, post("/counter/crash"), "poison").await.unwrap();
            assert_eq!(resp.status(), StatusCode::TOO_MANY_REQUESTS);
            assert_eq!(field(&resp, headers::REASON), "quarantined");
            assert_ne!(field(&resp, "retry-after"), "");
        }
        assert_eq!(world.runs("crash"), 2);
        let resp = world.call(post("/counter/echo"), "innocent").await;
        assert_eq!(resp.status(), StatusCode::OK);
        world.stop().await;
    });
}
