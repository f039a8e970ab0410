//! The generator draws the same calls for the same seed.

use std::time::Duration;
use sycamore_bench::http;
use sycamore_bench::load::{self, CallKind, Ended, Latencies, Target};

/// Loads an address where nobody listens.
fn load_nobody(seed: u64) -> Vec<(String, usize)> {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = closed.local_addr().expect("a bound address");
    drop(closed);
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

#[test]
fn one_seed_draws_one_load() {
    let first = load_nobody(7);
    assert!(!first.is_empty());
    assert_eq!(first, load_nobody(7));
    assert_ne!(first, load_nobody(8));
}

#[test]
fn latencies_of_any_size_are_kept() {
    let mut latencies = Latencies::default();
    for ms in 1..=100 {
        latencies.add(Duration::from_millis(ms));
    }
    assert_eq!(latencies.count(), 100);
    assert!((latencies.quantile_ms(0.5) - 50.0).abs() < 0.1);
    assert!((latencies.max_ms() - 100.0).abs() < 0.1);
}
