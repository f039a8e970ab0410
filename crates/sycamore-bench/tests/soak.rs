//! What the soak draws, and that it sees broken promises.

use std::collections::BTreeSet;
use std::time::Duration;
use sycamore_bench::load::{Ended, Record};
use sycamore_bench::soak::{schedule, Invariants};
use sycamore_bench::witness::{Ledger, Sighting, SightingKind};

const TIME: Duration = Duration::from_secs(20);

fn instances() -> Vec<String> {
    ["counter-1", "counter-2", "intake-1"].map(String::from).into()
}

#[test]
fn a_seed_always_draws_the_same_and_another_draws_otherwise() {
    let plan = |seed| schedule::plan(seed, TIME, &instances());
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

#[test]
fn events_overlap_and_every_kind_is_drawn() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..50 {
        let plan = schedule::plan(seed, TIME, &instances());
        overlaps += plan.windows(2).filter(|two| two[0].at + two[0].lasts > two[1].at).count();
        let name = |deed| format!("{deed:?}").split(['(', ' ']).next().unwrap_or("").to_owned();
        kinds.extend(plan.iter().map(|event| name(event.action)));
        assert!(plan.iter().all(|event| event.at + event.lasts <= TIME));
    }
    assert!(overlaps > 200, "{overlaps}");
    assert_eq!(kinds.len(), 11, "{kinds:?}");
}

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
        detail: String::new(),
        attempts: 1,
    }
}

fn ran(times: usize) -> Ledger {
    let start = Sighting {
        kind: SightingKind::Start,
        at_us: 1_000_500,
        instance: "counter-1".into(),
        service: "counter".into(),
        version: "1.0.0".into(),
        token: "one".into(),
        path: "/counter/entries".into(),
    };
    Ledger::new(vec![start; times])
}

fn names(promises: &Invariants) -> Vec<&'static str> {
    promises.breaches().into_iter().map(|(name, _)| name).collect()
}

#[test]
fn each_broken_promise_is_named() {
    let judged = |record: Record, ledger: &Ledger| {
        let promises = Invariants::default();
        promises.record_call(&record);
        promises.check_calls(ledger);
        names(&promises)
    };
    assert!(judged(record(Ended::Ok), &ran(1)).is_empty());
    assert_eq!(judged(record(Ended::Ok), &ran(2)), ["ran twice"]);
    assert_eq!(judged(record(Ended::Refused), &ran(1)), ["not run, and ran"]);
    assert_eq!(judged(record(Ended::Wrong), &ran(1)), ["another's answer"]);
    assert_eq!(judged(record(Ended::Short), &ran(1)), ["answer not whole"]);
    let late = Record { latency: Duration::from_secs(3), ..record(Ended::Unknown) };
    assert_eq!(judged(late, &ran(1)), ["answer late"]);
}

#[test]
fn an_answer_may_be_late_only_while_something_disturbs_its_callers() {
    let late = Record { latency: Duration::from_secs(3), ..record(Ended::Unknown) };
    let addr = late.addr.expect("an address");
    let judged = |from_us, to_us| {
        let promises = Invariants::default();
        promises.begin_disturbance(addr, from_us);
        promises.end_disturbance(addr, to_us);
        promises.record_call(&late);
        promises.check_calls(&ran(1));
        names(&promises)
    };
    assert!(judged(900_000, 1_100_000).is_empty());
    assert_eq!(judged(100_000, 900_000), ["answer late"]);
    assert_eq!(judged(5_000_000, 6_000_000), ["answer late"]);
}

#[test]
fn a_silent_connection_excuses_calls_without_any_answer_only() {
    let judged = |ended| {
        let late = Record { latency: Duration::from_secs(3), ..record(ended) };
        let promises = Invariants::default();
        promises.begin_silence(late.addr.expect("an address"), 500_000);
        promises.record_call(&late);
        promises.check_calls(&ran(1));
        names(&promises)
    };
    assert!(judged(Ended::TimedOut).is_empty());
    assert_eq!(judged(Ended::Unknown), ["answer late"]);
}
