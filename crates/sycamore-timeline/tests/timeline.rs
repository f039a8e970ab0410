//! Tests of recording, merging, following and batching events.

use quickcheck::quickcheck;
use std::time::Duration;
use sycamore_timeline::{gaps, merge, BatchOptions, Batcher, Cursor, Filter, Ring, Source};
use sycamore_types::prelude::*;

/// Returns a process of the instance `name`.
fn source(name: &str) -> Source {
    Source { instance: InstanceId::new(name).expect("valid"), incarnation: Incarnation(1) }
}

/// Returns an event about the move `mv`.
fn step(mv: &str) -> EventKind {
    let mv = MoveId::new(mv).expect("valid");
    EventKind::MoveStep { mv, share: Share::from_basis_points(500) }
}

/// Returns events of the instance `name`, one per wall-clock time in milliseconds.
fn events(name: &str, walls: &[u64]) -> Vec<Event> {
    let mut ring = Ring::new(source(name), 1_000);
    walls.iter().map(|wall| ring.record(EventKind::Draining, WallTime(*wall)).clone()).collect()
}

#[test]
fn a_page_counts_the_events_that_a_full_ring_dropped() {
    let mut ring = Ring::new(source("a"), 3);
    for wall in 0..5 {
        ring.record(EventKind::Started, WallTime(wall));
    }
    let page = ring.after(1);
    assert_eq!(page.events.iter().map(|event| event.seq).collect::<Vec<_>>(), [3, 4, 5]);
    assert_eq!(page.lost, 1);
    assert_eq!(ring.after(5).events, []);
}

#[test]
fn an_event_is_ordered_after_its_cause_though_its_wall_clock_is_behind() {
    let mut cause = Ring::new(source("a"), 10);
    let mut effect = Ring::new(source("b"), 10);
    let first = cause.record(step("m"), WallTime(5_000)).clone();
    effect.observe(first.at, WallTime(1_000));
    let second = effect.record(step("m"), WallTime(1_001)).clone();
    assert_eq!(merge([second.clone(), first.clone()]), [first, second]);
}

#[test]
fn gaps_before_and_between_events_are_found() {
    let mut kept = events("a", &[1, 2, 3, 4, 5]);
    kept.remove(2);
    kept.remove(0);
    let found: Vec<_> = gaps(&kept).iter().map(|gap| (gap.first, gap.last)).collect();
    assert_eq!(found, [(1, 1), (3, 3)]);
}

#[test]
fn a_filter_passes_only_events_of_its_move_or_kind() {
    let mut ring = Ring::new(source("a"), 10);
    let about = ring.record(step("m"), WallTime(1)).clone();
    let other = ring.record(EventKind::Started, WallTime(2)).clone();
    let mv = Filter { mv: Some(MoveId::new("m").expect("valid")), ..Filter::default() };
    let kind = Filter { kind: Some("started".to_owned()), ..Filter::default() };
    assert!(mv.passes(&about) && !mv.passes(&other));
    assert!(!kind.passes(&about) && kind.passes(&other));
}

#[test]
fn a_cursor_returns_each_event_once() {
    let all = events("a", &[1, 2, 3]);
    let mut cursor = Cursor::default();
    assert_eq!(cursor.advance(all[..2].to_vec()).len(), 2);
    assert_eq!(cursor.advance(all.clone()).len(), 1);
    assert_eq!(cursor.advance(all).len(), 0);
}

fn batcher(options: BatchOptions) -> Batcher {
    Batcher::new(source("a"), options, 0, Time(0))
}

#[test]
fn a_batch_is_returned_again_until_it_is_stored() {
    let mut batcher = batcher(BatchOptions::default());
    events("a", &[1, 2]).iter().for_each(|event| batcher.push(event));
    let first = batcher.due(Time(0), 1).expect("due");
    assert_eq!(first.key, "events/a/1/000000000001");
    assert!(batcher.due(Time::from_secs(1), 1).is_none(), "before the interval has passed");
    batcher.push(&events("a", &[1, 2, 3])[2]);
    assert_eq!(batcher.due(Time::from_secs(2), 1), Some(first.clone()));
    batcher.record_stored(&first.key);
    assert_eq!(batcher.due(Time::from_secs(4), 1).expect("due").events[0].seq, 3);
}

#[test]
fn the_interval_grows_with_the_fleet_to_keep_the_write_budget() {
    let batcher = batcher(BatchOptions::default());
    assert_eq!(batcher.interval(1), Duration::from_secs(2));
    assert_eq!(batcher.interval(930), Duration::from_millis(46_500));
}

#[test]
fn a_batcher_drops_the_oldest_events_and_counts_them() {
    let mut batcher = batcher(BatchOptions { max_waiting: 3, ..BatchOptions::default() });
    events("a", &[1, 2, 3, 4, 5]).iter().for_each(|event| batcher.push(event));
    assert_eq!(batcher.dropped_events(), 2);
    assert_eq!(batcher.flush().expect("waiting").events[0].seq, 3);
}

quickcheck! {
    fn merging_does_not_depend_on_order_or_duplicates(a: Vec<u16>, b: Vec<u16>) -> bool {
        let walls = |list: &[u16]| list.iter().map(|wall| u64::from(*wall)).collect::<Vec<_>>();
        let (a, b) = (events("a", &walls(&a)), events("b", &walls(&b)));
        let forward = merge(a.iter().chain(&b).cloned());
        let backward = merge(b.iter().chain(&a).chain(&b).rev().cloned());
        let ordered = forward.windows(2).all(|pair| pair[0].at <= pair[1].at);
        forward == backward && ordered && forward.len() == a.len() + b.len()
    }
}
