//! The policy to compare with: fixed steps of equal length and a threshold on the error rate of the
//! new version alone, looked at by one controller.

use super::scenario::Scenario;
use std::collections::VecDeque;
use sycamore_types::prelude::*;

/// Shares of the steps, in basis points.
const STEPS: [u16; 5] = [500, 1_000, 2_500, 5_000, 10_000];
/// Time between two looks of the controller, in milliseconds.
const LOOK_MS: u64 = 5_000;
/// Time over which the error rate is taken, in milliseconds.
const WINDOW_MS: u64 = 30_000;
/// Calls that an error rate needs.
const MIN_CALLS: usize = 20;
/// Error rate from which the version is taken back.
const MAX_ERROR_RATE: f64 = 0.05;

/// The controller.
#[derive(Debug, Default)]
pub struct Baseline {
    outcomes: VecDeque<(u64, bool)>,
    next_look_ms: u64,
    /// When it took the version back, in milliseconds.
    pub withdrawn_ms: Option<u64>,
}

impl Baseline {
    /// The share of the new version.
    pub fn share(&self, scenario: &Scenario, ms: u64) -> Share {
        if self.withdrawn_ms.is_some() || ms < scenario.start_ms {
            return Share::NONE;
        }
        let window = scenario.deadline_ms - scenario.start_ms;
        let step = (ms - scenario.start_ms) * STEPS.len() as u64 / window;
        // The index is below the number of steps.
        Share::from_basis_points(STEPS[(step as usize).min(STEPS.len() - 1)])
    }

    /// Sees an outcome of the new version.
    pub fn record(&mut self, ms: u64, kind: OutcomeKind) {
        let failed =
            matches!(kind, OutcomeKind::Failed | OutcomeKind::Broken | OutcomeKind::TimedOut);
        self.outcomes.push_back((ms, failed));
    }

    /// Looks at the error rate, when it is time.
    pub fn look(&mut self, ms: u64) {
        if ms < self.next_look_ms {
            return;
        }
        self.next_look_ms = ms + LOOK_MS;
        while self.outcomes.front().is_some_and(|(at, _)| at + WINDOW_MS < ms) {
            self.outcomes.pop_front();
        }
        let failed = self.outcomes.iter().filter(|(_, failed)| *failed).count();
        let calls = self.outcomes.len();
        if calls >= MIN_CALLS && failed as f64 / calls as f64 > MAX_ERROR_RATE {
            self.withdrawn_ms.get_or_insert(ms);
        }
    }
}
