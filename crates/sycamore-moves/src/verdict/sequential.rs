//! Sequential likelihood-ratio tests on counts of hits and calls.

use super::{Pair, Sample};

/// Alternative hypotheses of the pair test: hit rates of the old and the new version.
const PAIR_RATES: [(f64, f64); 16] = [
    (0.002, 0.02),
    (0.002, 0.06),
    (0.002, 0.2),
    (0.002, 0.5),
    (0.002, 0.95),
    (0.02, 0.06),
    (0.02, 0.2),
    (0.02, 0.5),
    (0.02, 0.95),
    (0.1, 0.25),
    (0.1, 0.5),
    (0.1, 0.95),
    (0.3, 0.6),
    (0.3, 0.95),
    (0.000_01, 0.001),
    (0.000_01, 0.01),
];

/// Alternative hypotheses of the reference test: hit rates of the new version.
const REFERENCE_RATES: [f64; 8] = [0.001, 0.01, 0.03, 0.08, 0.2, 0.4, 0.7, 0.95];

/// Ratio to the allowed rate that a hypothesis's rate must exceed to be tested on a sample.
const MIN_RATIO: f64 = 1.25;

/// Sequential test of whether the new version has a higher hit rate than the old one at the same
/// time.
#[derive(Debug, Clone, Default)]
pub struct PairTest {
    /// Logarithm of the evidence for each hypothesis from the closed strata.
    closed: [f64; PAIR_RATES.len()],
}

impl PairTest {
    /// Returns the natural logarithm of the evidence, including the `open` stratum.
    pub fn evidence(&self, open: &Pair) -> f64 {
        if open.new.hits == 0 && self.closed.iter().all(|closed| *closed <= 0.0) {
            return 0.0;
        }
        let sums = self.closed.iter().zip(&PAIR_RATES);
        log_mean_exp(sums.map(|(closed, rates)| closed + pair_ratio(open, *rates)))
    }

    /// Adds a closed stratum. A hypothesis whose evidence falls below 1 restarts at 1.
    pub fn close_stratum(&mut self, stratum: &Pair) {
        for (closed, rates) in self.closed.iter_mut().zip(&PAIR_RATES) {
            *closed = (*closed + pair_ratio(stratum, *rates)).max(0.0);
        }
    }
}

/// Computes the log likelihood ratio of the hypothesis "old version at rate `old`, new version at
/// rate `new`" to "both at the weighted mean of these rates"; it is an e-value whatever the common
/// rate.
fn pair_ratio(pair: &Pair, (old, new): (f64, f64)) -> f64 {
    let Pair { new: of_new, old: of_old } = pair;
    let calls = of_new.calls + of_old.calls;
    if calls == 0 {
        return 0.0;
    }
    let new_part = of_new.calls as f64 / calls as f64;
    let common = new_part * new + (1.0 - new_part) * old;
    ratio(of_new, new, common) + ratio(of_old, old, common)
}

/// Sequential test of whether the new version has a higher hit rate than the old version's allows.
#[derive(Debug, Clone, Default)]
pub struct ReferenceTest {
    /// Logarithm of the evidence for each hypothesis from the closed strata.
    closed: [f64; REFERENCE_RATES.len()],
}

impl ReferenceTest {
    /// Returns the natural logarithm of the evidence, including the `open` stratum, whose samples
    /// come with the rate allowed to each.
    pub fn evidence(&self, open: &[(Sample, f64)]) -> f64 {
        let hits: u64 = open.iter().map(|(sample, _)| sample.hits).sum();
        if hits == 0 && self.closed.iter().all(|closed| *closed <= 0.0) {
            return 0.0;
        }
        let sums = self.closed.iter().zip(&REFERENCE_RATES);
        log_mean_exp(sums.map(|(closed, rate)| closed + reference_ratio(open, *rate)))
    }

    /// Adds a closed stratum. A hypothesis whose evidence falls below 1 restarts at 1.
    pub fn close_stratum(&mut self, stratum: &[(Sample, f64)]) {
        for (closed, rate) in self.closed.iter_mut().zip(&REFERENCE_RATES) {
            *closed = (*closed + reference_ratio(stratum, *rate)).max(0.0);
        }
    }
}

/// Computes the log likelihood ratio of `rate` to the rate allowed to each sample. Samples whose
/// allowed rate is too close to `rate` are left out.
fn reference_ratio(samples: &[(Sample, f64)], rate: f64) -> f64 {
    let distinguishable = samples.iter().filter(|(_, allowed)| rate > allowed * MIN_RATIO);
    distinguishable.map(|(sample, allowed)| ratio(sample, rate, *allowed)).sum()
}

/// Computes the log likelihood ratio of a failure rate `margin` above `base` to one that is a
/// fiftieth of the margin above it.
pub(super) fn non_inferiority_ratio(new: &Sample, base: f64, margin: f64) -> f64 {
    ratio(new, base + margin, base + margin / 50.0)
}

/// Lowest rate of a hypothesis; a rate of 0 would have no logarithm.
const MIN_RATE: f64 = 1e-6;
/// Highest rate of a hypothesis; a rate of 1 would leave no logarithm for calls without a hit.
const MAX_RATE: f64 = 0.999;

/// Computes the log likelihood ratio of the hit rate `a` to the hit rate `b`.
fn ratio(sample: &Sample, a: f64, b: f64) -> f64 {
    let (a, b) = (a.clamp(MIN_RATE, MAX_RATE), b.clamp(MIN_RATE, MAX_RATE));
    let misses = sample.calls.saturating_sub(sample.hits);
    sample.hits as f64 * (a / b).ln() + misses as f64 * ((1.0 - a) / (1.0 - b)).ln()
}

/// Computes the logarithm of the mean of the exponentials without overflow.
fn log_mean_exp(logs: impl Iterator<Item = f64> + Clone) -> f64 {
    let highest = logs.clone().fold(f64::NEG_INFINITY, f64::max);
    let (sum, count) =
        logs.fold((0.0, 0.0), |(sum, count), log| (sum + (log - highest).exp(), count + 1.0));
    highest + (sum / count).ln()
}
