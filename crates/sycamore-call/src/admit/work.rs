//! Mean service times of calls on the upstream, by kind of work.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample in a mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum number of kinds of work with a mean of their own; further kinds use the mean of all
/// calls.
const MAX_KINDS: usize = 256;

/// Exponentially weighted mean service times.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    mean: Option<Duration>,
    by_kind: BTreeMap<u64, Duration>,
}

impl ServiceTimes {
    /// Adds the service time of a call of kind `work`.
    pub(super) fn record(&mut self, work: u64, time: Duration) {
        self.mean = Some(ewma(self.mean, time));
        let known = self.by_kind.get(&work).copied();
        if known.is_some() || self.by_kind.len() < MAX_KINDS {
            self.by_kind.insert(work, ewma(known, time));
        }
    }

    /// Returns the mean over all calls; `None` before the first one has ended.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns the mean over calls of kind `work`, or over all calls where none of that kind has
    /// ended.
    pub(super) fn of(&self, work: u64) -> Option<Duration> {
        self.by_kind.get(&work).copied().or(self.mean)
    }
}

fn ewma(mean: Option<Duration>, time: Duration) -> Duration {
    let mean = mean.unwrap_or(time);
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT)
}
