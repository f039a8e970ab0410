//! Priority inversion through inner calls: a call that another run waits for stands behind long
//! calls of the same rank, and refusing it wastes the run that made it.

use super::line::{run, Stream, SLOTS};
use crate::common::ms;
use sycamore_call::Criticality;

#[test]
fn short_inner_calls_are_served_while_long_calls_exceed_the_slots() {
    let bookings = Stream {
        per_s: f64::from(SLOTS) / 0.210 * 1.3,
        work: ms(210),
        objective: ms(600),
        deadline: ms(1_500),
        class: Criticality::Normal,
    };
    let inner = Stream {
        per_s: 60.0,
        work: ms(40),
        objective: ms(150),
        deadline: ms(500),
        class: Criticality::Normal,
    };
    let [_, by_objective] = run(&[bookings, inner], true)[..] else { panic!("two streams") };
    let served = (by_objective.in_time + by_objective.late) as f64 / by_objective.asked as f64;
    assert!(served >= 0.95, "{by_objective:?}");
}
