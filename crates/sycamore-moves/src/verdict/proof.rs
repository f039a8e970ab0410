//! Non-inferiority test that clears a step: the new version's failure rate exceeds the old
//! version's by less than a margin.

use super::sequential::non_inferiority_ratio;
use super::{Pair, Sample};

/// Number of strata kept per step; further ones are added to the last.
const MAX_STRATA: usize = 64;
/// Number of standard errors by which the old version's failure rate in a stratum may differ from
/// its usual one before the stratum counts as an incident of the whole service.
const INCIDENT_ERRORS: f64 = 2.5;

/// Failures of both versions since a step was opened, by stratum of time.
#[derive(Debug, Clone, Default)]
pub struct NonInferiorityTest {
    strata: Vec<Pair>,
}

impl NonInferiorityTest {
    /// Adds a closed stratum.
    pub fn close_stratum(&mut self, stratum: Pair) {
        if self.strata.len() >= MAX_STRATA {
            if let Some(last) = self.strata.last_mut() {
                *last = last.plus(stratum);
                return;
            }
        }
        self.strata.push(stratum);
    }

    /// Returns whether the closed strata and the `open` one rule out, at error rate `beta`, that
    /// the new version's failure rate is `margin` above the old version's at the same time. Where
    /// the old version fails often itself, the margin is at least `ratio` times its rate. `old`
    /// holds the old version's failures over the whole move: its rate over the move is more precise
    /// than over one step, in which it may get little traffic, and is used unless the step's own
    /// rate differs from it significantly.
    pub fn rules_out(&self, open: Pair, old: &Sample, margin: f64, ratio: f64, beta: f64) -> bool {
        let strata = || self.strata.iter().copied().chain([open]);
        let all = strata().fold(Pair::default(), Pair::plus);
        let over_move = rate(old);
        let usual = if is_usual(&all.old, over_move) { over_move } else { rate(&all.old) };
        let evidence: f64 = strata()
            .map(|pair| {
                let base = if is_usual(&pair.old, usual) { usual } else { rate(&pair.old) };
                non_inferiority_ratio(&pair.new, base, margin.max(base * ratio))
            })
            .sum();
        all.new.calls > 0 && evidence <= beta.ln()
    }
}

/// Estimates the failure rate of `sample`; above 0 even without hits.
fn rate(sample: &Sample) -> f64 {
    (sample.hits as f64 + 0.1) / (sample.calls as f64 + 1.0)
}

/// Returns whether the failures in `sample` are consistent with the `usual` rate.
fn is_usual(sample: &Sample, usual: f64) -> bool {
    let calls = sample.calls as f64;
    let deviation = (sample.hits as f64 - calls * usual).abs();
    deviation <= INCIDENT_ERRORS * (calls * usual * (1.0 - usual)).max(0.0).sqrt() + 1.0
}
