//! Upstreams that are cold, of a service that states the rate which they take meanwhile.

use super::world::{get, run, settle, Cluster, Options};
use http::StatusCode;
use std::time::{Duration, Instant};
use sycamore_types::prelude::*;

/// Rate of a cold upstream in these tests, in calls per second.
const RATE: f64 = 10.0;

/// Puts a configuration into force at every node in which cold upstreams take [`RATE`].
fn state_rate(cluster: &Cluster) {
    for node in &cluster.nodes {
        let mut snapshot = (**node.hub.snapshot.borrow()).clone();
        let service = snapshot.services.values_mut().next().unwrap();
        service.warm_up = Some(RateLimit::new(RATE).unwrap());
        node.hub.publish_snapshot(snapshot);
    }
}

/// Lets the upstream of the node with this index be cold for `time`, as it announces.
fn turn_cold(cluster: &Cluster, node: usize, time: Duration) {
    let hub = &cluster.nodes[node].hub;
    let warm_at = hub.clock.now() + time;
    hub.upstream.send_modify(|upstream| upstream.as_mut().unwrap().warm_at = warm_at);
}

/// Sends calls one after the other for `time`; returns the number of those that failed.
async fn send_calls(cluster: &Cluster, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut failed = 0;
    while Instant::now() < end {
        let resp = cluster.call(get("/counter/echo"), "").await;
        failed += usize::from(resp.status() != StatusCode::OK);
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
    failed
}

/// Guards against a cold upstream that gets its usual load since it announced itself before its node
/// had the configuration with the rate, and against calls that fail while another one is warm.
#[test]
fn a_cold_upstream_is_paced_whether_it_or_the_configuration_comes_first() {
    for configuration_first in [true, false] {
        run(async {
            let cluster = Cluster::start(&Options::default()).await;
            if configuration_first {
                state_rate(&cluster);
                settle().await;
            }
            turn_cold(&cluster, 1, Duration::from_secs(60));
            settle().await;
            state_rate(&cluster);
            settle().await;
            let failed = send_calls(&cluster, Duration::from_secs(1)).await;
            let runs = cluster.nodes[1].upstream.runs("echo");
            assert!(runs as f64 <= 1.1 * RATE + 2.0, "{runs} calls in a second of {RATE}");
            assert_eq!(failed, 0);
            cluster.stop().await;
        });
    }
}
