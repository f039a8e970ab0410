//! Tests of the ordering of announcements that are late, repeated, of an earlier process or under a
//! reused name.

use sycamore_call::announce::{AnnouncementLog, MessageOrder, ProcessRef};
use sycamore_types::prelude::*;

fn process(name: &str, started: u64) -> ProcessRef<'_> {
    ProcessRef { name: Some(name), started: Some(WallTime(started)) }
}

/// Guards against applying an announcement that a newer one of the same process has replaced.
#[test]
fn late_and_repeated_announcements_are_ignored() {
    let mut log = AnnouncementLog::default();
    assert_eq!(log.record_announcement(process("i-1", 100), Some(4)), MessageOrder::Current);
    assert_eq!(log.record_announcement(process("i-1", 100), Some(3)), MessageOrder::Repeated);
    assert_eq!(log.record_announcement(process("i-1", 100), Some(4)), MessageOrder::Repeated);
    assert_eq!(log.record_announcement(process("i-1", 100), Some(5)), MessageOrder::Current);
}

/// Guards against a delayed message of the previous process that replaces or drains the current
/// one.
#[test]
fn messages_of_an_earlier_process_are_ignored() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-2", 200), Some(1));
    assert_eq!(log.record_announcement(process("i-1", 100), Some(90)), MessageOrder::Earlier);
    assert_eq!(log.record_leave(process("i-1", 100)), MessageOrder::Earlier);
    assert_eq!(log.record_announcement(process("i-2", 200), Some(2)), MessageOrder::Current);
}

/// Guards against comparing the sequence numbers of two processes because the later one reuses the
/// name.
#[test]
fn a_reused_name_starts_a_new_process() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-1", 100), Some(90));
    log.record_leave(process("i-1", 100));
    assert_eq!(log.record_announcement(process("i-1", 300), Some(1)), MessageOrder::Current);
    assert_eq!(log.record_announcement(process("i-1", 100), Some(91)), MessageOrder::Earlier);
}

/// Guards against a late announcement that revives an upstream after its leave message.
#[test]
fn a_process_that_left_cannot_announce_itself_again() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-1", 100), Some(1));
    assert_eq!(log.record_leave(process("i-1", 100)), MessageOrder::Current);
    assert_eq!(log.record_announcement(process("i-1", 100), Some(2)), MessageOrder::Repeated);
}

/// Guards against draining the current upstream for the leave message of another process.
#[test]
fn a_leave_without_a_start_time_applies_only_to_the_named_process() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-2", 200), Some(1));
    let unknown = ProcessRef { name: Some("i-1"), started: None };
    assert_eq!(log.record_leave(unknown), MessageOrder::Earlier);
    let named = ProcessRef { name: Some("i-2"), started: None };
    assert_eq!(log.record_leave(named), MessageOrder::Current);
}
