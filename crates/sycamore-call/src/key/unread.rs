//! Upper bound of the time for which a request waited in a socket before the node read it.
//!
//! Requests that reach a suspended process wait in its sockets and carry no time of arrival. The
//! only known time is when the process last ran: a request read now was sent no earlier than that,
//! unless it waited behind others of its connection.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Maximum time for which a request waits behind others of its connection; no caller waits longer.
const MAX_PIPELINED_WAIT: Duration = Duration::from_secs(60);

/// Minimum gap between two ticks that counts as a suspension: twice the tick interval of a node.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);

/// Tracker of the suspensions of this process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SuspensionTracker {
    last_tick: Time,
    /// Duration of the longest suspension that may still matter, and the end of the latest one.
    suspension: Option<(Duration, Time)>,
}

impl SuspensionTracker {
    /// Creates the tracker of suspensions of a process that started at `now`.
    pub fn new(now: Time) -> Self {
        Self { last_tick: now, suspension: None }
    }

    /// Records that the process is running; must be called at regular intervals, since any longer
    /// gap counts as a suspension.
    pub fn tick(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        self.suspension = self.suspension.filter(|(_, end)| now.since(*end) < MAX_PIPELINED_WAIT);
        if gap >= MIN_SUSPENSION {
            let longest = self.suspension.map_or(gap, |(duration, _)| duration.max(gap));
            self.suspension = Some((longest, now));
        }
    }

    /// Returns the maximum time that a request read at `now` may have waited in a socket.
    pub fn max_socket_wait(&self, now: Time) -> Duration {
        let ongoing = Some(now.since(self.last_tick)).filter(|gap| *gap >= MIN_SUSPENSION);
        let past = self.suspension.map(|(duration, _)| duration);
        ongoing.max(past).unwrap_or_default()
    }
}
