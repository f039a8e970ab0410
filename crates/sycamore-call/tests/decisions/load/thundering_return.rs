//! Callers that are refused together and come back together: the times that they are told must spread
//! them over what the slots can take.

use crate::common::at;
use std::time::Duration;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision, LimitPolicy};

const SLOTS: u64 = 10;

fn arrive(id: u64, now: u64) -> Input {
    Input::Arrive(Arrival {
        id,
        caller: id,
        class: Criticality::Normal,
        deadline: at(now + 1_000),
        objective: Some(at(now + 150)),
        work: 1,
    })
}

/// Times to come back that a burst of `count` callers is told by an upstream of 100 ms a call.
fn told(count: u64) -> Vec<Duration> {
    let mut admission = Admission::new(AdmissionConfig {
        policy: LimitPolicy::Fixed,
        min_retry_after: Duration::from_millis(50),
        queue_time: Duration::from_secs(5),
        ..AdmissionConfig::default()
    });
    admission.step(at(0), Input::Announce { slots: SLOTS as u16, connections: 120 });
    for id in 0..SLOTS {
        admission.step(at(0), arrive(id, 0));
        admission.step(at(100), Input::Finish(id, RunEnd::Answered));
    }
    let decisions = (0..count).flat_map(|i| admission.step(at(200), arrive(100 + i, 200)));
    decisions
        .filter_map(|decision| match decision {
            Decision::Refuse { retry_after, .. } => Some(retry_after),
            Decision::Admit(_) => None,
        })
        .collect()
}

#[test]
fn no_more_are_told_to_come_within_any_tenth_of_a_second_than_slots_come_free() {
    let told = told(100);
    assert!(told.len() > 60, "{}", told.len());
    for from in 0..20 {
        let span = Duration::from_millis(from * 50)..Duration::from_millis(from * 50 + 100);
        let count = told.iter().filter(|after| span.contains(after)).count() as u64;
        assert!(count <= SLOTS + 1, "{count} from {span:?}: {told:?}");
    }
}

#[test]
fn nobody_is_told_to_come_after_the_callers_patience() {
    let longest = told(2_000).into_iter().max().unwrap();
    assert!(longest <= Duration::from_millis(1_500), "{longest:?}");
}
