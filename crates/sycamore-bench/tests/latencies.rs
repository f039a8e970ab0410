//! Quantiles and maximum of recorded latencies.

use std::time::Duration;
use sycamore_bench::load::Latencies;

#[test]
fn quantiles_match_the_recorded_latencies() {
    let mut latencies = Latencies::default();
    (1..=100).for_each(|millis| latencies.add(Duration::from_millis(millis)));
    assert_eq!(latencies.count(), 100);
    assert!((latencies.quantile_ms(0.5) - 50.0).abs() < 0.1, "{}", latencies.quantile_ms(0.5));
    assert!((latencies.quantile_ms(0.99) - 99.0).abs() < 0.1);
    assert!((latencies.max_ms() - 100.0).abs() < 0.1);
}
