//! Queue of the messages in flight between emulated nodes, on simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Queue that delivers messages at their arrival time, in the order of sending for equal times.
pub struct MessageQueue<M> {
    heap: BinaryHeap<Reverse<Entry<M>>>,
    sent: u64,
}

struct Entry<M> {
    at_ms: u64,
    seq: u64,
    message: M,
}

impl<M> PartialEq for Entry<M> {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl<M> Eq for Entry<M> {}

impl<M> PartialOrd for Entry<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Entry<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.seq).cmp(&(other.at_ms, other.seq))
    }
}

impl<M> Default for MessageQueue<M> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sent: 0 }
    }
}

impl<M> MessageQueue<M> {
    /// Enqueues `message` to arrive at `at_ms`.
    pub fn send(&mut self, at_ms: u64, message: M) {
        self.sent += 1;
        self.heap.push(Reverse(Entry { at_ms, seq: self.sent, message }));
    }

    /// Removes and returns the earliest message that has arrived by `now_ms`.
    pub fn take(&mut self, now_ms: u64) -> Option<M> {
        match self.heap.peek() {
            Some(Reverse(entry)) if entry.at_ms <= now_ms => {
                self.heap.pop().map(|Reverse(entry)| entry.message)
            }
            _ => None,
        }
    }
}
