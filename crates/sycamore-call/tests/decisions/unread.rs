//! Tests of the bound on the time that a request waited in a socket.

use std::time::Duration;
use sycamore_call::key::SuspensionTracker;
use sycamore_types::prelude::*;

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn ticking_until(end_ms: u64) -> SuspensionTracker {
    let mut tracker = SuspensionTracker::new(at(0));
    (500..=end_ms).step_by(500).for_each(|ms| tracker.tick(at(ms)));
    tracker
}

/// Guards against taking the regular tick interval for a suspension.
#[test]
fn a_running_process_reads_without_delay() {
    let tracker = ticking_until(10_000);
    assert_eq!(tracker.max_socket_wait(at(10_900)), Duration::ZERO);
}

/// Guards against treating a request as new that was sent before the process was suspended.
#[test]
fn a_request_read_after_a_suspension_may_be_as_old_as_it() {
    let tracker = ticking_until(10_000);
    assert_eq!(tracker.max_socket_wait(at(90_000)), Duration::from_secs(80));
}

/// Guards against forgetting a suspension at its end, while requests sent before it still wait
/// behind others on a connection.
#[test]
fn a_suspension_matters_while_requests_may_wait_behind_others() {
    let mut tracker = ticking_until(10_000);
    tracker.tick(at(90_000));
    tracker.tick(at(90_500));
    assert_eq!(tracker.max_socket_wait(at(90_700)), Duration::from_secs(80));
    (91_000..=151_000).step_by(500).for_each(|ms| tracker.tick(at(ms)));
    assert_eq!(tracker.max_socket_wait(at(151_000)), Duration::ZERO);
}

/// Guards against dropping a recent suspension together with the longer one before it.
#[test]
fn a_short_suspension_outlasts_an_earlier_longer_one() {
    let mut tracker = ticking_until(10_000);
    tracker.tick(at(90_000));
    tracker.tick(at(130_000));
    tracker.tick(at(155_000));
    assert!(tracker.max_socket_wait(at(155_000)) >= Duration::from_secs(40));
}
