//! Ring buffer of the latest events of one process, and the process's logical clock.

use std::collections::VecDeque;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Maximum time by which a received stamp may be ahead of this node's wall clock.
pub const MAX_LEAD: Duration = Duration::from_secs(60);

/// Process that records events.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// Instance that the process runs as.
    pub instance: InstanceId,
    /// Incarnation of the process when it started.
    pub incarnation: Incarnation,
}

impl Source {
    /// Returns the process that recorded `event`.
    pub fn of(event: &Event) -> Self {
        Self { instance: event.by.clone(), incarnation: event.incarnation }
    }
}

/// Events of a ring after a given sequence number.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Events that the ring still has, oldest first.
    pub events: Vec<Event>,
    /// Number of requested events that the ring no longer has.
    pub lost: u64,
}

/// Stamps the events of one process and keeps the latest ones.
#[derive(Debug, Clone)]
pub struct Ring {
    source: Source,
    stamp: Stamp,
    seq: u64,
    events: VecDeque<Event>,
    capacity: usize,
}

impl Ring {
    /// Creates a ring for `source` that keeps the last `capacity` events, at least one.
    pub fn new(source: Source, capacity: usize) -> Self {
        Self {
            source,
            stamp: Stamp::default(),
            seq: 0,
            events: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Records an event that happened at wall-clock time `now`, and returns it.
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

    /// Advances the logical clock and returns the stamp of a message sent at wall-clock time `now`.
    pub fn stamp(&mut self, now: WallTime) -> Stamp {
        self.stamp = self.stamp.tick(now);
        self.stamp
    }

    /// Advances the logical clock past the stamp of a received message, so that later events are
    /// ordered after it. A stamp more than [`MAX_LEAD`] ahead is ignored, so that one wrong clock
    /// does not advance those of all other nodes.
    pub fn observe(&mut self, stamp: Stamp, now: WallTime) {
        if stamp.wall.since(now) <= MAX_LEAD {
            self.stamp = self.stamp.merge(stamp, now);
        }
    }

    /// Returns the events with sequence numbers above `after`.
    pub fn after(&self, after: u64) -> Page {
        let events: Vec<Event> =
            self.events.iter().filter(|event| event.seq > after).cloned().collect();
        let kept = events.len() as u64;
        Page { events, lost: self.seq.saturating_sub(after).saturating_sub(kept) }
    }

    /// Returns the sequence number of the last event; 0 before the first.
    pub fn last_seq(&self) -> u64 {
        self.seq
    }
}
