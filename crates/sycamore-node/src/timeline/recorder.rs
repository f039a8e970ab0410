//! Recorder of this process's events.

use sycamore_settings::Settings;
use sycamore_timeline::{Batch, BatchOptions, Batcher, Ring, Source};
use sycamore_types::prelude::*;

/// Stamps events, keeps the latest in memory and batches all for the object store.
pub struct Recorder {
    ring: Ring,
    batcher: Batcher,
}

impl Recorder {
    /// Creates an empty recorder for the process with `incarnation`.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let source = Source { instance: settings.node.instance.clone(), incarnation };
        let options = BatchOptions {
            fleet_writes_per_s: settings.platform.fleet_writes_per_s,
            ..BatchOptions::default()
        };
        // `usize` has at least 32 bits on all supported targets.
        let capacity = settings.moves.events as usize;
        Self {
            ring: Ring::new(source.clone(), capacity),
            batcher: Batcher::new(source, options, rand::random(), Time(0)),
        }
    }

    /// Records an event that happened at wall-clock time `now`.
    pub fn record(&mut self, kind: EventKind, now: WallTime) {
        let event = self.ring.record(kind, now);
        self.batcher.push(event);
    }

    /// Advances the hybrid logical clock and returns the stamp of a message sent at wall-clock
    /// time `now`.
    pub fn stamp(&mut self, now: WallTime) -> Stamp {
        self.ring.stamp(now)
    }

    /// Advances the hybrid logical clock past a received `stamp`, so that later events are ordered
    /// after the message.
    pub fn observe(&mut self, stamp: Stamp, now: WallTime) {
        self.ring.observe(stamp, now);
    }

    /// Returns the events in memory whose number is above `after`.
    pub fn after(&self, after: u64) -> Vec<Event> {
        self.ring.after(after).events
    }

    /// Returns the batch to write at `now` in a fleet of `nodes`; `None` if none is due.
    pub fn due(&mut self, now: Time, nodes: usize) -> Option<Batch> {
        self.batcher.due(now, nodes)
    }

    /// Records that the batch with `key` is in the object store.
    pub fn record_stored(&mut self, key: &str) {
        self.batcher.record_stored(key);
    }

    /// Returns the batch to write next at shutdown; `None` if all events are stored.
    pub fn flush(&mut self) -> Option<Batch> {
        self.batcher.flush()
    }
}
