//! Probe for the rate limit of an upstream that was there before this node: few calls run until its
//! first answer, which shows whether it has one.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Maximum number of calls that run before the first answer.
const MAX_CALLS: u16 = 2;
/// Time after the first call after which more calls run although the upstream has not answered: the
/// first ones may take long.
const MAX_TIME: Duration = Duration::from_millis(500);

/// Wait for the first answer of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LimitProbe {
    /// Time at which the first call started.
    called_at: Option<Time>,
}

impl LimitProbe {
    /// Records the start of a call.
    pub(super) fn record_start(&mut self, now: Time) {
        self.called_at.get_or_insert(now);
    }

    /// Returns the concurrency limit at `now` of an upstream that otherwise runs `limit` calls.
    pub(super) fn cap(self, now: Time, limit: u16) -> u16 {
        match self.ends_at().is_none_or(|end| now < end) {
            true => limit.min(MAX_CALLS),
            false => limit,
        }
    }

    /// Returns the end of the wait for the first answer; `None` before the first call.
    pub(super) fn ends_at(self) -> Option<Time> {
        self.called_at.map(|at| at + MAX_TIME)
    }
}
