//! Tests of admission to an upstream that warms up and states the rate that it takes meanwhile.

use super::common::at;
use super::rate::{admission, limit, most_within, starts};
use sycamore_call::admit::Input;
use sycamore_types::prelude::*;

fn warm_up(per_second: f64, until: u64) -> Input {
    Input::WarmUp { rate: RateLimit::new(per_second).unwrap(), until: at(until) }
}

/// Guards against a cold upstream that gets its usual load, and against one that then gets less than
/// it takes: calls come at 500 a second, the upstream takes 13 while it is cold.
#[test]
fn a_cold_upstream_gets_the_rate_that_it_takes() {
    let mut admission = admission(10_000.0);
    admission.step(at(0), warm_up(13.0, 3_000));
    let cold = starts(&mut admission, 0, 3_000, 2);
    let most = most_within(&cold, 1_000);
    assert!(most <= 15, "{most} calls in a second, of 13");
    assert!(cold.len() as f64 >= 0.9 * 39.0, "{} calls in 3 s of 13 a second", cold.len());
    let warm = starts(&mut admission, 3_000, 4_000, 2);
    assert!(warm.len() >= 499, "{} calls in the second after the warm-up", warm.len());
}

/// Guards against a lower limit that a warm-up replaces, and the reverse.
#[test]
fn the_lower_of_the_reported_limit_and_the_warm_up_binds() {
    for (reported, cold) in [(5.0, 13.0), (40.0, 13.0)] {
        let mut admission = admission(reported);
        admission.step(at(0), warm_up(cold, 60_000));
        let binding = f64::min(reported, cold);
        assert_eq!(admission.rate_limit(), limit(binding));
        let starts = starts(&mut admission, 0, 10_000, 2);
        let most = most_within(&starts, 1_000) as f64;
        assert!(most <= binding * 1.1 + 2.0, "{most} calls in a second of {binding}");
        admission.step(at(10_000), warm_up(cold, 10_000));
        assert_eq!(admission.rate_limit(), limit(reported));
    }
}

/// Guards against calls that wait in the queue although the warm-up has ended: no further call comes
/// that would start them.
#[test]
fn the_next_tick_is_not_later_than_the_end_of_the_warm_up() {
    let mut admission = admission(10_000.0);
    admission.step(at(0), warm_up(0.5, 300));
    starts(&mut admission, 0, 3, 1);
    assert!(admission.next_tick(at(3)).is_none_or(|tick| tick <= at(300)));
}

/// Guards against an upstream that turns cold again and again, with calls that come at its usual
/// rate in between: each warm-up is kept from its first second on, apart from what came before it.
#[test]
fn an_upstream_that_turns_cold_again_is_paced_each_time() {
    let mut admission = admission(10_000.0);
    for round in 0..4 {
        let begin = round * 5_000;
        starts(&mut admission, begin, begin + 2_000, 20);
        admission.step(at(begin + 2_000), warm_up(13.0, begin + 5_000));
        let cold = starts(&mut admission, begin + 2_000, begin + 5_000, 2);
        let most = most_within(&cold, 1_000);
        assert!(most <= 15, "{most} calls in a second of round {round}");
    }
}
