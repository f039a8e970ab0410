//! Batching of events for the object store, which keeps them after their process has ended.
//!
//! The fleet shares a budget of writes to the object store, so each process writes at most one
//! batch per interval, which grows with the number of nodes.

use crate::ring::Source;
use std::collections::VecDeque;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Limits of a [`Batcher`].
#[derive(Debug, Clone)]
pub struct BatchOptions {
    /// Minimum time between two batches of one process.
    pub min_interval: Duration,
    /// Maximum time between two batches of one process while the store can be reached. In a fleet
    /// so large that its budget would need a longer one, this limit prevails.
    pub max_interval: Duration,
    /// Number of batches per second that all processes together may write.
    pub fleet_writes_per_s: u32,
    /// Maximum number of events in a batch.
    pub max_events: usize,
    /// Maximum number of events that wait; beyond it the oldest are dropped, which leaves a gap in
    /// the sequence numbers.
    pub max_waiting: usize,
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self {
            min_interval: Duration::from_secs(2),
            max_interval: Duration::from_secs(60),
            fleet_writes_per_s: 20,
            max_events: 256,
            max_waiting: 2_048,
        }
    }
}

/// Events to write as one object.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Key of the object. It contains the first event's sequence number, so writing the batch twice
    /// writes the same object.
    pub key: String,
    /// Events of the batch, oldest first.
    pub events: Vec<Event>,
}

/// Collects the events of one process into batches.
#[derive(Debug, Clone)]
pub struct Batcher {
    source: Source,
    options: BatchOptions,
    waiting: VecDeque<Event>,
    /// Batch that is being written; kept until it is stored.
    in_flight: Option<Batch>,
    /// Earliest time of the next write.
    next_write: Time,
    dropped: u64,
}

impl Batcher {
    /// Creates a batcher for `source`. Its first batch is delayed by a fraction of the minimum
    /// interval that depends on `seed`, so that processes that start together do not write at the
    /// same time.
    pub fn new(source: Source, options: BatchOptions, seed: u64, now: Time) -> Self {
        let jitter = options.min_interval.mul_f64((seed % 1_000) as f64 / 1_000.0);
        Self {
            source,
            options,
            waiting: VecDeque::new(),
            in_flight: None,
            next_write: now + jitter,
            dropped: 0,
        }
    }

    /// Adds an event; if too many wait, the oldest is dropped.
    pub fn push(&mut self, event: &Event) {
        if self.waiting.len() >= self.options.max_waiting {
            self.waiting.pop_front();
            self.dropped += 1;
        }
        self.waiting.push_back(event.clone());
    }

    /// Returns the batch to write at `now` in a fleet of `nodes`, if one is due. The same batch is
    /// returned at each interval until [`Batcher::record_stored`] is called for it.
    pub fn due(&mut self, now: Time, nodes: usize) -> Option<Batch> {
        if now < self.next_write {
            return None;
        }
        if self.in_flight.is_none() {
            self.in_flight = self.take_batch();
        }
        let batch = self.in_flight.clone()?;
        self.next_write = now + self.interval(nodes);
        Some(batch)
    }

    /// Notes that the batch with this key is in the object store.
    pub fn record_stored(&mut self, key: &str) {
        if self.in_flight.as_ref().is_some_and(|batch| batch.key == key) {
            self.in_flight = None;
        }
    }

    /// Returns the batch in flight or else the next one, without regard to the interval; for a
    /// process that stops.
    pub fn flush(&mut self) -> Option<Batch> {
        self.in_flight.take().or_else(|| self.take_batch())
    }

    /// Returns the number of events that were dropped.
    pub fn dropped_events(&self) -> u64 {
        self.dropped
    }

    /// Returns the time between two batches of one process in a fleet of `nodes`.
    pub fn interval(&self, nodes: usize) -> Duration {
        let budget = f64::from(self.options.fleet_writes_per_s.max(1));
        let interval = Duration::from_secs_f64(nodes.max(1) as f64 / budget);
        interval.clamp(self.options.min_interval, self.options.max_interval)
    }

    /// Removes the oldest waiting events as a batch; `None` if none wait.
    fn take_batch(&mut self) -> Option<Batch> {
        let count = self.waiting.len().min(self.options.max_events);
        let events: Vec<Event> = self.waiting.drain(..count).collect();
        let first = events.first()?.seq;
        let Source { instance, incarnation } = &self.source;
        let key = format!("events/{instance}/{}/{first:012}", incarnation.0);
        Some(Batch { key, events })
    }
}
