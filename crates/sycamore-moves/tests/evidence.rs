//! Tests of merging, encoding and collecting evidence.

mod support;

use quickcheck::{quickcheck, Arbitrary, Gen};
use std::time::Duration;
use support::id;
use sycamore_moves::evidence::{
    decode, encode, Cell, Collector, CollectorOptions, Counts, Histogram, Ledger, Report, Source,
    CALLER_BUCKETS, MAX_CELLS,
};
use sycamore_types::prelude::*;

/// Arbitrary report of one of four processes, whose counters grow with its sequence number.
#[derive(Debug, Clone)]
struct AnyReport(Report);

impl Arbitrary for AnyReport {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = *g.choose(&["a", "b"]).expect("not empty");
        let seq = u64::from(u8::arbitrary(g) % 8);
        let mut report = support::report("m", instance, "2", seq, seq * 10, seq);
        report.incarnation = Incarnation(u64::from(u8::arbitrary(g) % 2));
        report.totals.crashes = seq;
        report.totals.callers[usize::try_from(seq).expect("small") % CALLER_BUCKETS].calls = seq;
        report.confirmed = seq > 6;
        AnyReport(report)
    }
}

fn ledger(reports: &[AnyReport]) -> Ledger {
    let mut ledger = Ledger::default();
    for report in reports {
        ledger.merge(report.0.clone());
    }
    ledger
}

fn merged(a: &Ledger, b: &Ledger) -> Ledger {
    let mut sum = a.clone();
    sum.merge_all(b);
    sum
}

quickcheck! {
    fn merging_is_commutative(a: Vec<AnyReport>, b: Vec<AnyReport>) -> bool {
        merged(&ledger(&a), &ledger(&b)) == merged(&ledger(&b), &ledger(&a))
    }

    fn merging_is_associative(a: Vec<AnyReport>, b: Vec<AnyReport>, c: Vec<AnyReport>) -> bool {
        let (a, b, c) = (ledger(&a), ledger(&b), ledger(&c));
        merged(&merged(&a, &b), &c) == merged(&a, &merged(&b, &c))
    }

    fn merging_is_idempotent(a: Vec<AnyReport>) -> bool {
        merged(&ledger(&a), &ledger(&a)) == ledger(&a)
    }

    fn duplicates_and_reordering_are_harmless(a: Vec<AnyReport>) -> bool {
        let mut shuffled: Vec<_> = a.iter().rev().chain(&a).cloned().collect();
        shuffled.rotate_left(a.len() / 2);
        ledger(&a) == ledger(&shuffled)
    }

    fn a_decoded_report_equals_the_encoded_one(report: AnyReport) -> bool {
        decode(&encode(&report.0)).as_ref() == Ok(&report.0)
    }

    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let _ = decode(&bytes);
        true
    }

    fn a_latency_longer_by_a_fifth_is_at_most_two_buckets_higher(micros: u32) -> bool {
        let latency = Duration::from_micros(u64::from(micros));
        let longer = latency.mul_f64(1.2);
        Histogram::bucket(latency) <= Histogram::bucket(longer)
            && Histogram::bucket(longer) <= Histogram::bucket(latency) + 2
    }
}

fn member() -> Member {
    Member {
        instance: id("n1"),
        incarnation: Incarnation(1),
        state: MemberState::Serving,
        service: id("counter"),
        version: id("2"),
        data_centre: id("dc1"),
        region: id("r1"),
        endpoints: Endpoints {
            peer: ([127, 0, 0, 1], 1).into(),
            relay: ([127, 0, 0, 1], 2).into(),
        },
        slots: 10,
        left: None,
    }
}

fn call(kind: OutcomeKind, cold: bool) -> CallOutcome {
    CallOutcome {
        service: id("counter"),
        version: id("2"),
        route: id("tickets"),
        caller: 5,
        kind,
        latency: Duration::from_millis(10),
        cold,
    }
}

fn collector() -> Collector {
    Collector::new(id("m"), &member(), CollectorOptions::default(), Time(0))
}

#[test]
fn cold_calls_are_counted_separately_and_cancelled_ones_not_at_all() {
    let mut collector = collector();
    collector.record(Time::from_millis(1), &call(OutcomeKind::Failed, true));
    collector.record(Time::from_millis(2), &call(OutcomeKind::Cancelled, false));
    collector.record(Time::from_millis(3), &call(OutcomeKind::Ok, false));
    let totals = collector.report(Time::from_millis(4), false).expect("changed").totals;
    assert_eq!((totals.cold, totals.answered(), totals.failed()), (1, 1, 0));
}

/// A crash breaks all calls in flight at once; counted singly, one crash would condemn a version.
#[test]
fn a_burst_of_broken_calls_counts_as_one_failure() {
    let mut collector = collector();
    for _ in 0..12 {
        collector.record(Time::from_millis(10), &call(OutcomeKind::Broken, false));
    }
    let totals = collector.report(Time::from_millis(20), false).expect("changed").totals;
    assert_eq!(totals.failed(), 1);
}

#[test]
fn calls_that_break_over_several_periods_all_count() {
    let mut collector = collector();
    for tenth in 0..50 {
        collector.record(Time::from_millis(tenth * 100), &call(OutcomeKind::Broken, false));
    }
    let totals = collector.report(Time::from_secs(5), false).expect("changed").totals;
    assert!(totals.failed() >= 40, "{}", totals.failed());
}

#[test]
fn a_report_is_made_only_after_a_change() {
    let mut collector = collector();
    assert!(collector.report(Time(0), false).is_some());
    assert!(collector.report(Time(0), false).is_none());
    assert!(collector.report(Time(0), true).expect("changed").confirmed);
    let again = collector.repeat();
    assert_eq!(again.seq, 3);
}

quickcheck! {
    fn totals_since_an_earlier_state_are_what_was_added(a: AnyReport, b: AnyReport) -> bool {
        let mut sum = a.0.totals.clone();
        sum.add_all(&b.0.totals);
        sum.since(&a.0.totals).answered() == b.0.totals.answered()
            && sum.since(&a.0.totals).crashes == b.0.totals.crashes
    }
}

/// Report of the process `n{process}` with the counters of `routes` routes.
fn report_of(process: usize, routes: usize, seq: u64) -> Report {
    let mut report = support::report("m", &format!("n{process}"), "2", seq, 0, 0);
    let cells = (0..routes).map(|route| Cell { route: id(&format!("r{route}")), band: 0 });
    report.totals.cells =
        cells.map(|cell| (cell, Counts { ok: seq, ..Counts::default() })).collect();
    report
}

fn source(process: usize) -> Source {
    Source { instance: id(&format!("n{process}")), incarnation: Incarnation(1) }
}

/// A process without a report never confirms, so the move of a large service is never done.
#[test]
fn every_process_of_the_largest_fleet_has_its_report() {
    let mut ledger = Ledger::default();
    for process in 0..4_096 {
        ledger.merge(Report { confirmed: true, ..report_of(process, 4, 1) });
    }
    let missing = (0..4_096).filter(|process| ledger.report_of(&source(*process)).is_none());
    assert_eq!(missing.count(), 0, "processes without a report");
    assert_eq!(ledger.totals(&id("2")).answered(), 4 * 4_096);
}

/// Reports with as many routes as they may have must not fill a merging node's memory, and a process
/// whose routes have no room left must still be able to confirm.
#[test]
fn the_routes_of_all_reports_are_bounded_but_not_the_processes() {
    let mut ledger = Ledger::default();
    for process in 0..1_024 {
        ledger.merge(report_of(process, MAX_CELLS, 1));
    }
    for process in 0..1_024 {
        ledger.merge(Report { confirmed: true, ..report_of(process, MAX_CELLS, 2) });
    }
    let cells: usize = ledger.reports().map(|report| report.totals.cells.len()).sum();
    assert_eq!(cells, 256 * MAX_CELLS);
    assert!((0..1_024).all(|process| ledger.report(&source(process)).expect("kept").confirmed));
    assert_eq!(ledger.totals(&id("2")).answered(), 2 * cells as u64, "of the newest reports");
}

/// Calls of routes beyond the limit must not vanish: nothing would tell that a version's evidence
/// lacks them.
#[test]
fn calls_of_routes_beyond_the_limit_are_numbered() {
    let mut collector = collector();
    for route in 0..MAX_CELLS + 3 {
        let route = id(&format!("r{route}"));
        collector.record(Time(0), &CallOutcome { route, ..call(OutcomeKind::Ok, false) });
    }
    let totals = collector.report(Time(1), false).expect("changed").totals;
    assert_eq!((totals.cells.len(), collector.without_cell()), (MAX_CELLS, 3));
    assert_eq!(totals.callers[5].calls, MAX_CELLS as u64 + 3, "by caller");
}
