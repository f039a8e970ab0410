//! Tests of the backoff delays and of one node's share of the fleet's request budget.

use quickcheck::quickcheck;
use std::time::Duration;
use sycamore_platform::backoff::{Backoff, BackoffSettings};
use sycamore_platform::budget::{Budget, BudgetSettings};
use sycamore_types::prelude::*;

// Guards against a node that reads faster than its share of the fleet's rate, which would exceed
// the platform's limits once all nodes do so.
#[test]
fn node_reads_no_more_than_its_share() {
    let settings = BudgetSettings { reads_per_s: 100.0, writes_per_s: 10.0, burst: 2.0 };
    let mut budget = Budget::new(settings, 10, Time::default());
    let allowed = (0..10_000).filter(|ms| budget.read(Time::from_millis(*ms)).is_ok()).count();
    assert!((101..=102).contains(&allowed), "{allowed} reads in 10 s at 10 a second and burst 2");
}

// Guards against a wrong wait time when the share is spent, also after the number of nodes changed.
#[test]
fn spent_budget_returns_the_time_to_wait() {
    let settings = BudgetSettings { reads_per_s: 10.0, writes_per_s: 10.0, burst: 1.0 };
    let mut budget = Budget::new(settings, 10, Time::default());
    assert_eq!(budget.write(Time::default()), Ok(()));
    assert_eq!(budget.write(Time::default()), Err(Duration::from_secs(1)));
    budget.set_nodes(1, Time::default());
    assert_eq!(budget.write(Time::default()), Err(Duration::from_millis(100)));
}

quickcheck! {
    // Guards against a delay above its bound, or an overflow, after many consecutive failures.
    fn backoff_delay_stays_under_its_bound(seed: u64, failures: u8) -> bool {
        let settings = BackoffSettings::default();
        let mut backoff = Backoff::new(settings.clone(), seed);
        (0..failures).all(|i| {
            let bound = settings.base.saturating_mul(1 << u32::from(i).min(16));
            backoff.record_failure() <= bound.min(settings.cap)
        })
    }
}
