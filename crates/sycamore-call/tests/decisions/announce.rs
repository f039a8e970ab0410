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
    assert_eq!(log.record_announcement(process("i-1", 100), Some(4), false), MessageOrder::Current);
    assert_eq!(
        log.record_announcement(process("i-1", 100), Some(3), false),
        MessageOrder::Repeated
    );
    assert_eq!(
        log.record_announcement(process("i-1", 100), Some(4), false),
        MessageOrder::Repeated
    );
    assert_eq!(log.record_announcement(process("i-1", 100), Some(5), false), MessageOrder::Current);
}

/// Guards against a delayed message of the previous process that replaces or drains the current
/// one.
#[test]
fn messages_of_an_earlier_process_are_ignored() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-2", 200), Some(1), false);
    assert_eq!(
        log.record_announcement(process("i-1", 100), Some(90), false),
        MessageOrder::Earlier
    );
    assert_eq!(log.record_leave(process("i-1", 100)), MessageOrder::Earlier);
    assert_eq!(log.record_announcement(process("i-2", 200), Some(2), false), MessageOrder::Current);
}

/// Guards against comparing the sequence numbers of two processes because the later one reuses the
/// name.
#[test]
fn a_reused_name_starts_a_new_process() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-1", 100), Some(90), false);
    log.record_leave(process("i-1", 100));
    assert_eq!(log.record_announcement(process("i-1", 300), Some(1), false), MessageOrder::Current);
    assert_eq!(
        log.record_announcement(process("i-1", 100), Some(91), false),
        MessageOrder::Earlier
    );
}

/// Guards against a late announcement that revives an upstream after its leave message.
#[test]
fn a_process_that_left_cannot_announce_itself_again() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-1", 100), Some(1), false);
    assert_eq!(log.record_leave(process("i-1", 100)), MessageOrder::Current);
    assert_eq!(
        log.record_announcement(process("i-1", 100), Some(2), false),
        MessageOrder::Repeated
    );
}

/// Guards against draining the current upstream for the leave message of another process.
#[test]
fn a_leave_without_a_start_time_applies_only_to_the_named_process() {
    let mut log = AnnouncementLog::default();
    log.record_announcement(process("i-2", 200), Some(1), false);
    let unknown = ProcessRef { name: Some("i-1"), started: None };
    assert_eq!(log.record_leave(unknown), MessageOrder::Earlier);
    let named = ProcessRef { name: Some("i-2"), started: None };
    assert_eq!(log.record_leave(named), MessageOrder::Current);
}

/// Guards against an announced leave that is ignored since it arrives late or behind a higher number, and
/// against late announcements that revive the process.
#[test]
fn an_announced_leave_is_final_however_it_is_numbered() {
    for number in [3, 4, 5] {
        let mut log = AnnouncementLog::default();
        let me = process("i-1", 100);
        log.record_announcement(me, Some(4), false);
        assert_eq!(log.record_announcement(me, Some(number), true), MessageOrder::Current);
        for late in [4, 5, 90] {
            assert_eq!(log.record_announcement(me, Some(late), false), MessageOrder::Repeated);
        }
        assert_eq!(log.record_announcement(me, Some(91), true), MessageOrder::Current);
        assert_eq!(
            log.record_announcement(process("i-2", 200), Some(1), false),
            MessageOrder::Current
        );
    }
}

/// Guards against a process without a name that is drained for good: it can't be told from its successor.
#[test]
fn the_leave_of_a_process_without_a_name_ends_with_an_announcement() {
    let mut log = AnnouncementLog::default();
    let unnamed = ProcessRef { name: None, started: None };
    log.record_announcement(unnamed, None, false);
    assert_eq!(log.record_leave(unnamed), MessageOrder::Current);
    assert_eq!(log.record_announcement(unnamed, None, false), MessageOrder::Current);
}
