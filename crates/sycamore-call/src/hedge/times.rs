//! Times of a route's calls, of which quantiles are taken.

use hdrhistogram::Histogram;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Number of answers from which a quantile is known.
const MIN_ANSWERS: u64 = 100;
/// Time after which the older half of the times is dropped.
const HALF_TIME: Duration = Duration::from_secs(15);
/// Significant digits of the times: a quantile is exact to a tenth.
const DIGITS: u8 = 1;
/// Longest time that is told apart, in milliseconds.
const MAX_MS: u64 = 600_000;

/// Times of a route's calls in the last one to two [`HALF_TIME`]s, in milliseconds.
#[derive(Debug, Clone)]
pub(super) struct RouteTimes {
    older: Histogram<u32>,
    newer: Histogram<u32>,
    begun: Time,
}

impl Default for RouteTimes {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_MS, DIGITS);
        let empty = empty.expect("the bounds and the digits are within the histogram's range");
        Self { older: empty.clone(), newer: empty, begun: Time(0) }
    }
}

impl RouteTimes {
    pub(super) fn record(&mut self, now: Time, took: Duration) {
        if now.since(self.begun) >= HALF_TIME {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
            self.begun = now;
        }
        let millis = u64::try_from(took.as_millis()).unwrap_or(MAX_MS);
        self.newer.saturating_record(millis.clamp(1, MAX_MS));
    }

    /// Returns the time below which this fraction of the calls was answered; `None` before
    /// [`MIN_ANSWERS`].
    pub(super) fn quantile(&self, quantile: f64) -> Option<Duration> {
        let fuller = match self.newer.len() >= MIN_ANSWERS {
            true => &self.newer,
            false => &self.older,
        };
        let is_known = fuller.len() >= MIN_ANSWERS;
        is_known.then(|| Duration::from_millis(fuller.value_at_quantile(quantile)))
    }
}
