//! Tests of the quarantine of requests that crash upstreams.

use sycamore_call::quarantine::Verdict;
use sycamore_call::{CrashLog, CrashLogConfig};
use sycamore_types::prelude::*;

const POISON: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);

fn log() -> CrashLog {
    CrashLog::new(CrashLogConfig::default())
}

fn quarantined(facts: &[Fact]) -> Vec<Fingerprint> {
    let quarantined = facts.iter().filter_map(|fact| match fact {
        Fact::Quarantined { fingerprint, .. } => Some(*fingerprint),
        _ => None,
    });
    quarantined.collect()
}

/// Guards against counting crashes per node, so that a request could crash one upstream after
/// another.
#[test]
fn a_second_crash_at_another_node_quarantines_the_request() {
    let (mut here, mut there) = (log(), log());
    let first = here.record_crash(WallTime(0), 100, &[POISON, HARMLESS]);
    assert_eq!(quarantined(&first), []);
    first.iter().for_each(|fact| drop(there.learn(WallTime(1), fact)));
    assert_eq!(there.verdict(WallTime(1), POISON), Verdict::Suspect);
    let second = there.record_crash(WallTime(2), 200, &[POISON]);
    assert_eq!(quarantined(&second), [POISON]);
    let until = WallTime(2 + 600_000);
    assert_eq!(there.verdict(WallTime(3), POISON), Verdict::Quarantined(until));
    second.iter().for_each(|fact| drop(here.learn(WallTime(4), fact)));
    assert_eq!(here.verdict(WallTime(5), POISON), Verdict::Quarantined(until));
    assert_eq!(here.verdict(WallTime(5), HARMLESS), Verdict::Suspect);
}

/// Guards against depending on the nodes with the crashes to raise the quarantine, and against
/// counting a repeated report twice.
#[test]
fn a_third_node_quarantines_after_two_reported_crashes() {
    let mut third = log();
    let seen = |crash| Fact::CrashSeen { fingerprint: POISON, crash, until: WallTime(1_000) };
    assert_eq!(third.learn(WallTime(0), &seen(1)), None);
    assert_eq!(third.learn(WallTime(0), &seen(1)), None, "the same crash twice is one");
    assert!(third.learn(WallTime(0), &seen(2)).is_some());
    assert_eq!(third.learn(WallTime(0), &seen(3)), None, "the quarantine is raised once");
}

/// Guards against a new quarantine after a single further crash, and against one that doesn't end.
#[test]
fn a_request_has_a_clean_record_after_its_quarantine() {
    let mut log = log();
    log.record_crash(WallTime(0), 1, &[POISON]);
    log.record_crash(WallTime(1), 2, &[POISON]);
    let end = WallTime(600_001);
    assert_eq!(log.verdict(WallTime(600_000), POISON), Verdict::Quarantined(end));
    assert_eq!(log.verdict(end, POISON), Verdict::Clear);
    let facts = log.record_crash(end, 3, &[POISON]);
    assert_eq!(quarantined(&facts), [], "it takes two crashes again");
}

/// Guards against suspecting a harmless request because it was in flight at a crash.
#[test]
fn a_request_that_completed_before_is_not_suspected() {
    let mut log = log();
    log.record_completion(HARMLESS);
    log.record_crash(WallTime(0), 1, &[POISON, HARMLESS]);
    assert_eq!(log.verdict(WallTime(1), HARMLESS), Verdict::Clear);
    assert_eq!(log.verdict(WallTime(1), POISON), Verdict::Suspect);
}

/// Guards against keeping a request under suspicion after it ran without a crash.
#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut log = log();
    log.record_crash(WallTime(0), 1, &[POISON, HARMLESS]);
    log.record_completion(HARMLESS);
    assert_eq!(log.verdict(WallTime(1), HARMLESS), Verdict::Clear);
}

/// Guards against suspecting the other requests in flight when a known suspect explains the crash.
#[test]
fn a_crash_counts_against_the_only_suspect_in_flight() {
    let mut log = log();
    log.record_crash(WallTime(0), 1, &[POISON]);
    let facts = log.record_crash(WallTime(1), 2, &[POISON, HARMLESS]);
    assert_eq!(quarantined(&facts), [POISON]);
    assert_eq!(log.verdict(WallTime(2), HARMLESS), Verdict::Clear);
}

/// Guards against unbounded memory when many different requests are in flight at crashes.
#[test]
fn the_number_of_suspects_is_bounded() {
    let config = CrashLogConfig { entries: 10, ..CrashLogConfig::default() };
    let mut log = CrashLog::new(config);
    for i in 0..1_000 {
        log.record_completion(Fingerprint(i));
        log.record_crash(WallTime(0), i, &[Fingerprint(10_000 + i)]);
    }
    let suspects = (0..1_000)
        .filter(|i| log.verdict(WallTime(1), Fingerprint(10_000 + i)) == Verdict::Suspect)
        .count();
    assert_eq!(suspects, 10);
}
