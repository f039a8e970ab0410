//! Callers that were turned away and will come back: each is told a time by which those turned away
//! before it can have had their turn, so that they don't all come back into the same full queue.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Longest time until a turn: callers of seconds leave rather than wait for longer.
const MAX_TURN: Duration = Duration::from_secs(1);

/// A line of callers that wait elsewhere; it moves at the pace at which slots come free.
#[derive(Debug, Clone, Default)]
pub(super) struct TurnedAway {
    callers: f64,
    at: Time,
}

impl TurnedAway {
    /// Adds a caller; gives the time until its turn where a slot comes free every `slot_time`.
    pub(super) fn turn(&mut self, now: Time, slot_time: Duration) -> Duration {
        let passed = now.since(self.at).as_secs_f64();
        let pace = slot_time.as_secs_f64();
        let served = if pace > 0.0 { passed / pace } else { self.callers };
        let most = if pace > 0.0 { MAX_TURN.as_secs_f64() / pace } else { f64::INFINITY };
        self.callers = ((self.callers - served).max(0.0) + 1.0).min(most);
        self.at = now;
        slot_time.mul_f64(self.callers)
    }
}
