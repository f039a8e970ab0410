//! Requests that crash upstreams.

use sycamore_call::quarantine::Verdict;
use sycamore_call::{CrashLog, CrashLogConfig};
use sycamore_types::prelude::*;

const POISON: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

fn log() -> CrashLog {
    CrashLog::new(CrashLogConfig::default())
}

fn condemned(facts: &[Fact]) -> Vec<Fingerprint> {
    let condemned = facts.iter().filter_map(|fact| match fact {
        Fact::Quarantined { fingerprint, .. } => Some(*fingerprint),
        _ => None,
    });
    condemned.collect()
}

#[test]
fn the_second_crash_condemns_wherever_it_happens() {
    let (mut here, mut there) = (log(), log());
    let first = here.crashed(WallTime(0), 100, &[POISON, INNOCENT]);
    assert_eq!(condemned(&first), []);
    first.iter().for_each(|fact| drop(there.learn(WallTime(1), fact)));
    assert_eq!(there.verdict(WallTime(1), POISON), Verdict::Suspect);
    let second = there.crashed(WallTime(2), 200, &[POISON]);
    assert_eq!(condemned(&second), [POISON]);
    let until = WallTime(2 + 600_000);
    assert_eq!(there.verdict(WallTime(3), POISON), Verdict::Quarantined(until));
    second.iter().for_each(|fact| drop(here.learn(WallTime(4), fact)));
    assert_eq!(here.verdict(WallTime(5), POISON), Verdict::Quarantined(until));
    assert_eq!(here.verdict(WallTime(5), INNOCENT), Verdict::Suspect);
}

#[test]
fn crashes_seen_at_two_nodes_condemn_at_a_third() {
    let mut third = log();
    let seen = |crash| Fact::CrashSeen { fingerprint: POISON, crash, until: WallTime(1_000) };
    assert_eq!(third.learn(WallTime(0), &seen(1)), None);
    assert_eq!(third.learn(WallTime(0), &seen(1)), None, "the same crash twice is one");
    assert!(third.learn(WallTime(0), &seen(2)).is_some());
    assert_eq!(third.learn(WallTime(0), &seen(3)), None, "it is condemned once");
}

#[test]
fn the_quarantine_ends_with_a_clean_record() {
    let mut log = log();
    log.crashed(WallTime(0), 1, &[POISON]);
    log.crashed(WallTime(1), 2, &[POISON]);
    let end = WallTime(600_001);
    assert_eq!(log.verdict(WallTime(600_000), POISON), Verdict::Quarantined(end));
    assert_eq!(log.verdict(end, POISON), Verdict::Clear);
    let facts = log.crashed(end, 3, &[POISON]);
    assert_eq!(condemned(&facts), [], "it takes two crashes again");
}

#[test]
fn a_request_that_completed_is_not_named() {
    let mut log = log();
    log.completed(INNOCENT);
    log.crashed(WallTime(0), 1, &[POISON, INNOCENT]);
    assert_eq!(log.verdict(WallTime(1), INNOCENT), Verdict::Clear);
    assert_eq!(log.verdict(WallTime(1), POISON), Verdict::Suspect);
}

#[test]
fn a_suspect_that_completes_is_cleared() {
    let mut log = log();
    log.crashed(WallTime(0), 1, &[POISON, INNOCENT]);
    log.completed(INNOCENT);
    assert_eq!(log.verdict(WallTime(1), INNOCENT), Verdict::Clear);
}

#[test]
fn the_only_suspect_in_flight_is_the_one_named() {
    let mut log = log();
    log.crashed(WallTime(0), 1, &[POISON]);
    let facts = log.crashed(WallTime(1), 2, &[POISON, INNOCENT]);
    assert_eq!(condemned(&facts), [POISON]);
    assert_eq!(log.verdict(WallTime(2), INNOCENT), Verdict::Clear);
}

#[test]
fn tables_are_bounded() {
    let config = CrashLogConfig { entries: 10, ..CrashLogConfig::default() };
    let mut log = CrashLog::new(config);
    for i in 0..1_000 {
        log.completed(Fingerprint(i));
        log.crashed(WallTime(0), i, &[Fingerprint(10_000 + i)]);
    }
    let suspects = (0..1_000)
        .filter(|i| log.verdict(WallTime(1), Fingerprint(10_000 + i)) == Verdict::Suspect)
        .count();
    assert_eq!(suspects, 10);
}
