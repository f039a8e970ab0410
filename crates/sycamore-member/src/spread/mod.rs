//! Dissemination: the queue of updates piggybacked on the failure detector's datagrams, and the
//! byte budget of pushes.

use crate::message::{Item, ItemKey};
use crate::table::Table;
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Upper bound on queued updates. Beyond it the update sent most often is dropped; nodes that miss
/// it receive it by a table exchange.
const MAX_QUEUED_UPDATES: usize = 256;

/// Keys of updates to be piggybacked, each with the number of datagrams that carried it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct UpdateQueue {
    send_counts: BTreeMap<ItemKey, u8>,
}

impl UpdateQueue {
    /// Queues the item with `key` as if `sent` datagrams had carried it; replaces the count of an
    /// item that is already queued.
    pub(crate) fn add(&mut self, key: ItemKey, sent: u8) {
        self.send_counts.insert(key, sent);
        if self.send_counts.len() > MAX_QUEUED_UPDATES {
            let most_sent =
                self.send_counts.iter().max_by_key(|(_, sent)| **sent).map(|(key, _)| key.clone());
            if let Some(key) = most_sent {
                self.send_counts.remove(&key);
            }
        }
    }

    /// Returns the items for one datagram, least sent first, up to `bytes` in total. An item is
    /// removed from the queue once it was returned `retransmits` times.
    pub(crate) fn take(&mut self, table: &Table, bytes: usize, retransmits: u8) -> Vec<Item> {
        let mut order: Vec<(u8, ItemKey)> =
            self.send_counts.iter().map(|(key, sent)| (*sent, key.clone())).collect();
        order.sort();
        let mut left = bytes;
        let mut items = Vec::new();
        for (sent, key) in order {
            let Some(item) = table.item(&key).map(Item::into_brief) else {
                self.send_counts.remove(&key);
                continue;
            };
            let Some(rest) = left.checked_sub(item.size()) else { continue };
            left = rest;
            items.push(item);
            self.set_count(key, sent + 1, retransmits);
        }
        items
    }

    /// Sets the number of datagrams that carried an item, or removes it at `retransmits`.
    fn set_count(&mut self, key: ItemKey, sent: u8, retransmits: u8) {
        if sent >= retransmits {
            self.send_counts.remove(&key);
        } else {
            self.send_counts.insert(key, sent);
        }
    }
}

/// Token bucket that limits bytes per second.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ByteBudget {
    bytes_per_s: usize,
    burst_bytes: usize,
    available: usize,
    last_refill: Time,
}

impl ByteBudget {
    /// Creates a full bucket of `burst_bytes`.
    pub(crate) fn new(bytes_per_s: usize, burst_bytes: usize) -> Self {
        Self { bytes_per_s, burst_bytes, available: burst_bytes, last_refill: Time::default() }
    }

    /// Takes `bytes` if that many are available; returns whether they were.
    pub(crate) fn try_take(&mut self, bytes: usize, now: Time) -> bool {
        self.refill(now);
        match self.available.checked_sub(bytes) {
            Some(rest) => {
                self.available = rest;
                true
            }
            None => false,
        }
    }

    /// Returns the bytes available at `now`.
    pub(crate) fn available(&mut self, now: Time) -> usize {
        self.refill(now);
        self.available
    }

    /// Takes `bytes`, or all available bytes if there are fewer.
    pub(crate) fn take_up_to(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes);
    }

    /// Adds the bytes accumulated since the last refill, up to the burst size.
    fn refill(&mut self, now: Time) {
        let gained = now.since(self.last_refill).as_millis() as usize * self.bytes_per_s / 1_000;
        if gained > 0 {
            self.available = (self.available + gained).min(self.burst_bytes);
            self.last_refill = now;
        }
    }
}
