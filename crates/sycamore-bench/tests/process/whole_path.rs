//! Calls through nodes and upstreams without faults.

use crate::support::{run_under_load, sleep};
use std::time::Duration;
use sycamore_bench::fleet::descriptors;
use sycamore_bench::load::Ended;

/// Guards against calls that fail, run twice or get a truncated answer although nothing is
/// disturbed.
#[test]
fn every_call_is_answered_completely_and_runs_once() {
    let outcome = run_under_load(1, &[], async |_| {
        sleep(Duration::from_secs(4)).await;
        Ok(())
    });
    assert!(outcome.tally.records().len() > 50, "{}", outcome.tally);
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
    let bad: Vec<_> = outcome.tally.records().iter().filter(|r| r.ended != Ended::Ok).collect();
    // A repeat whose first call is still running is answered with this reason; no other call may
    // fail.
    assert!(bad.iter().all(|r| r.reason.as_deref() == Some("in-progress")), "{bad:?}");
}

/// Guards against a node whose runtime uses io_uring instead of the polling driver.
#[test]
fn a_node_opens_no_io_uring() {
    run_under_load(2, &[], async |fleet| {
        for name in fleet.running() {
            let open = descriptors(fleet.node_pid(&name)?)?;
            assert!(!open.is_empty());
            assert!(!open.iter().any(|link| link.contains("io_uring")), "{open:?}");
        }
        Ok(())
    });
}
