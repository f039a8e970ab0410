//! Tests of the soak's schedules and of its detection of violated invariants.

use std::collections::BTreeSet;
use std::time::Duration;
use sycamore_bench::load::{Ended, Record};
use sycamore_bench::soak::{schedule, Invariants};
use sycamore_bench::witness::{Ledger, UpstreamEvent, UpstreamEventKind};

/// Time over which the events of a schedule are spread.
const TIME: Duration = Duration::from_secs(20);

fn instances() -> Vec<String> {
    ["counter-1", "counter-2", "intake-1"].map(String::from).into()
}

/// Guards against soaks that can't be repeated, or that don't differ between seeds.
#[test]
fn the_seed_determines_the_schedule() {
    let plan = |seed| schedule::plan(seed, TIME, &instances());
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

/// Guards against a schedule that never combines faults, leaves a kind out or outlasts its time.
#[test]
fn schedules_overlap_events_and_include_every_kind() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..50 {
        let plan = schedule::plan(seed, TIME, &instances());
        overlaps += plan.windows(2).filter(|two| two[0].at + two[0].lasts > two[1].at).count();
        let name = |action| format!("{action:?}").split(['(', ' ']).next().unwrap_or("").to_owned();
        kinds.extend(plan.iter().map(|event| name(event.action)));
        assert!(plan.iter().all(|event| event.at + event.lasts <= TIME));
    }
    assert!(overlaps > 200, "{overlaps}");
    assert_eq!(kinds.len(), 17, "{kinds:?}");
}

/// Creates the record of a non-idempotent call that ended as `ended`, 10 ms after it was sent.
fn record(ended: Ended) -> Record {
    Record {
        token: "one".into(),
        kind: 0,
        idempotent: false,
        sendings: 1,
        addr: Some(([127, 0, 0, 1], 7500).into()),
        sent_us: 1_000_000,
        latency: Duration::from_millis(10),
        ended,
        status: None,
        reason: None,
        retry_after: None,
        instance: None,
        version: None,
        leaving: false,
        detail: String::new(),
        attempts: 1,
    }
}

/// Creates a ledger in which the call of [`record`] began `times` times.
fn ran(times: usize) -> Ledger {
    let start = UpstreamEvent {
        kind: UpstreamEventKind::Start,
        at_us: 1_000_500,
        instance: "counter-1".into(),
        service: "counter".into(),
        version: "1.0.0".into(),
        token: "one".into(),
        path: "/counter/entries".into(),
    };
    Ledger::new(vec![start; times])
}

/// Returns the names of the violated invariants.
fn violation_names(invariants: &Invariants) -> Vec<&'static str> {
    invariants.violations().into_iter().map(|(name, _)| name).collect()
}

/// Guards against a violation of an invariant that the soak doesn't report, or reports under another name.
#[test]
fn each_violation_is_reported_by_name() {
    let violations_of = |record: Record, ledger: &Ledger| {
        let invariants = Invariants::default();
        invariants.record_call(&record);
        invariants.check_calls(ledger);
        violation_names(&invariants)
    };
    assert!(violations_of(record(Ended::Ok), &ran(1)).is_empty());
    assert_eq!(violations_of(record(Ended::Ok), &ran(2)), ["ran twice"]);
    assert_eq!(violations_of(record(Ended::Refused), &ran(1)), ["not run, and ran"]);
    assert_eq!(violations_of(record(Ended::Wrong), &ran(1)), ["another's answer"]);
    assert_eq!(violations_of(record(Ended::Short), &ran(1)), ["answer not whole"]);
    let late = Record { latency: Duration::from_secs(3), ..record(Ended::Unknown) };
    assert_eq!(violations_of(late, &ran(1)), ["answer late"]);
}

/// Guards against late answers that are excused by a fault which had ended before the call or began
/// after it.
#[test]
fn a_late_answer_is_excused_only_during_a_fault_at_its_node() {
    let late = Record { latency: Duration::from_secs(3), ..record(Ended::Unknown) };
    let addr = late.addr.expect("an address");
    let violations_of = |from_us, to_us| {
        let invariants = Invariants::default();
        invariants.begin_disturbance(addr, from_us);
        invariants.end_disturbance(addr, to_us);
        invariants.record_call(&late);
        invariants.check_calls(&ran(1));
        violation_names(&invariants)
    };
    assert!(violations_of(900_000, 1_100_000).is_empty());
    assert_eq!(violations_of(100_000, 900_000), ["answer late"]);
    assert_eq!(violations_of(5_000_000, 6_000_000), ["answer late"]);
}

/// Guards against a late answer that is excused by a silenced connection, on which no answer can
/// arrive at all.
#[test]
fn a_silenced_connection_excuses_only_calls_without_an_answer() {
    let violations_of = |ended| {
        let late = Record { latency: Duration::from_secs(3), ..record(ended) };
        let invariants = Invariants::default();
        invariants.begin_silence(late.addr.expect("an address"), 500_000);
        invariants.record_call(&late);
        invariants.check_calls(&ran(1));
        violation_names(&invariants)
    };
    assert!(violations_of(Ended::TimedOut).is_empty());
    assert_eq!(violations_of(Ended::Unknown), ["answer late"]);
}

/// Guards against calls to an upstream after its leave that the soak doesn't report, and against an
/// excuse by a fault at another node or before the leave.
#[test]
fn a_call_after_a_reported_leave_is_excused_only_by_a_fault_at_its_node_since_then() {
    let answer = Record {
        token: "zero".into(),
        leaving: true,
        instance: Some("counter-1".into()),
        ..record(Ended::Ok)
    };
    let late = Record { sent_us: 4_000_000, ..record(Ended::Ok) };
    let addr = late.addr.expect("an address");
    let mut run = ran(1).events()[0].clone();
    run.at_us = 4_000_100;
    let reported = UpstreamEvent { at_us: 1_000_500, token: "zero".into(), ..run.clone() };
    let up_at = |at_us| UpstreamEvent { kind: UpstreamEventKind::Up, at_us, ..run.clone() };
    let violations_of = |late: &Record, fault: Option<(u64, u64)>, up_us| {
        let invariants = Invariants::default();
        if let Some((from_us, to_us)) = fault {
            invariants.begin_disturbance(addr, from_us);
            invariants.end_disturbance(addr, to_us);
        }
        invariants.record_call(&answer);
        invariants.record_call(late);
        let events = vec![up_at(up_us), reported.clone(), run.clone()];
        invariants.check_leaves(&Ledger::new(events));
        violation_names(&invariants)
    };
    let violation = ["work after a reported leave"];
    assert_eq!(violations_of(&late, None, 0), violation);
    assert_eq!(violations_of(&late, Some((0, 900_000)), 0), violation);
    assert!(violations_of(&late, Some((2_000_000, 2_500_000)), 0).is_empty());
    assert!(violations_of(&late, None, 3_000_000).is_empty(), "another process");
    assert!(violations_of(&late, None, 1_005_000).is_empty(), "before the answer arrived");
    let soon = Record { sent_us: 2_500_000, ..late.clone() };
    assert!(violations_of(&soon, None, 0).is_empty());
    let other = Record { addr: Some(([127, 0, 0, 2], 7500).into()), ..late };
    assert!(violations_of(&other, None, 0).is_empty());
}
