//! Tests of the verdict on synthetic call counts of both versions.

mod support;

use support::id;
use sycamore_moves::evidence::{Cell, Counts, Totals};
use sycamore_moves::verdict::{
    NonInferiorityTest, Pair, Sample, Scope, Signal, VerdictOptions, VerdictTests,
};
use sycamore_types::prelude::*;

/// Calls of one version in one second: their number, the failed ones, and the latency bucket of the
/// others.
#[derive(Clone, Copy)]
struct SecondOfCalls {
    calls: u64,
    failed: u64,
    bucket: usize,
}

fn add(totals: &mut Totals, route: &str, band: u8, second: SecondOfCalls) {
    let counts: &mut Counts = totals.cells.entry(Cell { route: id(route), band }).or_default();
    counts.ok += second.calls - second.failed;
    counts.failed += second.failed;
    counts.latency.add(second.bucket, u32::try_from(second.calls - second.failed).expect("small"));
}

/// Verdict tests with the cumulative counters that they evaluate once per second.
struct Harness {
    tests: VerdictTests,
    time: u64,
    new: Totals,
    old: Totals,
}

impl Harness {
    fn new() -> Self {
        let tests = VerdictTests::new(VerdictOptions::default(), Time(0));
        let mut harness = Self { tests, time: 0, new: Totals::default(), old: Totals::default() };
        // Calls of the old version before the move began.
        add(&mut harness.old, "tickets", 5, GOOD_1000);
        harness
    }

    /// Adds one second of calls to both versions and evaluates the tests.
    fn add_second(
        &mut self,
        new: SecondOfCalls,
        old: SecondOfCalls,
    ) -> Option<sycamore_moves::verdict::Finding> {
        add(&mut self.new, "tickets", 4, new);
        add(&mut self.old, "tickets", 4, old);
        self.time += 1;
        self.tests.evaluate(Time::from_secs(self.time), self.new.clone(), self.old.clone())
    }
}

const GOOD_1000: SecondOfCalls = SecondOfCalls { calls: 1_000, failed: 1, bucket: 20 };

fn good(calls: u64) -> SecondOfCalls {
    SecondOfCalls { calls, failed: 0, bucket: 20 }
}

fn failing(calls: u64, failed: u64) -> SecondOfCalls {
    SecondOfCalls { calls, failed, bucket: 20 }
}

#[test]
fn a_version_that_fails_from_the_start_is_found_within_five_calls() {
    let finding = Harness::new().add_second(failing(5, 5), good(95)).expect("found");
    assert_eq!(finding.signal, Signal::Failed);
    assert!(finding.to_string().starts_with("5 of 5 calls failed over all on the new version"));
}

/// Without restarts of the tests, ten minutes of good calls would outweigh failures that begin
/// later.
#[test]
fn a_version_that_fails_after_ten_good_minutes_is_found_within_seconds() {
    let mut harness = Harness::new();
    for _ in 0..600 {
        assert!(harness.add_second(good(50), good(50)).is_none());
    }
    let after = (1..20).find(|_| harness.add_second(failing(50, 10), good(50)).is_some());
    assert!(after.is_some_and(|seconds| seconds <= 3), "{after:?}");
}

/// At 95% of the traffic the old version has few calls to compare with.
#[test]
fn a_version_that_fails_at_nearly_full_share_is_found() {
    let mut harness = Harness::new();
    for _ in 0..60 {
        assert!(harness.add_second(good(95), good(5)).is_none());
    }
    let after = (1..60).find(|_| harness.add_second(failing(95, 20), good(5)).is_some());
    assert!(after.is_some_and(|seconds| seconds <= 10), "{after:?}");
}

/// Both versions fail at the same time, so the pair test must not reject.
#[test]
fn an_overload_of_the_whole_service_yields_no_verdict() {
    let mut harness = Harness::new();
    for _ in 0..30 {
        assert!(harness.add_second(good(50), good(50)).is_none());
    }
    for _ in 0..60 {
        assert!(harness.add_second(failing(50, 20), failing(50, 20)).is_none());
    }
}

#[test]
fn slow_calls_are_found_on_their_route() {
    let mut harness = Harness::new();
    let slow = SecondOfCalls { calls: 20, failed: 0, bucket: 28 };
    let finding = (1..10).find_map(|_| harness.add_second(slow, good(80))).expect("found");
    assert!(matches!(finding.signal, Signal::Slow90 | Signal::Slow99));
    assert!(matches!(finding.scope, Scope::Route(_)));
}

#[test]
fn slowness_at_a_load_that_the_old_version_never_had_yields_no_verdict() {
    let mut harness = Harness::new();
    let slow = SecondOfCalls { calls: 95, failed: 0, bucket: 28 };
    for second in 1..30 {
        add(&mut harness.new, "tickets", 9, slow);
        add(&mut harness.old, "tickets", 1, good(5));
        let at = Time::from_secs(second);
        assert!(harness.tests.evaluate(at, harness.new.clone(), harness.old.clone()).is_none());
    }
}

/// The calls of one bucket of callers fail while the counts over all calls are clean.
#[test]
fn failures_of_one_bucket_of_callers_are_found() {
    let mut harness = Harness::new();
    harness.old.callers[3].calls = 100;
    let finding = (1..40).find_map(|_| {
        harness.new.callers[3].calls += 5;
        harness.new.callers[3].bad += 5;
        harness.old.callers[3].calls += 5;
        harness.add_second(good(50), good(50))
    });
    assert_eq!(finding.expect("found").scope, Scope::Callers(3));
}

/// One bad request can crash two upstreams before it is quarantined, which says nothing about the
/// version.
#[test]
fn two_crashes_yield_no_verdict_but_five_do() {
    let mut harness = Harness::new();
    harness.new.crashes = 2;
    assert!(harness.add_second(good(10), good(90)).is_none());
    harness.new.crashes = 5;
    assert_eq!(harness.add_second(good(10), good(90)).expect("found").signal, Signal::Crash);
}

fn rules_out(new: Sample, margin: f64) -> bool {
    let old = Sample { calls: 1_000, hits: 0 };
    NonInferiorityTest::default().rules_out(Pair { new, old }, &old, margin, 0.5, 0.05)
}

#[test]
fn a_smaller_margin_needs_more_calls_to_be_ruled_out() {
    let clean = |calls| Sample { calls, hits: 0 };
    assert!(!rules_out(clean(20), 0.1));
    assert!(rules_out(clean(40), 0.1));
    assert!(!rules_out(clean(40), 0.01));
    assert!(rules_out(clean(400), 0.01));
    assert!(!rules_out(Sample { calls: 400, hits: 8 }, 0.01));
}

/// In the closed stratum both versions fail in 30% of their calls. Compared with the old version's
/// usual rate, the new version's failures would keep the step from being cleared.
#[test]
fn an_incident_of_the_whole_service_does_not_keep_a_step_from_being_cleared() {
    let sample = |calls, hits| Sample { calls, hits };
    let mut test = NonInferiorityTest::default();
    test.close_stratum(Pair { new: sample(500, 150), old: sample(50, 15) });
    let open = Pair { new: sample(1_000, 1), old: sample(100, 0) };
    assert!(test.rules_out(open, &sample(1_000, 16), 0.01, 0.5, 0.05));
}

#[test]
fn a_step_is_not_cleared_on_the_calls_of_an_earlier_step() {
    let mut harness = Harness::new();
    for _ in 0..10 {
        harness.add_second(good(50), good(50));
    }
    assert!(harness.tests.clears(Share::from_basis_points(1_000)));
    harness.tests.open_step(Time::from_secs(harness.time));
    assert!(!harness.tests.clears(Share::from_basis_points(1_000)));
    assert_eq!(harness.tests.summary().calls, 500);
}
