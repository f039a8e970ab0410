//! Reproducibility of the load generator, and the latencies it records.

use std::time::Duration;
use sycamore_bench::http;
use sycamore_bench::load::{self, CallKind, Ended, Latencies, Target};

/// Generates a load on a closed port and returns each call's token and kind, sorted.
fn calls_to_a_closed_port(seed: u64) -> Vec<(String, usize)> {
    let addr = sycamore_testing::unused_addr();
    let options = load::Options {
        seed,
        rate: 500.0,
        time: Duration::from_millis(400),
        targets: vec![Target { prefix: "/".into(), addrs: vec![addr] }],
        kinds: vec![CallKind::lookup("counter"), CallKind::booking("counter")],
        ..load::Options::default()
    };
    let tally = http::run(load::run(&options));
    assert_eq!(tally.count(Ended::NotConnected), tally.records().len());
    let mut calls: Vec<(String, usize)> =
        tally.records().iter().map(|record| (record.token.clone(), record.kind)).collect();
    calls.sort();
    calls
}

/// Guards against runs that can't be repeated, or that don't differ between seeds.
#[test]
fn the_seed_determines_the_calls() {
    let first = calls_to_a_closed_port(7);
    assert!(!first.is_empty());
    assert_eq!(first, calls_to_a_closed_port(7));
    assert_ne!(first, calls_to_a_closed_port(8));
}

#[test]
fn median_and_maximum_match_the_recorded_latencies() {
    let mut latencies = Latencies::default();
    for ms in 1..=100 {
        latencies.add(Duration::from_millis(ms));
    }
    assert_eq!(latencies.count(), 100);
    assert!((latencies.quantile_ms(0.5) - 50.0).abs() < 0.1);
    assert!((latencies.max_ms() - 100.0).abs() < 0.1);
}
