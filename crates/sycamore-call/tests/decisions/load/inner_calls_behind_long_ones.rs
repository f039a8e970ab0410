//! Test of priority inversion through nested calls: a call that another running call waits for
//! queues behind long calls of the same class, and refusing it wastes the run that made it.

use super::line::{run, Stream, SLOTS};
use crate::common::ms;
use sycamore_call::Criticality;

/// Guards against starving short nested calls when long calls ask for 1.3 times the slots.
#[test]
fn short_nested_calls_are_served_while_long_calls_exceed_the_slots() {
    let bookings = Stream {
        per_s: f64::from(SLOTS) / 0.210 * 1.3,
        work: ms(210),
        objective: ms(600),
        deadline: ms(1_500),
        class: Criticality::Normal,
    };
    let nested = Stream {
        per_s: 60.0,
        work: ms(40),
        objective: ms(150),
        deadline: ms(500),
        class: Criticality::Normal,
    };
    let [_, tally] = run(&[bookings, nested], true)[..] else { panic!("two streams") };
    let served = (tally.in_time + tally.late) as f64 / tally.arrived as f64;
    assert!(served >= 0.95, "{tally:?}");
}
