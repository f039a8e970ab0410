//! The whole path, undisturbed.

use crate::support::{pass, play};
use std::time::Duration;
use sycamore_bench::fleet::descriptors;
use sycamore_bench::load::Ended;

#[test]
fn every_call_is_served_whole_and_once() {
    let outcome = play(1, &[], async |_| {
        pass(Duration::from_secs(4)).await;
        Ok(())
    });
    assert!(outcome.tally.records().len() > 50, "{}", outcome.tally);
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
    let bad: Vec<_> = outcome.tally.records().iter().filter(|r| r.ended != Ended::Ok).collect();
    // A repeat with a key that is under way is answered so; nothing else may fail.
    assert!(bad.iter().all(|r| r.reason.as_deref() == Some("in-progress")), "{bad:?}");
}

#[test]
fn a_node_opens_no_io_uring() {
    play(2, &[], async |fleet| {
        for name in fleet.running() {
            let open = descriptors(fleet.node_pid(&name)?)?;
            assert!(!open.is_empty());
            assert!(!open.iter().any(|link| link.contains("io_uring")), "{open:?}");
        }
        Ok(())
    });
}
