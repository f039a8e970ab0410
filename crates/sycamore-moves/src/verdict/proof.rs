//! The proof that a step of the schedule asks for: failures of the new version lie at most a margin
//! above the old one's.

use super::sequential::proof_ratio;
use super::{Pair, Sample};

/// Strata kept of one step; the last two are joined where there are more.
const MAX_STRATA: usize = 64;
/// Standard errors by which a stratum's rate may differ from the step's before it counts as an
/// incident of the whole service.
const INCIDENT_ERRORS: f64 = 2.5;

/// Failures of both versions since a step began, stratum by stratum.
#[derive(Debug, Clone, Default)]
pub struct Proof {
    strata: Vec<Pair>,
}

impl Proof {
    /// Adds a closed stratum.
    pub fn close(&mut self, stratum: Pair) {
        if self.strata.len() >= MAX_STRATA {
            if let Some(last) = self.strata.last_mut() {
                *last = last.plus(stratum);
                return;
            }
        }
        self.strata.push(stratum);
    }

    /// Whether the strata, with the `open` one, rule out at error rate `beta` that the new version
    /// fails `margin` more often than the old one at the same time. Where the old version fails
    /// often itself, the margin is at least `ratio` times its rate. `old` holds the old version's
    /// failures over the whole move: they tell its rate more exactly than a step in which it has
    /// little traffic, unless something has changed since.
    pub fn rules_out(&self, open: Pair, old: &Sample, margin: f64, ratio: f64, beta: f64) -> bool {
        let strata = || self.strata.iter().copied().chain([open]);
        let all = strata().fold(Pair::default(), Pair::plus);
        let whole = rate(old);
        let usual = if is_usual(&all.old, whole) { whole } else { rate(&all.old) };
        let evidence: f64 = strata()
            .map(|pair| {
                let base = if is_usual(&pair.old, usual) { usual } else { rate(&pair.old) };
                proof_ratio(&pair.new, base, margin.max(base * ratio))
            })
            .sum();
        all.new.calls > 0 && evidence <= beta.ln()
    }
}

fn rate(sample: &Sample) -> f64 {
    (sample.hits as f64 + 0.1) / (sample.calls as f64 + 1.0)
}

/// Whether a stratum's rate of failures is what chance makes of the `usual` one.
fn is_usual(sample: &Sample, usual: f64) -> bool {
    let calls = sample.calls as f64;
    let deviation = (sample.hits as f64 - calls * usual).abs();
    deviation <= INCIDENT_ERRORS * (calls * usual * (1.0 - usual)).max(0.0).sqrt() + 1.0
}
