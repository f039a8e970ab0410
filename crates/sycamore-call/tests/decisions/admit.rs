//! Tests of the admission control at an upstream.

use super::common::at;
use quickcheck::quickcheck;
use std::collections::BTreeSet;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision, LimitPolicy};
use sycamore_types::prelude::*;

fn admission(slots: u16, queue: usize) -> Admission {
    let mut admission = Admission::new(AdmissionConfig { queue, ..Default::default() });
    admission.step(at(0), Input::Announce { slots, connections: 120 });
    admission
}

fn call(id: u64, deadline: u64) -> Arrival {
    let class = Criticality::Normal;
    Arrival {
        id,
        caller: id,
        class,
        deadline: at(deadline),
        objective: None,
        work: 0,
        is_inner: false,
    }
}

fn refused(id: u64, decisions: &[Decision]) -> Option<RefusalReason> {
    decisions.iter().find_map(|decision| match decision {
        Decision::Refuse { id: refused, reason, .. } if *refused == id => Some(*reason),
        _ => None,
    })
}

fn admitted(decisions: &[Decision]) -> Vec<u64> {
    let ids = decisions.iter().filter_map(|decision| match decision {
        Decision::Admit(id) => Some(*id),
        Decision::Refuse { .. } => None,
    });
    ids.collect()
}

/// Guards against admitting calls while the upstream is unknown, which would fail at its address.
#[test]
fn calls_are_refused_until_the_upstream_announces_its_capacity() {
    let mut admission = Admission::new(AdmissionConfig::default());
    let decisions = admission.step(at(1), Input::Arrive(call(1, 1_000)));
    assert_eq!(refused(1, &decisions), Some(RefusalReason::NoUpstream));
}

/// Guards against running more calls than the upstream accepts connections.
#[test]
fn the_limit_is_the_smaller_of_slots_and_connections() {
    let mut admission = Admission::new(AdmissionConfig::default());
    admission.step(at(0), Input::Announce { slots: 12, connections: 5 });
    assert_eq!(admission.limit(), 5);
}

/// Guards against serving the queue in order of arrival while a later call is more urgent.
#[test]
fn a_free_slot_goes_to_the_call_with_the_earliest_deadline() {
    let mut admission = admission(1, 8);
    admission.step(at(0), Input::Arrive(call(1, 1_000)));
    for (id, deadline) in [(2, 900), (3, 700), (4, 800)] {
        admission.step(at(1), Input::Arrive(call(id, deadline)));
    }
    let decisions = admission.step(at(10), Input::Finish(1, RunEnd::Answered));
    assert_eq!(admitted(&decisions), [3]);
}

/// Guards against queueing a call that the known service time makes too late, and against refusing
/// one that still has time.
#[test]
fn calls_that_cannot_meet_their_deadline_are_refused_on_arrival() {
    let mut admission = admission(1, 8);
    admission.step(at(0), Input::Arrive(call(1, 1_000)));
    admission.step(at(100), Input::Finish(1, RunEnd::Answered));
    admission.step(at(100), Input::Arrive(call(2, 1_000)));
    let decisions = admission.step(at(101), Input::Arrive(call(3, 250)));
    assert_eq!(refused(3, &decisions), Some(RefusalReason::Overloaded));
    let decisions = admission.step(at(101), Input::Arrive(call(4, 400)));
    assert_eq!(refused(4, &decisions), None, "there is time for this one");
    let decisions = admission.step(at(101), Input::Arrive(call(5, 50)));
    assert_eq!(refused(5, &decisions), Some(RefusalReason::Deadline));
}

/// Guards against a call that stays queued longer than `queue_time` because no slot becomes free.
#[test]
fn a_queued_call_is_refused_after_the_maximum_wait() {
    let mut admission = admission(1, 8);
    admission.step(at(0), Input::Arrive(call(1, 9_000)));
    admission.step(at(0), Input::Arrive(call(2, 9_000)));
    assert_eq!(admission.next_tick(at(0)), Some(at(250)));
    let decisions = admission.step(at(250), Input::Tick);
    assert_eq!(refused(2, &decisions), Some(RefusalReason::Overloaded));
}

/// Guards against sheddable calls that fill the queue and keep out critical ones.
#[test]
fn a_full_queue_evicts_a_call_of_a_lower_class() {
    let mut admission = admission(1, 2);
    admission.step(at(0), Input::Arrive(call(1, 9_000)));
    let with = |id, class| Input::Arrive(Arrival { class, ..call(id, 9_000) });
    admission.step(at(1), with(2, Criticality::Sheddable));
    let decisions = admission.step(at(1), with(3, Criticality::Sheddable));
    assert_eq!(refused(3, &decisions), Some(RefusalReason::Overloaded), "half of the queue");
    admission.step(at(1), with(4, Criticality::Normal));
    let decisions = admission.step(at(1), with(5, Criticality::Critical));
    assert_eq!(refused(2, &decisions), Some(RefusalReason::Overloaded));
    let decisions = admission.step(at(2), Input::Finish(1, RunEnd::Answered));
    assert_eq!(admitted(&decisions), [5]);
}

/// Guards against one caller that takes every place in the queue and keeps out the others.
#[test]
fn a_full_queue_evicts_a_call_of_the_caller_with_the_most_places() {
    let mut admission = admission(1, 4);
    let by = |id, caller| Input::Arrive(Arrival { caller, ..call(id, 9_000) });
    for id in 1..=5 {
        admission.step(at(0), by(id, 7));
    }
    let decisions = admission.step(at(1), by(6, 7));
    assert_eq!(refused(6, &decisions), Some(RefusalReason::Overloaded));
    let decisions = admission.step(at(1), by(7, 8));
    assert_eq!(refused(7, &decisions), None);
    assert_eq!(decisions.len(), 1, "one of the others was refused: {decisions:?}");
}

/// Guards against a drain that leaves queued calls waiting, admits new ones or drops running ones.
#[test]
fn a_drain_refuses_queued_and_new_calls() {
    let mut admission = admission(1, 4);
    admission.step(at(0), Input::Arrive(call(1, 9_000)));
    admission.step(at(0), Input::Arrive(call(2, 9_000)));
    let decisions = admission.step(at(1), Input::Drain);
    assert_eq!(refused(2, &decisions), Some(RefusalReason::Draining));
    let decisions = admission.step(at(2), Input::Arrive(call(3, 9_000)));
    assert_eq!(refused(3, &decisions), Some(RefusalReason::Draining));
    assert_eq!(admission.load(Time(0)).running, 1, "what runs goes on");
}

/// Guards against a limit that ignores refusals of the upstream, or stays low after they stop.
#[test]
fn the_limit_falls_under_overload_and_recovers() {
    let mut admission = admission(10, 4);
    let mut id = 0;
    let mut round = |admission: &mut Admission, now: u64, end| {
        for _ in 0..10 {
            id += 1;
            admission.step(at(now), Input::Arrive(call(id, now + 9_000)));
            admission.step(at(now + 5), Input::Finish(id, end));
        }
    };
    for now in 0..20 {
        round(&mut admission, now * 10, RunEnd::Overloaded);
    }
    let low = admission.limit();
    assert!((1..=4).contains(&low), "{low}");
    // The limit only grows while calls run at it.
    for now in 100..400 {
        let ids: Vec<u64> = (0..10).map(|i| now * 100 + i).collect();
        for id in &ids {
            admission.step(at(now * 10), Input::Arrive(call(*id, now * 10 + 9_000)));
        }
        for id in &ids {
            admission.step(at(now * 10 + 5), Input::Finish(*id, RunEnd::Answered));
        }
    }
    assert_eq!(admission.limit(), 10);
}

/// Maps two numbers to an input, for property tests.
fn input(step: (u8, u8)) -> Input {
    let id = u64::from(step.1 % 16);
    match step.0 % 6 {
        0 | 1 => Input::Arrive(Arrival {
            id,
            caller: id % 3,
            class: [Criticality::Sheddable, Criticality::Normal, Criticality::Critical]
                [usize::from(step.1 % 3)],
            deadline: at(u64::from(step.1) * 8),
            objective: step.1.is_multiple_of(2).then(|| at(u64::from(step.1) * 4)),
            work: id % 5,
            is_inner: false,
        }),
        2 => Input::Finish(id, RunEnd::Answered),
        3 => Input::Finish(id, RunEnd::Overloaded),
        4 => Input::Cancel(id),
        _ => Input::Tick,
    }
}

quickcheck! {
    // Guards against any sequence of inputs that overruns the slots or the queue, or lowers the
    // limit to zero.
    fn running_and_queued_calls_never_exceed_their_bounds(
        steps: Vec<(u8, u8)>,
        gradient: bool
    ) -> bool {
        let policy = if gradient { LimitPolicy::Gradient } else { LimitPolicy::Aimd };
        let mut admission =
            Admission::new(AdmissionConfig { queue: 3, policy, ..Default::default() });
        admission.step(at(0), Input::Announce { slots: 2, connections: 120 });
        let mut open = BTreeSet::new();
        for (i, step) in steps.into_iter().enumerate() {
            let input = input(step);
            match input {
                Input::Arrive(arrival) if !open.insert(arrival.id) => continue,
                Input::Cancel(id) => drop(open.remove(&id)),
                _ => {}
            }
            if let Input::Finish(id, _) = input {
                open.remove(&id);
            }
            for decision in admission.step(at(i as u64 * 3), input) {
                if let Decision::Refuse { id, .. } = decision {
                    open.remove(&id);
                }
            }
            let load = admission.load(Time(0));
            if load.running > 2 || load.queued > 3 || admission.limit() < 1 {
                return false;
            }
        }
        true
    }
}
