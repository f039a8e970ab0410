//! Tests of the timetable of a shutdown.

use quickcheck::quickcheck;
use std::time::Duration;
use sycamore_settings::calls::Calls;
use sycamore_settings::from_text;
use sycamore_settings::shutdown::{Shutdown, CLOSING_SPREAD, JOIN_TIMEOUT};

const NODE: &str = "[node]\ndeployment = sample\ninstance = counter-1\nservice = counter\n\
                    data_centre = hr-north-a\nregion = hr-north\n";

/// Returns the plan for a grace time in milliseconds where callers are told 2.3 s before.
fn plan(grace_ms: u64) -> Result<Shutdown, Duration> {
    let grace = Some(Duration::from_millis(grace_ms));
    Shutdown::plan(&Calls { grace, drain_notice: Duration::from_millis(2_300), ..Calls::default() })
}

// Guards against a constant drain time, which cut calls in flight 5.3 s after the request to stop
// although the platform gave the node 10 s.
#[test]
fn calls_in_flight_have_the_grace_time_that_the_platform_states() {
    for grace in [6_000, 10_000, 30_000] {
        let plan = plan(grace).expect("a possible grace time");
        let end = plan.notice + CLOSING_SPREAD + plan.drain;
        let five_sixths = Duration::from_millis(grace * 5 / 6);
        assert!(end > five_sixths, "calls are cut {end:?} into a grace time of {grace} ms");
    }
}

// Guards against a plan that leaves no time for the tasks to end, so that the node is killed.
#[test]
fn the_node_ends_by_itself_before_the_grace_time_is_over() {
    fn holds(grace_ms: u16) -> bool {
        let grace = Duration::from_millis(u64::from(grace_ms));
        match plan(u64::from(grace_ms)) {
            Ok(plan) => plan.notice + CLOSING_SPREAD + plan.drain + JOIN_TIMEOUT < grace,
            Err(least) => grace <= least + Duration::from_millis(1),
        }
    }
    quickcheck(holds as fn(u16) -> bool);
}

// Guards against a node that starts with a grace time in which it can't end.
#[test]
fn an_impossible_grace_time_is_a_fault_of_the_settings() {
    let text = format!("{NODE}[calls]\ndrain_notice = 2300ms\ngrace = 1s\n");
    let report = from_text("test.ini", &text).expect_err("too short a grace time");
    let message = report.current_context().to_string();
    assert!(message.contains("grace") && message.contains("must be longer than"), "{message}");
}

// Guards against a template that renders a fraction of a second, which the platform may state.
#[test]
fn durations_may_have_a_fraction() {
    let text = format!("{NODE}[calls]\ngrace = 6.5s\ndrain_notice = 0.25m\n");
    let settings = from_text("test.ini", &text).expect("valid settings");
    assert_eq!(settings.calls.grace, Some(Duration::from_millis(6_500)));
    assert_eq!(settings.calls.drain_notice, Duration::from_secs(15));
    for bad in ["1e3s", "-1s", ".s", "1..2s", "s"] {
        let text = format!("{NODE}[calls]\ngrace = {bad}\n");
        assert!(from_text("test.ini", &text).is_err(), "{bad} accepted");
    }
}
