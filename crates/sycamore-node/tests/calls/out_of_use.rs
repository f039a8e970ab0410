//! Data centres that are taken out of use while calls go on.

use super::world::{field, get, run, settle, Cluster, Options};
use http::StatusCode;
use sycamore_types::headers;
use sycamore_types::prelude::*;

fn fact(cluster: &Cluster, revision: u64, is_out: bool) -> Fact {
    let data_centre = cluster.nodes[1].member.data_centre.clone();
    Fact::OutOfUse { data_centre, revision, is_out }
}

/// Guards against calls that a node whose caller hasn't heard yet passes on to an upstream of a data
/// centre that is out of use, and against a refusal that outlasts the return.
#[test]
fn the_node_beside_the_upstream_refuses_although_the_callers_node_does_not_know() {
    run(async {
        let mut cluster = Cluster::start(&Options::default()).await;
        cluster.nodes[0].member.state = MemberState::Dead;
        cluster.publish_members(|_| true);
        settle().await;
        cluster.nodes[1].hub.raise(fact(&cluster, 5, true));
        settle().await;
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(cluster.runs("echo"), 0);
        cluster.nodes[1].hub.raise(fact(&cluster, 6, false));
        settle().await;
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::OK);
        cluster.stop().await;
    });
}

/// Guards against calls that wait for an upstream that they may not have: with every upstream out of
/// use they are refused at once, and an older row changes nothing.
#[test]
fn calls_are_refused_at_once_while_every_upstream_is_out_of_use() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        for node in &cluster.nodes {
            node.hub.raise(fact(&cluster, 5, true));
            node.hub.raise(fact(&cluster, 4, false));
        }
        settle().await;
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(field(&resp, headers::REASON), "no-upstream");
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}
