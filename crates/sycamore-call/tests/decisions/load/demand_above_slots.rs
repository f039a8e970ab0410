//! Tests of demand above the slots: the calls that run must be those that still meet their
//! objective.

use super::line::{run, Stream, SLOTS};
use crate::common::ms;
use sycamore_call::Criticality;

/// Returns a stream of 160 ms lookups at `times` the capacity of the slots.
fn lookups(times: f64) -> Stream {
    let capacity = f64::from(SLOTS) / 0.160;
    Stream {
        per_s: capacity * times,
        work: ms(160),
        objective: ms(500),
        deadline: ms(1_200),
        class: Criticality::Normal,
    }
}

/// Guards against goodput that collapses under overload because calls wait until their answers are
/// late.
#[test]
fn admission_by_objective_keeps_goodput_at_twice_the_capacity() {
    let stream = lookups(2.0);
    let [by_objective] = run(&[stream], true)[..] else { panic!("one stream") };
    let [by_deadline] = run(&[stream], false)[..] else { panic!("one stream") };
    let share = |in_time: u64| in_time as f64 / (by_objective.arrived as f64 / 2.0);
    // Target of goodput at twice the capacity: 95%.
    assert!(share(by_objective.in_time) >= 0.95, "{by_objective:?}");
    assert!(by_objective.in_time > by_deadline.in_time, "{by_objective:?} {by_deadline:?}");
}

/// Guards against refusing a call after most of its objective has passed in the queue, which leaves
/// no time to try another upstream.
#[test]
fn refused_calls_were_not_queued_for_long() {
    let [tally] = run(&[lookups(1.5)], true)[..] else { panic!("one stream") };
    // A refusal later than this leaves no time to try another upstream within the objective.
    assert!(tally.max_wait_of_refused <= ms(500 - 160), "{tally:?}");
}
