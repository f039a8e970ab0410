//! Latency histogram with buckets of equal ratio.

use std::time::Duration;

/// Buckets for each doubling of the latency.
pub const BUCKETS_PER_OCTAVE: u32 = 4;
/// Number of buckets: below one millisecond, then up to 65 s, then the rest.
pub const BUCKETS: usize = 66;

/// Counts of calls by latency. Bucket 0 is below 1 ms, bucket `i` starts at `2^((i - 1) / 4)` ms.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Histogram {
    counts: [u32; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS] }
    }
}

impl Histogram {
    /// The bucket that `latency` falls into.
    pub fn bucket(latency: Duration) -> usize {
        let millis = latency.as_secs_f64() * 1_000.0;
        if millis < 1.0 {
            return 0;
        }
        // At least 1 ms, so the logarithm is not negative and the conversion truncates it.
        let octaves = (millis.log2() * f64::from(BUCKETS_PER_OCTAVE)) as usize;
        (1 + octaves).min(BUCKETS - 1)
    }

    /// Counts one call.
    pub fn record(&mut self, latency: Duration) {
        self.add(Self::bucket(latency), 1);
    }

    /// Adds `count` calls to `bucket`; a bucket that does not exist counts as the last one.
    pub fn add(&mut self, bucket: usize, count: u32) {
        let slot = &mut self.counts[bucket.min(BUCKETS - 1)];
        *slot = slot.saturating_add(count);
    }

    /// Adds the counts of `other`.
    pub fn add_all(&mut self, other: &Histogram) {
        for (bucket, count) in other.filled() {
            self.add(bucket, count);
        }
    }

    /// What was counted since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Histogram) -> Histogram {
        let mut since = self.clone();
        for (count, before) in since.counts.iter_mut().zip(&earlier.counts) {
            *count = count.saturating_sub(*before);
        }
        since
    }

    /// Buckets that hold calls.
    pub fn filled(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.counts.iter().copied().enumerate().filter(|(_, count)| *count > 0)
    }

    /// All calls.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Calls in buckets above `bucket`.
    pub fn above(&self, bucket: usize) -> u64 {
        self.counts.iter().skip(bucket + 1).map(|count| u64::from(*count)).sum()
    }

    /// The bucket that holds the quantile `q`, 0.0 to 1.0; `None` without calls.
    pub fn quantile(&self, q: f64) -> Option<usize> {
        let total = self.total();
        let mut below = 0;
        self.counts.iter().position(|count| {
            below += u64::from(*count);
            total > 0 && below as f64 >= q * total as f64
        })
    }
}
