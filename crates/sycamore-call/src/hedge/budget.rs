//! Limit on second attempts as a fraction of a service's calls.

use std::collections::VecDeque;
use sycamore_types::prelude::*;

/// Number of seconds over which the limit is kept.
const WINDOW_SECS: u64 = 10;

/// Part of the limit that calls earn; the rest is for windows that begin within a second.
const EARNED_PART: f64 = 0.9;

/// Calls and second attempts of one service in the last [`WINDOW_SECS`] seconds.
#[derive(Debug, Clone, Default)]
pub(super) struct Budget {
    /// Second of the clock with its calls and second attempts, oldest first.
    seconds: VecDeque<(u64, u32, u32)>,
    saved: f64,
}

impl Budget {
    /// Counts a call, which earns `extra` of a second attempt. What one second's calls earn is kept at
    /// most, so that a quiet time can't be made up for by a burst.
    pub(super) fn record_call(&mut self, now: Time, extra: f64) {
        let second = self.current(now);
        second.1 += 1;
        let extra = extra * EARNED_PART;
        let most = self.seconds.iter().map(|(_, calls, _)| *calls).max().unwrap_or_default();
        self.saved = (self.saved + extra).min((f64::from(most) * extra).max(1.0));
    }

    /// Returns whether a second attempt is within the limit `extra`, and counts it.
    pub(super) fn spend(&mut self, now: Time, extra: f64) -> bool {
        self.current(now);
        // The oldest second is left out: part of it lies before the window.
        let in_window = self.seconds.iter().filter(|(second, ..)| second + WINDOW_SECS > secs(now));
        let (calls, sent) = in_window
            .fold((0_u32, 0_u32), |(calls, sent), (_, more, extra)| (calls + more, sent + extra));
        if self.saved < 1.0 || f64::from(sent + 1) > f64::from(calls) * extra {
            return false;
        }
        self.saved -= 1.0;
        self.current(now).2 += 1;
        true
    }

    /// Returns the counts of the current second, and drops those that are too old.
    fn current(&mut self, now: Time) -> &mut (u64, u32, u32) {
        let now = secs(now);
        while self.seconds.front().is_some_and(|(second, ..)| second + WINDOW_SECS < now) {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|(second, ..)| *second != now) {
            self.seconds.push_back((now, 0, 0));
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}

fn secs(now: Time) -> u64 {
    now.0 / 1_000_000
}
