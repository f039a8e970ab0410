//! When events are written to the object store, which keeps them past their process.
//!
//! The fleet's writes to the object store are bounded, so each process writes at most one batch in
//! the time that its part of the budget gives.

use crate::ring::Source;
use std::collections::VecDeque;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Bounds of batching.
#[derive(Debug, Clone)]
pub struct BatchOptions {
    /// Shortest time between two batches of one process.
    pub min_interval: Duration,
    /// Longest time that an event waits while the store can be reached and the budget allows.
    pub max_interval: Duration,
    /// Batches a second that all processes together may write.
    pub fleet_writes_per_s: u32,
    /// Most events in a batch.
    pub max_events: usize,
    /// Most events that wait; older ones are given up, which leaves a gap in their numbers.
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

/// Events to be written as one object.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The object's key, which names the first event's number; writing it twice is harmless.
    pub key: String,
    /// The events.
    pub events: Vec<Event>,
}

/// Gathers the events of one process into batches.
#[derive(Debug, Clone)]
pub struct Batcher {
    source: Source,
    options: BatchOptions,
    waiting: VecDeque<Event>,
    under_way: Option<Batch>,
    next: Time,
    lost: u64,
}

impl Batcher {
    /// A batcher for `source`; its first batch goes out after a part of an interval that `seed`
    /// decides, so that a herd of new processes does not write at once.
    pub fn new(source: Source, options: BatchOptions, seed: u64, now: Time) -> Self {
        let jitter = options.min_interval.mul_f64((seed % 1_000) as f64 / 1_000.0);
        Self {
            source,
            options,
            waiting: VecDeque::new(),
            under_way: None,
            next: now + jitter,
            lost: 0,
        }
    }

    /// Takes in an event.
    pub fn push(&mut self, event: &Event) {
        if self.waiting.len() >= self.options.max_waiting {
            self.waiting.pop_front();
            self.lost += 1;
        }
        self.waiting.push_back(event.clone());
    }

    /// The batch to write at `now` in a fleet of `nodes`, if one is due. The same batch comes again
    /// until [`Batcher::stored`] is told.
    pub fn due(&mut self, now: Time, nodes: usize) -> Option<Batch> {
        if now < self.next {
            return None;
        }
        if self.under_way.is_none() {
            self.under_way = self.take();
        }
        let batch = self.under_way.clone()?;
        self.next = now + self.interval(nodes);
        Some(batch)
    }

    /// The batch is in the object store.
    pub fn stored(&mut self, key: &str) {
        if self.under_way.as_ref().is_some_and(|batch| batch.key == key) {
            self.under_way = None;
        }
    }

    /// What still waits, as the last batch of a process that stops.
    pub fn flush(&mut self) -> Option<Batch> {
        self.under_way.take().or_else(|| self.take())
    }

    /// Events that were given up.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Time between two batches of one process in a fleet of `nodes`.
    pub fn interval(&self, nodes: usize) -> Duration {
        let budget = f64::from(self.options.fleet_writes_per_s.max(1));
        let part = Duration::from_secs_f64(nodes.max(1) as f64 / budget);
        part.clamp(self.options.min_interval, self.options.max_interval)
    }

    fn take(&mut self) -> Option<Batch> {
        let count = self.waiting.len().min(self.options.max_events);
        let events: Vec<Event> = self.waiting.drain(..count).collect();
        let first = events.first()?.seq;
        let Source { instance, incarnation } = &self.source;
        let key = format!("events/{instance}/{}/{first:012}", incarnation.0);
        Some(Batch { key, events })
    }
}
