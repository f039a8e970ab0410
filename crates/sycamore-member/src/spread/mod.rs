//! Dissemination: news that rides on the failure detector's datagrams, and the budget of pushes.

use crate::message::{Item, ItemKey};
use crate::table::Table;
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// News kept for riding along; where there is more, what was sent most often is dropped, and the
/// comparison of tables makes up for it.
const MAX_NEWS: usize = 256;

/// What is still to be sent along, with how often each was sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct News {
    sent: BTreeMap<ItemKey, u8>,
}

impl News {
    /// Queues the item called `key` as if it had been sent `sent` times; one queued already starts
    /// over.
    pub(crate) fn add(&mut self, key: ItemKey, sent: u8) {
        self.sent.insert(key, sent);
        if self.sent.len() > MAX_NEWS {
            let oldest =
                self.sent.iter().max_by_key(|(_, sent)| **sent).map(|(key, _)| key.clone());
            if let Some(key) = oldest {
                self.sent.remove(&key);
            }
        }
    }

    /// Items to ride on one datagram: the least sent first, up to `bytes` in all. Each is given
    /// `retransmits` times.
    pub(crate) fn take(&mut self, table: &Table, bytes: usize, retransmits: u8) -> Vec<Item> {
        let mut order: Vec<(u8, ItemKey)> =
            self.sent.iter().map(|(key, sent)| (*sent, key.clone())).collect();
        order.sort();
        let mut left = bytes;
        let mut items = Vec::new();
        for (sent, key) in order {
            let Some(item) = table.item(&key).map(Item::into_brief) else {
                self.sent.remove(&key);
                continue;
            };
            let Some(rest) = left.checked_sub(item.size()) else { continue };
            left = rest;
            items.push(item);
            self.count(key, sent + 1, retransmits);
        }
        items
    }

    fn count(&mut self, key: ItemKey, sent: u8, retransmits: u8) {
        if sent >= retransmits {
            self.sent.remove(&key);
        } else {
            self.sent.insert(key, sent);
        }
    }
}

/// A budget of bytes that grows with time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ByteBudget {
    per_s: usize,
    burst: usize,
    left: usize,
    filled: Time,
}

impl ByteBudget {
    pub(crate) fn new(per_s: usize, burst: usize) -> Self {
        Self { per_s, burst, left: burst, filled: Time::default() }
    }

    /// Takes `bytes`, or nothing where they are not there.
    pub(crate) fn take(&mut self, bytes: usize, now: Time) -> bool {
        self.fill(now);
        match self.left.checked_sub(bytes) {
            Some(left) => {
                self.left = left;
                true
            }
            None => false,
        }
    }

    /// What is there.
    pub(crate) fn left(&mut self, now: Time) -> usize {
        self.fill(now);
        self.left
    }

    /// Takes `bytes`, or all where there are fewer.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.left = self.left.saturating_sub(bytes);
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled).as_millis() as usize * self.per_s / 1_000;
        if gained > 0 {
            self.left = (self.left + gained).min(self.burst);
            self.filled = now;
        }
    }
}
