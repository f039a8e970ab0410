//! Rate limits of an upstream: the one that it reports, and the one while it warms up.

use sycamore_types::prelude::*;

/// Rate limits of an upstream, of which the lowest is in force.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RateLimits {
    reported: Option<RateLimit>,
    /// Rate while the upstream is cold, and the end of that.
    warm_up: Option<(RateLimit, Time)>,
}

impl RateLimits {
    /// Sets the limit that the upstream reports; `None` ends it.
    pub(super) fn set_reported(&mut self, limit: Option<RateLimit>) {
        self.reported = limit;
    }

    /// Sets the rate while the upstream is cold, and the end of that; `None` ends it.
    pub(super) fn set_warm_up(&mut self, warm_up: Option<(RateLimit, Time)>) {
        self.warm_up = warm_up;
    }

    /// Returns the end of the warm-up; `None` if the upstream has never been cold.
    pub(super) fn warm_up_end(&self) -> Option<Time> {
        self.warm_up.map(|(_, until)| until)
    }

    /// Returns the limit in force at `now`.
    pub(super) fn in_force(&self, now: Time) -> Option<RateLimit> {
        let cold = self.warm_up.filter(|(_, until)| now < *until).map(|(rate, _)| rate);
        match (self.reported, cold) {
            (Some(reported), Some(cold)) => Some(reported.min(cold)),
            (reported, cold) => reported.or(cold),
        }
    }
}
