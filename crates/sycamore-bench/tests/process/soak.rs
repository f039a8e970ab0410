//! Short run of the fault soak on fixed seeds. Longer runs on new seeds are started by hand.

use crate::support::fleet_permit;
use std::time::Duration;
use sycamore_bench::{http, soak};

/// Time within which the faults begin and end.
const TIME: Duration = Duration::from_secs(8);
/// Longest time that the run of one seed may take.
const LIMIT: Duration = Duration::from_secs(120);

/// Guards against violations of invariants that only overlapping faults cause.
#[test]
fn invariants_hold_under_overlapping_faults() {
    for seed in [12, 101] {
        let _permit = fleet_permit();
        let _limit = sycamore_bench::fleet::guard::limit_run(LIMIT);
        let outcome = http::run(soak::play(seed, TIME)).expect("the soak runs to its end");
        assert!(outcome.violations.is_empty(), "seed {seed}: {outcome:#?}");
    }
}
