//! Metrics of the call path.

use super::world::{get, run, Cluster, Options};
use http::StatusCode;
use prometheus::{Encoder, TextEncoder};

pub fn page(cluster: &Cluster, node: usize) -> String {
    let mut text = Vec::new();
    let families = cluster.nodes[node].hub.registry.gather();
    TextEncoder::new().encode(&families, &mut text).unwrap();
    String::from_utf8(text).unwrap()
}

pub fn value(page: &str, series: &str) -> f64 {
    let line = page.lines().find_map(|line| line.strip_prefix(series)?.strip_prefix(' '));
    line.map_or(0.0, |value| value.parse().unwrap())
}

/// Each call must be counted once in the metrics of total, waiting and running time.
#[test]
fn each_call_is_timed_by_its_route_its_wait_and_its_run() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        for _ in 0..5 {
            assert_eq!(cluster.call(get("/counter/echo"), "").await.status(), StatusCode::OK);
        }
        let page = page(&cluster, 0);
        for series in [
            "sycamoreshift_call_seconds_count{route=\"counter\"}",
            "sycamoreshift_call_wait_seconds_count",
            "sycamoreshift_call_run_seconds_count{end=\"ok\"}",
            "sycamoreshift_call_first_attempts_total",
        ] {
            assert_eq!(value(&page, series), 5.0, "{series} in {page}");
        }
        cluster.stop().await;
    });
}

/// Calls that an upstream doesn't answer must show in the metrics of runs and of failed attempts.
#[test]
fn calls_without_an_answer_are_counted_as_broken_runs() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let resp = cluster.call(get("/counter/close"), "").await;
        assert_eq!(resp.status(), StatusCode::BAD_GATEWAY, "{resp:?}");
        let page = page(&cluster, 0);
        assert!(value(&page, "sycamoreshift_call_run_seconds_count{end=\"broken\"}") >= 1.0);
        assert!(
            value(&page, "sycamoreshift_call_attempt_failures_total{failure=\"unknown\"}") >= 1.0
        );
        cluster.stop().await;
    });
}

/// What an upstream says of its own limit must show in the metrics of its node, and a value that
/// can't be read must show as such and change nothing.
#[test]
fn the_rate_limit_of_an_upstream_shows_in_its_nodes_metrics() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let call_with = async |fields: &str| {
            cluster.nodes[0].upstream.set_fields(fields);
            cluster.call(get("/counter/echo"), "").await;
            page(&cluster, 0)
        };
        let limit = "sycamoreshift_upstream_rate_limit";
        assert_eq!(value(&page(&cluster, 0), limit), f64::INFINITY, "before the first answer");
        let malformed = "sycamoreshift_upstream_rate_limit_malformed_total";
        assert_eq!(value(&call_with("").await, limit), f64::INFINITY);
        assert_eq!(value(&call_with("shift-rate-limit: 900.5\r\n").await, limit), 900.5);
        let page = call_with("shift-rate-limit: -1\r\n").await;
        assert_eq!((value(&page, limit), value(&page, malformed)), (900.5, 1.0));
        let twice = "shift-rate-limit: 9000\r\nshift-rate-limit: 9000\r\n";
        let page = call_with(twice).await;
        assert_eq!((value(&page, limit), value(&page, malformed)), (900.5, 2.0));
        let page = call_with("").await;
        assert_eq!(value(&page, limit), f64::INFINITY);
        assert_eq!(value(&page, "sycamoreshift_upstream_calls_total{kind=\"first\"}"), 5.0);
        cluster.stop().await;
    });
}
