//! Metrics of the call path.

use super::world::{get, run, Cluster, Options};
use http::StatusCode;
use prometheus::{Encoder, TextEncoder};

fn page(cluster: &Cluster, node: usize) -> String {
    let mut text = Vec::new();
    let families = cluster.nodes[node].hub.registry.gather();
    TextEncoder::new().encode(&families, &mut text).unwrap();
    String::from_utf8(text).unwrap()
}

fn value(page: &str, series: &str) -> f64 {
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
