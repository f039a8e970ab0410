//! Sequential tests on counts.

use super::{Pair, Sample};

/// Rates of the old and the new version that the pair test holds for possible.
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

/// Rates of the new version that the reference test holds for possible.
const REFERENCE_RATES: [f64; 8] = [0.001, 0.01, 0.03, 0.08, 0.2, 0.4, 0.7, 0.95];

/// Smallest ratio of a possible rate to the rate that the reference allows.
const MIN_RATIO: f64 = 1.25;

/// Tests whether the new version has a higher rate of hits than the old one at the same time.
#[derive(Debug, Clone, Default)]
pub struct PairTest {
    closed: [f64; PAIR_RATES.len()],
}

impl PairTest {
    /// Natural logarithm of the evidence, with the counts of the open stratum.
    pub fn evidence(&self, open: &Pair) -> f64 {
        if open.new.hits == 0 && self.closed.iter().all(|closed| *closed <= 0.0) {
            return 0.0;
        }
        let sums = self.closed.iter().zip(&PAIR_RATES);
        log_mean_exp(sums.map(|(closed, rates)| closed + pair_ratio(open, *rates)))
    }

    /// Closes the stratum. A hypothesis that has lost all evidence starts again.
    pub fn close(&mut self, stratum: &Pair) {
        for (closed, rates) in self.closed.iter_mut().zip(&PAIR_RATES) {
            *closed = (*closed + pair_ratio(stratum, *rates)).max(0.0);
        }
    }
}

/// Logarithm of the likelihood ratio of "old at `rates.0`, new at `rates.1`" to "both at the rate
/// that this mixes to", which is an e-value for any common rate.
fn pair_ratio(pair: &Pair, (old, new): (f64, f64)) -> f64 {
    let Pair { new: of_new, old: of_old } = pair;
    let calls = of_new.calls + of_old.calls;
    if calls == 0 {
        return 0.0;
    }
    let part = of_new.calls as f64 / calls as f64;
    let common = part * new + (1.0 - part) * old;
    ratio(of_new, new, common) + ratio(of_old, old, common)
}

/// Tests whether the new version has a higher rate of hits than a reference allows.
#[derive(Debug, Clone, Default)]
pub struct ReferenceTest {
    closed: [f64; REFERENCE_RATES.len()],
}

impl ReferenceTest {
    /// Natural logarithm of the evidence, with the open stratum: samples and the rate allowed to each.
    pub fn evidence(&self, open: &[(Sample, f64)]) -> f64 {
        let hits: u64 = open.iter().map(|(sample, _)| sample.hits).sum();
        if hits == 0 && self.closed.iter().all(|closed| *closed <= 0.0) {
            return 0.0;
        }
        let sums = self.closed.iter().zip(&REFERENCE_RATES);
        log_mean_exp(sums.map(|(closed, rate)| closed + reference_ratio(open, *rate)))
    }

    /// Closes the stratum. A hypothesis that has lost all evidence starts again.
    pub fn close(&mut self, stratum: &[(Sample, f64)]) {
        for (closed, rate) in self.closed.iter_mut().zip(&REFERENCE_RATES) {
            *closed = (*closed + reference_ratio(stratum, *rate)).max(0.0);
        }
    }
}

fn reference_ratio(samples: &[(Sample, f64)], rate: f64) -> f64 {
    let tellable = samples.iter().filter(|(_, allowed)| rate > allowed * MIN_RATIO);
    tellable.map(|(sample, allowed)| ratio(sample, rate, *allowed)).sum()
}

/// Logarithm of the likelihood ratio of "a rate `margin` above `base`" to "`base` plus a fiftieth of
/// the margin".
pub(super) fn proof_ratio(new: &Sample, base: f64, margin: f64) -> f64 {
    ratio(new, base + margin, base + margin / 50.0)
}

const MIN_RATE: f64 = 1e-6;
const MAX_RATE: f64 = 0.999;

/// Logarithm of the likelihood ratio of rate `a` to rate `b`.
fn ratio(sample: &Sample, a: f64, b: f64) -> f64 {
    let (a, b) = (a.clamp(MIN_RATE, MAX_RATE), b.clamp(MIN_RATE, MAX_RATE));
    let misses = sample.calls.saturating_sub(sample.hits);
    sample.hits as f64 * (a / b).ln() + misses as f64 * ((1.0 - a) / (1.0 - b)).ln()
}

fn log_mean_exp(logs: impl Iterator<Item = f64> + Clone) -> f64 {
    let highest = logs.clone().fold(f64::NEG_INFINITY, f64::max);
    let (sum, count) =
        logs.fold((0.0, 0.0), |(sum, count), log| (sum + (log - highest).exp(), count + 1.0));
    highest + (sum / count).ln()
}
