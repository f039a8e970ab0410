//! Tests of admission to an upstream that reports a rate limit.

use super::common::{at, ms};
use std::collections::VecDeque;
use std::time::Duration;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision, LimitPolicy};
use sycamore_types::prelude::*;

/// Call that can wait for a second.
fn call(id: u64, now: u64) -> Arrival {
    Arrival {
        id,
        caller: id,
        class: Criticality::Normal,
        deadline: at(now + 1_000),
        objective: None,
        work: 1,
        is_inner: false,
    }
}

pub fn limit(per_second: f64) -> Option<RateLimit> {
    Some(RateLimit::new(per_second).unwrap())
}

/// Admission with a limit of `per_second` from the start, and slots for any number of calls.
pub fn admission(per_second: f64) -> Admission {
    let mut admission = Admission::new(AdmissionConfig {
        queue_time: ms(800),
        policy: LimitPolicy::Fixed,
        min_retry_after: ms(1),
        ..AdmissionConfig::default()
    });
    admission.step(at(0), Input::Announce { slots: 10_000, connections: 10_000 });
    admission.step(at(0), Input::Limit(limit(per_second)));
    admission
}

fn admitted(decisions: &[Decision]) -> Vec<u64> {
    let id = |decision: &Decision| match decision {
        Decision::Admit(id) => Some(*id),
        Decision::Refuse { .. } => None,
    };
    decisions.iter().filter_map(id).collect()
}

fn refused(decisions: &[Decision]) -> Vec<(u64, RefusalReason, Duration)> {
    let parts = |decision: &Decision| match decision {
        Decision::Admit(_) => None,
        Decision::Refuse { id, reason, retry_after } => Some((*id, *reason, *retry_after)),
    };
    decisions.iter().filter_map(parts).collect()
}

/// Sends a call every `gap` milliseconds from `from` to `to`, with a tick every millisecond; returns
/// the times at which calls start, in milliseconds. Each runs for 10 ms.
pub fn starts(admission: &mut Admission, from: u64, to: u64, gap: u64) -> Vec<u64> {
    let mut starts = Vec::new();
    let mut ends = VecDeque::new();
    for now in from..to {
        let mut decisions = admission.step(at(now), Input::Tick);
        while ends.front().is_some_and(|(end, _)| *end <= now) {
            let (_, id) = ends.pop_front().unwrap();
            decisions.extend(admission.step(at(now), Input::Finish(id, RunEnd::Answered)));
        }
        if (now - from).is_multiple_of(gap) {
            decisions.extend(admission.step(at(now), Input::Arrive(call(now, now))));
        }
        for id in admitted(&decisions) {
            starts.push(now);
            ends.push_back((now + 10, id));
        }
    }
    starts
}

pub fn most_within(starts: &[u64], window: u64) -> usize {
    let count = |(i, from): (usize, &u64)| starts.partition_point(|at| *at < from + window) - i;
    starts.iter().enumerate().map(count).max().unwrap_or_default()
}

/// Guards against a bucket that fills while the upstream is idle and then empties at once, and against
/// a limit that isn't used.
#[test]
fn any_second_has_the_limit_and_a_tenth_at_most() {
    for per_second in [0.3, 1.0, 4.5, 18.4, 100.0, 900.0] {
        let mut admission = admission(per_second);
        let mut all = starts(&mut admission, 0, 10_000, 1);
        let used = all.len() as f64 / (per_second * 10.0);
        all.extend(starts(&mut admission, 60_000, 64_000, 1));
        let most = most_within(&all, 1_000) as f64;
        assert!(most <= per_second * 1.1 + 2.0, "{most} calls in a second of {per_second}");
        let most = most_within(&all, 4_000) as f64;
        assert!(most <= per_second * 4.1 + 2.0, "{most} calls in 4 s of {per_second}");
        assert!(used >= 0.95, "{used} of {per_second} a second was used");
    }
}

/// Guards against an upstream that reports a limit of zero and then never gets the call whose answer
/// would end it, and against refusals that don't tell when that call may run.
#[test]
fn a_limit_of_zero_lets_a_call_through_now_and_then() {
    let mut admission = admission(0.0);
    let starts = starts(&mut admission, 0, 20_000, 50);
    assert!((5..=6).contains(&starts.len()), "{starts:?}");
    assert!(most_within(&starts, 3_000) == 1, "{starts:?}");
    let decisions = admission.step(at(20_100), Input::Arrive(call(1, 20_100)));
    let [(_, RefusalReason::RateLimited, retry_after)] = refused(&decisions)[..] else {
        panic!("{decisions:?}");
    };
    assert!(retry_after >= ms(1_000), "{retry_after:?}");
}

/// Guards against a limit that each change starts anew: an upstream that changes its mind with every
/// answer would get a call for each.
#[test]
fn a_limit_that_changes_with_each_answer_holds() {
    let mut admission = admission(10.0);
    let mut all = Vec::new();
    for step in 0..400 {
        let per_second = if step % 2 == 0 { 10.0 } else { 5.0 };
        let decisions = admission.step(at(step * 20), Input::Limit(limit(per_second)));
        all.extend(admitted(&decisions).iter().map(|_| step * 20));
        all.extend(starts(&mut admission, step * 20, step * 20 + 20, 1));
    }
    let most = most_within(&all, 4_000);
    assert!(most <= 42, "{most} calls in 4 s of 10 and 5 a second");
    assert!(most >= 20, "{most} calls in 4 s of 10 and 5 a second");
}

/// Guards against an upstream in need that gets, in the seconds around its first report, far more
/// than the limit allows, since what it got just before isn't counted.
#[test]
fn calls_before_the_first_report_are_made_up_for() {
    for times in [1, 3, 5] {
        let mut admission = admission(20.0);
        admission.step(at(0), Input::Limit(None));
        let mut all = starts(&mut admission, 0, 2_000, 50 / times);
        admission.step(at(2_000), Input::Limit(limit(20.0)));
        all.extend(starts(&mut admission, 2_000, 12_000, 5));
        let judged: Vec<u64> = all.iter().copied().filter(|at| *at >= 1_000).collect();
        let most = most_within(&judged, 4_000);
        // The users allow one and a half times the limit and 5 calls.
        assert!(most <= 125, "{most} calls in 4 s of 20 a second after {times} times as many");
        let later = all.iter().filter(|at| **at >= 6_000).count();
        assert!(later >= 114, "{later} calls in 6 s of 20 a second");
    }
}

/// Guards against calls that go on waiting for a limit which has ended.
#[test]
fn the_end_of_a_limit_starts_the_queued_calls() {
    let mut admission = admission(1.0);
    let waiting: Vec<Decision> =
        (1..=4).flat_map(|id| admission.step(at(0), Input::Arrive(call(id, 0)))).collect();
    assert_eq!(admitted(&waiting), [1, 2]);
    assert_eq!(admission.load(at(0)).queued, 0, "a second is too long a wait");
    let mut admission = admission_with_queue();
    assert_eq!(admission.load(at(0)).queued, 2);
    let decisions = admission.step(at(10), Input::Limit(None));
    assert_eq!(admitted(&decisions), [3, 4]);
}

/// Admission at 10 calls a second with two calls started and two waiting.
fn admission_with_queue() -> Admission {
    let mut admission = admission(10.0);
    for id in 1..=4 {
        admission.step(at(0), Input::Arrive(call(id, 0)));
    }
    admission
}

/// Guards against a call that waits for a start which is later than its last useful one: it must be
/// refused as soon as that is known, with the time at which it would have started.
#[test]
fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let mut admission = admission_with_queue();
    let hasty = Arrival { deadline: at(90), ..call(9, 0) };
    let decisions = admission.step(at(0), Input::Arrive(hasty));
    let [(9, RefusalReason::RateLimited, retry_after)] = refused(&decisions)[..] else {
        panic!("{decisions:?}");
    };
    assert!((ms(200)..=ms(400)).contains(&retry_after), "{retry_after:?}");
    // A lower limit delays the calls that wait already.
    let decisions = admission.step(at(0), Input::Limit(limit(0.5)));
    assert_eq!(refused(&decisions).len(), 2, "{decisions:?}");
}

/// Guards against a less urgent call that starts before a more urgent one, and against a refused call
/// for which a running call of another upstream waits.
#[test]
fn urgent_calls_start_first_and_inner_calls_before_others_of_their_class() {
    let mut admission = admission_with_queue();
    let normal = |id| Arrival { deadline: at(950), ..call(id, 0) };
    admission.step(at(0), Input::Cancel(3));
    admission.step(at(0), Input::Cancel(4));
    for arrival in [
        Arrival { class: Criticality::Sheddable, is_inner: true, ..call(5, 0) },
        normal(6),
        Arrival { is_inner: true, ..call(7, 0) },
        Arrival { class: Criticality::Critical, ..call(8, 0) },
    ] {
        assert!(refused(&admission.step(at(0), Input::Arrive(arrival))).is_empty(), "{arrival:?}");
    }
    let mut order = Vec::new();
    for now in 0..900 {
        order.extend(admitted(&admission.step(at(now), Input::Tick)));
    }
    assert_eq!(order, [8, 7, 6, 5]);
}

/// Guards against a burst at a running upstream whose node has just started and doesn't know its limit
/// yet, and against calls that wait for the end of a long first one.
#[test]
fn few_calls_run_before_the_first_answer_of_an_older_upstream() {
    let arrivals = |admission: &mut Admission, now: u64| {
        let ids = now..now + 10;
        let arrive = |id| admission.step(at(now), Input::Arrive(call(id, now)));
        admitted(&ids.flat_map(arrive).collect::<Vec<_>>()).len()
    };
    let mut unheard = admission(1.0);
    unheard.step(at(0), Input::Limit(None));
    unheard.step(at(0), Input::ProbeLimit);
    let mut silent = unheard.clone();
    assert_eq!(arrivals(&mut unheard, 0), 2);
    let decisions = unheard.step(at(100), Input::Limit(None));
    assert_eq!(admitted(&decisions).len(), 8, "{decisions:?}");
    assert_eq!(arrivals(&mut silent, 0), 2);
    assert_eq!(silent.next_tick(at(0)), Some(at(500)));
    assert_eq!(admitted(&silent.step(at(500), Input::Tick)).len(), 8);
}

/// Guards against calls that wait at an upstream which is leaving, and against a successor that gets
/// none.
#[test]
fn a_drain_refuses_queued_calls_and_ends_with_the_process() {
    let mut admission = admission_with_queue();
    let decisions = admission.step(at(10), Input::Drain);
    let draining = |(id, reason, _): &(u64, RefusalReason, Duration)| {
        assert_eq!(*reason, RefusalReason::Draining);
        *id
    };
    assert_eq!(refused(&decisions).iter().map(draining).collect::<Vec<_>>(), [3, 4]);
    assert_eq!(admitted(&admission.step(at(20), Input::Arrive(call(5, 20)))), []);
    admission.step(at(30), Input::Resume);
    admission.step(at(30), Input::Limit(None));
    assert_eq!(admitted(&admission.step(at(30), Input::Arrive(call(6, 30)))), [6]);
}
