//! Tests of the service times by which an admission judges calls.

use super::common::at;
use sycamore_call::admit::{Input, RunEnd, MAX_KINDS};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision};

/// Time that calls of slow kinds take, in milliseconds; those of other kinds take 1 ms.
const SLOW_MS: u64 = 100;

/// Admission with one slot, and the time in milliseconds.
struct Upstream {
    admission: Admission,
    now: u64,
}

impl Upstream {
    fn new() -> Self {
        let mut admission = Admission::new(AdmissionConfig::default());
        admission.step(at(0), Input::Announce { slots: 1, connections: 120 });
        Self { admission, now: 0 }
    }

    fn arrive(&mut self, id: u64, work: u64, left: u64) -> Vec<Decision> {
        let class = Criticality::Normal;
        let deadline = at(self.now + left);
        let arrival =
            Arrival { id, caller: id, class, deadline, objective: None, work, is_inner: false };
        self.admission.step(at(self.now), Input::Arrive(arrival))
    }

    fn run(&mut self, work: u64, time: u64) {
        self.arrive(1, work, 10 * SLOW_MS);
        self.now += time;
        self.admission.step(at(self.now), Input::Finish(1, RunEnd::Answered));
    }

    fn run_fast(&mut self, kinds: std::ops::Range<u64>) {
        kinds.for_each(|work| self.run(work, 1));
    }

    /// Returns whether a call of kind `work` is known to be slow: it is refused behind a fast one
    /// if only half its time is left.
    fn is_known_as_slow(&mut self, work: u64) -> bool {
        self.arrive(1, 0, 10 * SLOW_MS);
        let decisions = self.arrive(2, work, SLOW_MS / 2);
        self.admission.step(at(self.now), Input::Cancel(2));
        self.admission.step(at(self.now), Input::Finish(1, RunEnd::Aborted));
        decisions.iter().any(|decision| matches!(decision, Decision::Refuse { id: 2, .. }))
    }
}

/// Guards against routes that are judged by the mean of all others because they were called after
/// many: a slow one is then queued although it can't finish in time.
#[test]
fn every_route_of_a_large_configuration_has_its_own_service_time() {
    for others in [255, 256, 5_000, 32_767] {
        let mut upstream = Upstream::new();
        upstream.run_fast(0..others);
        upstream.run(others, SLOW_MS);
        assert!(upstream.is_known_as_slow(others), "after {others} other routes");
    }
}

/// Guards against service times of removed routes that keep those of new routes out for good,
/// against forgetting a route that is still called, and against memory that grows with every route
/// there ever was.
#[test]
fn the_service_time_that_was_updated_least_recently_is_forgotten() {
    let max = u64::try_from(MAX_KINDS).unwrap();
    let (removed, called, new) = (u64::MAX, u64::MAX - 1, u64::MAX - 2);
    let mut upstream = Upstream::new();
    upstream.run(removed, SLOW_MS);
    upstream.run(called, SLOW_MS);
    upstream.run_fast(0..max - 2);
    assert!(upstream.is_known_as_slow(removed), "all kinds fit");
    upstream.run(called, SLOW_MS);
    upstream.run_fast(max..max + 1);
    upstream.run(new, SLOW_MS);
    upstream.run_fast(max + 1..max + 100);
    assert!(upstream.is_known_as_slow(new), "new");
    assert!(upstream.is_known_as_slow(called), "called");
    assert!(!upstream.is_known_as_slow(removed), "removed");
}
