//! Tests of synchronised retries: callers that are refused together must be told retry delays that
//! spread their return over the rate at which slots become free.

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
        is_inner: false,
    })
}

/// Returns the retry delays that a burst of `count` callers gets from an upstream with a service
/// time of 100 ms.
fn retry_delays(count: u64) -> Vec<Duration> {
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

/// Guards against telling more callers to retry within 100 ms than slots become free in that time.
#[test]
fn retry_delays_spread_callers_at_the_service_rate() {
    let delays = retry_delays(100);
    assert!(delays.len() > 60, "{}", delays.len());
    for from in 0..20 {
        let span = Duration::from_millis(from * 50)..Duration::from_millis(from * 50 + 100);
        let count = delays.iter().filter(|delay| span.contains(delay)).count() as u64;
        assert!(count <= SLOTS + 1, "{count} from {span:?}: {delays:?}");
    }
}

/// Guards against retry delays that grow with the number of refused callers beyond the time that
/// callers wait.
#[test]
fn retry_delays_stay_below_the_callers_patience() {
    let longest = retry_delays(2_000).into_iter().max().unwrap();
    assert!(longest <= Duration::from_millis(1_500), "{longest:?}");
}
