//! How long calls take on the upstream, by kind of work.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample in a mean.
const WEIGHT: f64 = 0.05;
/// Kinds of work that are told apart; further ones go by the mean of all.
const MAX_KINDS: usize = 256;

/// Mean times on the upstream.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkTimes {
    mean: Option<Duration>,
    by_kind: BTreeMap<u64, Duration>,
}

impl WorkTimes {
    /// Takes the time that a call of kind `work` took.
    pub(super) fn learn(&mut self, work: u64, time: Duration) {
        self.mean = Some(mix(self.mean, time));
        let known = self.by_kind.get(&work).copied();
        if known.is_some() || self.by_kind.len() < MAX_KINDS {
            self.by_kind.insert(work, mix(known, time));
        }
    }

    /// The mean over all calls; `None` before the first one.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// The mean over calls of kind `work`, or over all where none has ended yet.
    pub(super) fn of(&self, work: u64) -> Option<Duration> {
        self.by_kind.get(&work).copied().or(self.mean)
    }
}

fn mix(before: Option<Duration>, time: Duration) -> Duration {
    let before = before.unwrap_or(time);
    before.mul_f64(1.0 - WEIGHT) + time.mul_f64(WEIGHT)
}
