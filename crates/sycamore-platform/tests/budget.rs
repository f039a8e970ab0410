//! Backoff and the fleet's budget.

use quickcheck::quickcheck;
use std::time::Duration;
use sycamore_platform::backoff::{Backoff, BackoffSettings};
use sycamore_platform::budget::{Budget, BudgetSettings};
use sycamore_types::prelude::*;

#[test]
fn a_node_reads_no_more_than_its_share() {
    let settings = BudgetSettings { reads_per_s: 100.0, writes_per_s: 10.0, burst: 2.0 };
    let mut budget = Budget::new(settings, 10, Time::default());
    let allowed = (0..10_000).filter(|ms| budget.read(Time::from_millis(*ms)).is_ok()).count();
    assert!((101..=102).contains(&allowed), "{allowed} reads in 10 s at 10 a second and burst 2");
}

#[test]
fn the_time_to_wait_is_told() {
    let settings = BudgetSettings { reads_per_s: 10.0, writes_per_s: 10.0, burst: 1.0 };
    let mut budget = Budget::new(settings, 10, Time::default());
    assert_eq!(budget.write(Time::default()), Ok(()));
    assert_eq!(budget.write(Time::default()), Err(Duration::from_secs(1)));
    budget.set_nodes(1, Time::default());
    assert_eq!(budget.write(Time::default()), Err(Duration::from_millis(100)));
}

quickcheck! {
    fn a_delay_stays_under_its_bound(seed: u64, failures: u8) -> bool {
        let settings = BackoffSettings::default();
        let mut backoff = Backoff::new(settings.clone(), seed);
        (0..failures).all(|i| {
            let bound = settings.base.saturating_mul(1 << u32::from(i).min(16));
            backoff.fail() <= bound.min(settings.cap)
        })
    }
}
