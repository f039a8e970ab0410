//! Mean service times of calls on the upstream, by kind of work.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample in a mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum number of kinds of work with a mean of their own. A configuration must not have more
/// routes: kinds that take turns beyond it would evict each other before their means are used.
pub const MAX_KINDS: usize = 32_768;

/// Exponentially weighted mean service times.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    mean: Option<Duration>,
    by_kind: BTreeMap<u64, KindMean>,
    /// Kinds by the number of their last sample.
    by_last_sample: BTreeMap<u64, u64>,
    /// Number of samples of all kinds.
    samples: u64,
}

#[derive(Debug, Clone, Copy)]
struct KindMean {
    mean: Duration,
    /// Number of the last sample of this kind.
    last_sample: u64,
}

impl ServiceTimes {
    /// Adds the service time of a call of kind `work`; beyond [`MAX_KINDS`], the kind whose last
    /// call ended first is forgotten.
    pub(super) fn record(&mut self, work: u64, time: Duration) {
        self.mean = Some(ewma(self.mean, time));
        self.samples += 1;
        let known = self.by_kind.get(&work).copied();
        match known {
            Some(known) => drop(self.by_last_sample.remove(&known.last_sample)),
            None if self.by_kind.len() >= MAX_KINDS => self.evict_oldest(),
            None => {}
        }
        let mean = ewma(known.map(|known| known.mean), time);
        self.by_kind.insert(work, KindMean { mean, last_sample: self.samples });
        self.by_last_sample.insert(self.samples, work);
    }

    fn evict_oldest(&mut self) {
        if let Some((_, work)) = self.by_last_sample.pop_first() {
            self.by_kind.remove(&work);
        }
    }

    /// Returns the mean over all calls; `None` before the first one has ended.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns the mean over calls of kind `work`, or over all calls where none of that kind is
    /// known.
    pub(super) fn of(&self, work: u64) -> Option<Duration> {
        self.by_kind.get(&work).map(|kind| kind.mean).or(self.mean)
    }
}

fn ewma(mean: Option<Duration>, time: Duration) -> Duration {
    let mean = mean.unwrap_or(time);
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT)
}
