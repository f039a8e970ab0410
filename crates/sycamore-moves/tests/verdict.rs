//! The verdict on streams of counts.

mod support;

use support::id;
use sycamore_moves::evidence::{Cell, Counts, Totals};
use sycamore_moves::verdict::{Pair, Proof, Sample, Scope, Signal, VerdictOptions, VerdictTests};
use sycamore_types::prelude::*;

/// What each version does in one second: calls, failed ones, latency bucket of the rest.
#[derive(Clone, Copy)]
struct Second {
    calls: u64,
    failed: u64,
    bucket: usize,
}

fn add(totals: &mut Totals, route: &str, band: u8, second: Second) {
    let counts: &mut Counts = totals.cells.entry(Cell { route: id(route), band }).or_default();
    counts.ok += second.calls - second.failed;
    counts.failed += second.failed;
    counts.latency.add(second.bucket, u32::try_from(second.calls - second.failed).expect("small"));
}

struct Bench {
    judge: VerdictTests,
    time: u64,
    new: Totals,
    old: Totals,
}

impl Bench {
    fn new() -> Self {
        let judge = VerdictTests::new(VerdictOptions::default(), Time(0));
        let mut bench = Self { judge, time: 0, new: Totals::default(), old: Totals::default() };
        // What the old version did before the move began.
        add(&mut bench.old, "tickets", 5, GOOD_1000);
        bench
    }

    fn second(&mut self, new: Second, old: Second) -> Option<sycamore_moves::verdict::Finding> {
        add(&mut self.new, "tickets", 4, new);
        add(&mut self.old, "tickets", 4, old);
        self.time += 1;
        self.judge.evaluate(Time::from_secs(self.time), self.new.clone(), self.old.clone())
    }
}

const GOOD_1000: Second = Second { calls: 1_000, failed: 1, bucket: 20 };

fn good(calls: u64) -> Second {
    Second { calls, failed: 0, bucket: 20 }
}

fn failing(calls: u64, failed: u64) -> Second {
    Second { calls, failed, bucket: 20 }
}

#[test]
fn failing_at_once_is_found_within_a_few_calls() {
    let finding = Bench::new().second(failing(5, 5), good(95)).expect("found");
    assert_eq!(finding.signal, Signal::Failed);
    assert!(finding.to_string().starts_with("5 of 5 calls failed over all on the new version"));
}

#[test]
fn failing_late_is_found_as_fast_after_long_good_service() {
    let mut bench = Bench::new();
    for _ in 0..600 {
        assert!(bench.second(good(50), good(50)).is_none());
    }
    let after = (1..20).find(|_| bench.second(failing(50, 10), good(50)).is_some());
    assert!(after.is_some_and(|seconds| seconds <= 3), "{after:?}");
}

#[test]
fn failing_at_nearly_full_share_is_found() {
    let mut bench = Bench::new();
    for _ in 0..60 {
        assert!(bench.second(good(95), good(5)).is_none());
    }
    let after = (1..60).find(|_| bench.second(failing(95, 20), good(5)).is_some());
    assert!(after.is_some_and(|seconds| seconds <= 10), "{after:?}");
}

#[test]
fn an_overload_of_the_whole_service_is_no_bad_version() {
    let mut bench = Bench::new();
    for _ in 0..30 {
        assert!(bench.second(good(50), good(50)).is_none());
    }
    for _ in 0..60 {
        assert!(bench.second(failing(50, 20), failing(50, 20)).is_none());
    }
}

#[test]
fn slow_calls_are_found_per_route() {
    let mut bench = Bench::new();
    let slow = Second { calls: 20, failed: 0, bucket: 28 };
    let finding = (1..10).find_map(|_| bench.second(slow, good(80))).expect("found");
    assert!(matches!(finding.signal, Signal::Slow90 | Signal::Slow99));
    assert!(matches!(finding.scope, Scope::Route(_)));
}

#[test]
fn slowness_at_a_load_that_the_old_version_never_had_says_nothing() {
    let mut bench = Bench::new();
    let slow = Second { calls: 95, failed: 0, bucket: 28 };
    for second in 1..30 {
        add(&mut bench.new, "tickets", 9, slow);
        add(&mut bench.old, "tickets", 1, good(5));
        let at = Time::from_secs(second);
        assert!(bench.judge.evaluate(at, bench.new.clone(), bench.old.clone()).is_none());
    }
}

#[test]
fn one_group_of_callers_is_enough() {
    let mut bench = Bench::new();
    bench.old.callers[3].calls = 100;
    let finding = (1..40).find_map(|_| {
        bench.new.callers[3].calls += 5;
        bench.new.callers[3].bad += 5;
        bench.old.callers[3].calls += 5;
        bench.second(good(50), good(50))
    });
    assert_eq!(finding.expect("found").scope, Scope::Callers(3));
}

#[test]
fn two_crashes_may_be_one_request_but_many_are_the_version() {
    let mut bench = Bench::new();
    bench.new.crashes = 2;
    assert!(bench.second(good(10), good(90)).is_none());
    bench.new.crashes = 5;
    assert_eq!(bench.second(good(10), good(90)).expect("found").signal, Signal::Crash);
}

fn proves(new: Sample, margin: f64) -> bool {
    let old = Sample { calls: 1_000, hits: 0 };
    Proof::default().rules_out(Pair { new, old }, &old, margin, 0.5, 0.05)
}

#[test]
fn proof_needs_as_many_calls_as_its_margin_asks() {
    let clean = |calls| Sample { calls, hits: 0 };
    assert!(!proves(clean(20), 0.1));
    assert!(proves(clean(40), 0.1));
    assert!(!proves(clean(40), 0.01));
    assert!(proves(clean(400), 0.01));
    assert!(!proves(Sample { calls: 400, hits: 8 }, 0.01));
}

#[test]
fn an_incident_of_the_whole_service_does_not_spoil_the_proof() {
    let sample = |calls, hits| Sample { calls, hits };
    let mut proof = Proof::default();
    proof.close(Pair { new: sample(500, 150), old: sample(50, 15) });
    let open = Pair { new: sample(1_000, 1), old: sample(100, 0) };
    assert!(proof.rules_out(open, &sample(1_000, 16), 0.01, 0.5, 0.05));
}

#[test]
fn a_step_is_not_cleared_by_the_calls_of_an_earlier_one() {
    let mut bench = Bench::new();
    for _ in 0..10 {
        bench.second(good(50), good(50));
    }
    assert!(bench.judge.clears(Share::from_basis_points(1_000)));
    bench.judge.open_step(Time::from_secs(bench.time));
    assert!(!bench.judge.clears(Share::from_basis_points(1_000)));
    assert_eq!(bench.judge.summary().calls, 500);
}
