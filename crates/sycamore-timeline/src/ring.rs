//! The latest events of one process.

use std::collections::VecDeque;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Furthest that a message's stamp may be ahead of the own clock.
pub const MAX_LEAD: Duration = Duration::from_secs(60);

/// The process that records events.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// Its instance.
    pub instance: InstanceId,
    /// Its generation.
    pub incarnation: Incarnation,
}

impl Source {
    /// The process that recorded `event`.
    pub fn of(event: &Event) -> Self {
        Self { instance: event.by.clone(), incarnation: event.incarnation }
    }
}

/// Events after a sequence number.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The events, oldest first.
    pub events: Vec<Event>,
    /// Events that were asked for and are no longer kept.
    pub lost: u64,
}

/// Stamps events and keeps the latest.
#[derive(Debug, Clone)]
pub struct Ring {
    source: Source,
    stamp: Stamp,
    seq: u64,
    events: VecDeque<Event>,
    capacity: usize,
}

impl Ring {
    /// A ring of `source` that keeps `capacity` events, at least one.
    pub fn new(source: Source, capacity: usize) -> Self {
        Self {
            source,
            stamp: Stamp::default(),
            seq: 0,
            events: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Records what happened at civil time `now`.
    pub fn record(&mut self, kind: EventKind, now: WallTime) -> &Event {
        self.stamp = self.stamp.tick(now);
        self.seq += 1;
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        let Source { instance, incarnation } = self.source.clone();
        let event = Event { at: self.stamp, by: instance, incarnation, seq: self.seq, kind };
        self.events.push_back(event);
        &self.events[self.events.len() - 1]
    }

    /// The stamp that a message sent at civil time `now` carries.
    pub fn stamp(&mut self, now: WallTime) -> Stamp {
        self.stamp = self.stamp.tick(now);
        self.stamp
    }

    /// Takes note of a stamp that a message carried, so that what follows is ordered after it. One
    /// further ahead than [`MAX_LEAD`] is left out: a broken clock must not drag the others along.
    pub fn observe(&mut self, stamp: Stamp, now: WallTime) {
        if stamp.wall.since(now) <= MAX_LEAD {
            self.stamp = self.stamp.merge(stamp, now);
        }
    }

    /// Events with numbers above `after`.
    pub fn after(&self, after: u64) -> Page {
        let events: Vec<Event> =
            self.events.iter().filter(|event| event.seq > after).cloned().collect();
        let kept = events.len() as u64;
        Page { events, lost: self.seq.saturating_sub(after).saturating_sub(kept) }
    }

    /// Number of the last event; 0 before the first.
    pub fn last_seq(&self) -> u64 {
        self.seq
    }
}
