//! Latency histogram with exponential buckets.

use std::time::Duration;

/// Number of buckets per doubling of the latency.
pub const BUCKETS_PER_OCTAVE: u32 = 4;
/// Number of buckets: one below 1 ms, 64 up to 65 s, one above.
pub const BUCKETS: usize = 66;

/// Call counts by latency. Bucket 0 is below 1 ms; bucket `i` starts at `2^((i - 1) / 4)` ms.
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
    /// Returns the index of the bucket that contains `latency`.
    pub fn bucket(latency: Duration) -> usize {
        let millis = latency.as_secs_f64() * 1_000.0;
        if millis < 1.0 {
            return 0;
        }
        // From 1 ms on, the logarithm is not negative, so the conversion only truncates it.
        let steps = (millis.log2() * f64::from(BUCKETS_PER_OCTAVE)) as usize;
        (1 + steps).min(BUCKETS - 1)
    }

    /// Counts one call with this latency.
    pub fn record(&mut self, latency: Duration) {
        self.add(Self::bucket(latency), 1);
    }

    /// Adds `count` calls to `bucket`; an index out of range is taken as the last bucket.
    pub fn add(&mut self, bucket: usize, count: u32) {
        let bucket_count = &mut self.counts[bucket.min(BUCKETS - 1)];
        *bucket_count = bucket_count.saturating_add(count);
    }

    /// Adds the counts of `other` bucket by bucket.
    pub fn add_all(&mut self, other: &Histogram) {
        for (bucket, count) in other.non_empty() {
            self.add(bucket, count);
        }
    }

    /// Returns the counts added since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Histogram) -> Histogram {
        let mut since = self.clone();
        for (count, before) in since.counts.iter_mut().zip(&earlier.counts) {
            *count = count.saturating_sub(*before);
        }
        since
    }

    /// Returns the index and count of each bucket that is not empty.
    pub fn non_empty(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.counts.iter().copied().enumerate().filter(|(_, count)| *count > 0)
    }

    /// Returns the number of calls in all buckets.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns the number of calls in buckets above `bucket`.
    pub fn above(&self, bucket: usize) -> u64 {
        self.counts.iter().skip(bucket + 1).map(|count| u64::from(*count)).sum()
    }

    /// Returns the index of the bucket that contains the quantile `q`, from 0.0 to 1.0; `None` if
    /// there are no calls.
    pub fn quantile(&self, q: f64) -> Option<usize> {
        let total = self.total();
        let mut below = 0;
        self.counts.iter().position(|count| {
            below += u64::from(*count);
            total > 0 && below as f64 >= q * total as f64
        })
    }
}
