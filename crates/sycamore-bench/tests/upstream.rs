//! Emulated upstream under direct load, and the violations that its ledger shows.

use futures::future::{select, Either};
use futures::FutureExt;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use sycamore_bench::http;
use sycamore_bench::load::{self, CallKind, Ended, Tally, Target};
use sycamore_bench::stand_in::upstream::{self, Slots};
use sycamore_bench::witness::{Ledger, UpstreamEvent, UpstreamEventKind, Witness};
use sycamore_testing::unused_addr;

/// Runs `load` directly on one upstream for a second; returns the callers' tally and the ledger of
/// what ran.
fn load_upstream(options: upstream::Options, load: load::Options) -> (Tally, Ledger) {
    http::run(async move {
        let witness = Witness::start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let addr = unused_addr();
        let options = upstream::Options { listen: addr, witness: Some(witness.addr()), ..options };
        let targets = vec![Target { prefix: "/".into(), addrs: vec![addr] }];
        let load = load::Options { targets, time: Duration::from_secs(1), ..load };
        let tally = match select(pin!(load::run(&load)), pin!(upstream::run(options))).await {
            Either::Left((tally, _)) => tally,
            Either::Right((ended, _)) => panic!("the upstream ended: {ended:?}"),
        };
        (tally, witness.ledger().await)
    })
}

/// Guards against an upstream that mixes up or truncates answers, and against runs that are missing
/// from the ledger or counted twice.
#[test]
fn every_call_gets_its_own_complete_answer_and_one_run_in_the_ledger() {
    let mut kinds = vec![CallKind::lookup("counter"), CallKind::booking("counter")];
    kinds.extend(load::photos("counter"));
    let load = load::Options { kinds, rate: 100.0, ..load::Options::default() };
    let (tally, ledger) = load_upstream(upstream::Options::default(), load);
    assert!(tally.records().len() > 20);
    assert_eq!(tally.count(Ended::Ok), tally.records().len(), "{tally}");
    assert_eq!(tally.violations(&ledger).total(), 0);
    assert_eq!(ledger.runs().len(), tally.records().len());
}

/// Guards against a refusal for load of a call that the upstream runs nevertheless.
#[test]
fn calls_shed_for_load_do_not_run() {
    let options = upstream::Options {
        slots: 1,
        queue: 0,
        work: Duration::from_millis(50),
        ..upstream::Options::default()
    };
    let kinds = vec![CallKind::booking("counter")];
    let load = load::Options { kinds, rate: 200.0, ..load::Options::default() };
    let (tally, ledger) = load_upstream(options, load);
    assert!(tally.count(Ended::Refused) > 0, "{tally}");
    assert_eq!(tally.count(Ended::Refused), ledger.count(UpstreamEventKind::Shed));
    assert_eq!(tally.violations(&ledger).total(), 0);
}

fn event(kind: UpstreamEventKind, at_us: u64, token: &str) -> UpstreamEvent {
    UpstreamEvent {
        kind,
        at_us,
        instance: "counter-1".into(),
        service: "counter".into(),
        version: "1".into(),
        token: token.into(),
        path: "/".into(),
    }
}

/// Guards against a second run, or a run of a refused call, that is not counted as a violation;
/// both are added to the ledger by hand.
#[test]
fn a_second_run_and_a_run_of_a_refused_call_are_violations() {
    let options = upstream::Options { slots: 1, queue: 0, ..upstream::Options::default() };
    let kinds = vec![CallKind::booking("counter")];
    let load = load::Options { kinds, rate: 300.0, ..load::Options::default() };
    let (tally, ledger) = load_upstream(options, load);
    let ended = |ended| tally.records().iter().find(|r| r.ended == ended).unwrap().token.clone();
    let mut events = ledger.events().to_vec();
    events.push(event(UpstreamEventKind::Start, 1, &ended(Ended::Ok)));
    events.push(event(UpstreamEventKind::Start, 2, &ended(Ended::Refused)));
    let violations = tally.violations(&Ledger::new(events));
    assert_eq!((violations.ran_twice, violations.false_not_run), (1, 1));
}

/// Guards against late runs on a draining upstream that are not counted, and against runs after its
/// restart that are.
#[test]
fn runs_after_a_drain_are_counted_until_the_restart() {
    let ledger = Ledger::new(vec![
        event(UpstreamEventKind::Drain, 1_000, ""),
        event(UpstreamEventKind::Start, 2_000, "early"),
        event(UpstreamEventKind::Start, 9_000, "late"),
        event(UpstreamEventKind::Up, 10_000, ""),
        event(UpstreamEventKind::Start, 20_000, "new"),
    ]);
    assert_eq!(ledger.runs_after_drain(3_000), 1);
}

/// Guards against a cancelled call that keeps its slot or its place in the queue.
#[test]
fn slots_are_granted_in_order_and_freed_when_dropped() {
    let slots = Slots::new(1, 2);
    let first = slots.take().now_or_never().unwrap().ok().unwrap();
    let mut second = slots.take();
    let mut third = slots.take();
    assert!((&mut second).now_or_never().is_none());
    assert!((&mut third).now_or_never().is_none());
    assert!(slots.take().now_or_never().unwrap().is_err(), "the queue is full");
    drop(first);
    assert!((&mut third).now_or_never().is_none(), "the second is before it");
    drop(second);
    assert!(third.now_or_never().unwrap().is_ok());
    assert_eq!((slots.taken(), slots.queued()), (0, 0));
}
