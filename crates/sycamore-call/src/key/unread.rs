//! How long a request may have lain unread before a node took it in.
//!
//! Requests that reach a frozen process wait in its sockets and carry no time of their own. What is
//! known is when the process last ran: a request read now was sent before that at the earliest
//! where an earlier reading would have found it.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Longest time for which a request lies behind others of its connection: callers wait no longer.
const BEHIND_OTHERS: Duration = Duration::from_secs(60);

/// Shortest gap between two ticks that is taken for a pause: twice the time between ticks of a node.
const PAUSE: Duration = Duration::from_secs(1);

/// What a process knows of its own pauses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Unread {
    ticked: Time,
    /// Length of the longest pause that may still matter, and the end of the last.
    pause: Option<(Duration, Time)>,
}

impl Unread {
    /// The knowledge of a process that has just started.
    pub fn new(now: Time) -> Self {
        Self { ticked: now, pause: None }
    }

    /// Must be called at even times; every gap between two calls may have been a pause.
    pub fn tick(&mut self, now: Time) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        self.pause = self.pause.filter(|(_, end)| now.since(*end) < BEHIND_OTHERS);
        if gap >= PAUSE {
            let longest = self.pause.map_or(gap, |(pause, _)| pause.max(gap));
            self.pause = Some((longest, now));
        }
    }

    /// Longest time that a request read at `now` may have waited in the process's sockets.
    pub fn longest(&self, now: Time) -> Duration {
        let under_way = Some(now.since(self.ticked)).filter(|gap| *gap >= PAUSE);
        let over = self.pause.map(|(pause, _)| pause);
        under_way.max(over).unwrap_or_default()
    }
}
