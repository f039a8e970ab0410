//! Quarantine of requests that crash upstreams.

use super::world::{field, post, run, wait_until, Cluster, Options};
use http::StatusCode;
use sycamore_types::headers;
use sycamore_types::prelude::*;

fn quarantined(cluster: &Cluster) -> bool {
    let known = cluster.nodes[0].hub.facts.known();
    known.values().any(|fact| matches!(fact, Fact::Quarantined { .. }))
}

/// Spreads the facts known to any node to all nodes.
fn spread(cluster: &Cluster) {
    for from in &cluster.nodes {
        for fact in from.hub.facts.known().values() {
            for to in &cluster.nodes {
                to.hub.facts.learn(fact.clone());
            }
        }
    }
}

/// The task that raises a crash's facts waits for a moment first: it must not outlive the stop of
/// the node and raise them afterwards.
#[test]
fn a_stopped_node_raises_no_facts() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let resp = cluster.call(post("/counter/crash"), "poison").await;
        assert_eq!(field(&resp, headers::REASON), "crashed");
        let hub = cluster.nodes[0].hub.clone();
        cluster.stop().await;
        let known = hub.facts.known().len();
        // Longer than the handling of a crash takes.
        monoio::time::sleep(std::time::Duration::from_millis(250)).await;
        assert_eq!(hub.facts.known().len(), known);
    });
}

/// A request that crashes each upstream it runs on would take the service down one instance after
/// the other: after two crashes every node must refuse it, while other requests still run.
#[test]
fn a_request_is_quarantined_after_its_second_crash() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 3, ..Options::default() }).await;
        for crashes in 1..=2 {
            let resp = cluster.call(post("/counter/crash"), "poison").await;
            assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
            assert_eq!(field(&resp, headers::OUTCOME), "unknown");
            assert_eq!(field(&resp, headers::REASON), "crashed");
            let named = |fact: &Fact| matches!(fact, Fact::CrashSeen { .. });
            wait_until(|| {
                spread(&cluster);
                cluster.nodes[0].hub.facts.known().values().filter(|fact| named(fact)).count()
                    == crashes
            })
            .await;
        }
        wait_until(|| quarantined(&cluster)).await;
        for node in 0..3 {
            let resp = cluster.try_call(node, post("/counter/crash"), "poison").await.unwrap();
            assert_eq!(resp.status(), StatusCode::TOO_MANY_REQUESTS);
            assert_eq!(field(&resp, headers::REASON), "quarantined");
            assert_ne!(field(&resp, "retry-after"), "");
        }
        assert_eq!(cluster.runs("crash"), 2);
        let resp = cluster.call(post("/counter/echo"), "innocent").await;
        assert_eq!(resp.status(), StatusCode::OK);
        cluster.stop().await;
    });
}
