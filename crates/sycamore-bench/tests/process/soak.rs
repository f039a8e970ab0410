//! A short run of the fault soak. Longer ones, with fresh seeds, are run by hand.

use crate::support::turn;
use std::time::Duration;
use sycamore_bench::{http, soak};

/// Seconds in which faults begin.
const TIME: Duration = Duration::from_secs(8);
/// Longest time that a seed may take.
const LIMIT: Duration = Duration::from_secs(120);

#[test]
fn promises_hold_under_overlapping_faults() {
    for seed in [12, 101] {
        let _turn = turn();
        let _limit = sycamore_bench::fleet::guard::limit_run(LIMIT);
        let outcome = http::run(soak::play(seed, TIME)).expect("the soak can be played");
        assert!(outcome.breaches.is_empty(), "seed {seed}: {outcome:#?}");
    }
}
