//! Demand above slots: what runs must be worth its slot.

use super::line::{run, Stream, SLOTS};
use crate::common::ms;
use sycamore_call::Criticality;

/// Lookups of 160 ms at `times` what the slots can serve.
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

#[test]
fn answers_come_within_their_objective_at_twice_the_slots() {
    let stream = lookups(2.0);
    let [by_objective] = run(&[stream], true)[..] else { panic!("one stream") };
    let [by_deadline] = run(&[stream], false)[..] else { panic!("one stream") };
    let share = |in_time: u64| in_time as f64 / (by_objective.asked as f64 / 2.0);
    // The aim for goodput at twice the capacity.
    assert!(share(by_objective.in_time) >= 0.95, "{by_objective:?}");
    assert!(by_objective.in_time > by_deadline.in_time, "{by_objective:?} {by_deadline:?}");
}

#[test]
fn nobody_is_held_and_then_refused() {
    let [tally] = run(&[lookups(1.5)], true)[..] else { panic!("one stream") };
    // A refusal after most of the objective has passed leaves no time to go elsewhere.
    assert!(tally.longest_held <= ms(500 - 160), "{tally:?}");
}
