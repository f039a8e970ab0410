//! Schedule of the requests for a delta by a node that lacks a newer configuration.

use super::ApplySettings;
use sycamore_types::prelude::*;

/// Time since which a newer version than the one in force is known, and the requests for a delta
/// since then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Behind {
    pub(super) since: Time,
    pub(super) next_request: Time,
    requests: u32,
}

impl Behind {
    /// Creates the schedule of a node that learned of a newer version at `since`.
    pub(super) fn new(since: Time, settings: &ApplySettings) -> Self {
        Self { since, next_request: since + settings.delta_delay, requests: 0 }
    }

    /// Returns whether a request is due, and schedules the next one if it is.
    pub(super) fn take_due(&mut self, now: Time, settings: &ApplySettings) -> bool {
        if now < self.next_request {
            return false;
        }
        let factor = 1_u32.checked_shl(self.requests).unwrap_or(u32::MAX);
        let interval = settings.delta_interval.saturating_mul(factor);
        self.next_request = now + interval.min(settings.max_delta_interval);
        self.requests = self.requests.saturating_add(1);
        true
    }
}
