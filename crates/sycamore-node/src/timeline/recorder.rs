//! The events of this process: the latest in memory, and those that wait for the object store.

use sycamore_settings::Settings;
use sycamore_timeline::{Batch, BatchOptions, Batcher, Ring, Source};
use sycamore_types::prelude::*;

/// Stamps events, keeps the latest and batches them.
pub struct Recorder {
    ring: Ring,
    batcher: Batcher,
}

impl Recorder {
    /// A recorder that has seen nothing.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let source = Source { instance: settings.node.instance.clone(), incarnation };
        let options = BatchOptions {
            fleet_writes_per_s: settings.platform.fleet_writes_per_s,
            ..BatchOptions::default()
        };
        // The conversion loses nothing on the machines that the node runs on.
        let capacity = settings.moves.events as usize;
        Self {
            ring: Ring::new(source.clone(), capacity),
            batcher: Batcher::new(source, options, rand::random(), Time(0)),
        }
    }

    /// Records what happened at civil time `now`.
    pub fn record(&mut self, kind: EventKind, now: WallTime) {
        let event = self.ring.record(kind, now);
        self.batcher.push(event);
    }

    /// The stamp that a message sent at civil time `now` carries.
    pub fn stamp(&mut self, now: WallTime) -> Stamp {
        self.ring.stamp(now)
    }

    /// Takes note of a stamp that a message carried, so that what follows is ordered after it.
    pub fn observe(&mut self, stamp: Stamp, now: WallTime) {
        self.ring.observe(stamp, now);
    }

    /// The events kept whose number is above `after`.
    pub fn after(&self, after: u64) -> Vec<Event> {
        self.ring.after(after).events
    }

    /// The batch to write at `now` in a fleet of `nodes`, if one is due.
    pub fn due(&mut self, now: Time, nodes: usize) -> Option<Batch> {
        self.batcher.due(now, nodes)
    }

    /// The batch under `key` is in the object store.
    pub fn stored(&mut self, key: &str) {
        self.batcher.stored(key);
    }

    /// The next batch of a process that stops.
    pub fn flush(&mut self) -> Option<Batch> {
        self.batcher.flush()
    }
}
