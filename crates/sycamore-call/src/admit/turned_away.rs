//! Estimated backlog of refused callers that will retry. Each refused caller is told a retry delay
//! behind those refused before it, so that they don't all retry into the same full queue.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Maximum retry delay that the backlog adds; callers whose patience is seconds give up rather than
/// wait longer.
const MAX_BACKLOG_DELAY: Duration = Duration::from_secs(1);

/// Virtual queue of refused callers; it shrinks at the rate at which slots become free.
#[derive(Debug, Clone, Default)]
pub(super) struct RefusedCallers {
    callers: f64,
    updated: Time,
}

impl RefusedCallers {
    /// Adds a refused caller; returns the time until its turn when a slot becomes free every
    /// `slot_time`.
    pub(super) fn enqueue(&mut self, now: Time, slot_time: Duration) -> Duration {
        let elapsed = now.since(self.updated).as_secs_f64();
        let slot_secs = slot_time.as_secs_f64();
        let served = if slot_secs > 0.0 { elapsed / slot_secs } else { self.callers };
        let max_callers = if slot_secs > 0.0 {
            MAX_BACKLOG_DELAY.as_secs_f64() / slot_secs
        } else {
            f64::INFINITY
        };
        self.callers = ((self.callers - served).max(0.0) + 1.0).min(max_callers);
        self.updated = now;
        slot_time.mul_f64(self.callers)
    }
}
