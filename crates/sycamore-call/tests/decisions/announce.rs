//! Announcements that are late, reordered, of an earlier start or under a name that is used again.

use sycamore_call::announce::{AnnouncementLog, Heard, ProcessRef};
use sycamore_types::prelude::*;

fn process(name: &str, started: u64) -> ProcessRef<'_> {
    ProcessRef { name: Some(name), started: Some(WallTime(started)) }
}

#[test]
fn late_and_repeated_announcements_change_nothing() {
    let mut log = AnnouncementLog::default();
    assert_eq!(log.announced(process("i-1", 100), Some(4)), Heard::Current);
    assert_eq!(log.announced(process("i-1", 100), Some(3)), Heard::Repeated);
    assert_eq!(log.announced(process("i-1", 100), Some(4)), Heard::Repeated);
    assert_eq!(log.announced(process("i-1", 100), Some(5)), Heard::Current);
}

#[test]
fn an_earlier_start_says_nothing_after_a_later_one() {
    let mut log = AnnouncementLog::default();
    log.announced(process("i-2", 200), Some(1));
    assert_eq!(log.announced(process("i-1", 100), Some(90)), Heard::Earlier);
    assert_eq!(log.left(process("i-1", 100)), Heard::Earlier);
    assert_eq!(log.announced(process("i-2", 200), Some(2)), Heard::Current);
}

#[test]
fn a_name_that_is_used_again_counts_anew() {
    let mut log = AnnouncementLog::default();
    log.announced(process("i-1", 100), Some(90));
    log.left(process("i-1", 100));
    assert_eq!(log.announced(process("i-1", 300), Some(1)), Heard::Current);
    assert_eq!(log.announced(process("i-1", 100), Some(91)), Heard::Earlier);
}

#[test]
fn a_leave_binds_against_later_announcements_of_the_same_start() {
    let mut log = AnnouncementLog::default();
    log.announced(process("i-1", 100), Some(1));
    assert_eq!(log.left(process("i-1", 100)), Heard::Current);
    assert_eq!(log.announced(process("i-1", 100), Some(2)), Heard::Repeated);
}

#[test]
fn a_leave_without_a_time_binds_the_process_that_it_names_only() {
    let mut log = AnnouncementLog::default();
    log.announced(process("i-2", 200), Some(1));
    let unknown = ProcessRef { name: Some("i-1"), started: None };
    assert_eq!(log.left(unknown), Heard::Earlier);
    let named = ProcessRef { name: Some("i-2"), started: None };
    assert_eq!(log.left(named), Heard::Current);
}
