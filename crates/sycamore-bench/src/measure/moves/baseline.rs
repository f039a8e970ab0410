//! The `baseline` policy of `measure moves`: one controller that raises the share in fixed steps of
//! equal length and compares the new version's error rate with a threshold.

use super::scenario::Scenario;
use std::collections::VecDeque;
use sycamore_types::prelude::*;

/// New version's share in each step, in basis points.
const STEPS: [u16; 5] = [500, 1_000, 2_500, 5_000, 10_000];
/// Time between two checks of the error rate, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 5_000;
/// Sliding window over which the error rate is computed, in milliseconds.
const WINDOW_MS: u64 = 30_000;
/// Fewest calls in the window from which an error rate is computed.
const MIN_CALLS: usize = 20;
/// Error rate, as a fraction, above which the version is taken back.
const MAX_ERROR_RATE: f64 = 0.05;

/// Controller with the new version's recent outcomes.
#[derive(Debug, Default)]
pub struct Baseline {
    /// Time in milliseconds of each call in the window, and whether it failed.
    outcomes: VecDeque<(u64, bool)>,
    next_check_ms: u64,
    /// Time at which the controller took the version back, in milliseconds; `None` while it has
    /// not.
    pub taken_back_ms: Option<u64>,
}

impl Baseline {
    /// Returns the new version's share at `ms`.
    pub fn share(&self, scenario: &Scenario, ms: u64) -> Share {
        if self.taken_back_ms.is_some() || ms < scenario.start_ms {
            return Share::NONE;
        }
        let window = scenario.deadline_ms - scenario.start_ms;
        let step = (ms - scenario.start_ms) * STEPS.len() as u64 / window;
        // The cast loses nothing: a trial ends soon after the deadline, so the value stays small.
        Share::from_basis_points(STEPS[(step as usize).min(STEPS.len() - 1)])
    }

    /// Records the outcome of a call to the new version.
    pub fn record(&mut self, ms: u64, kind: OutcomeKind) {
        let failed =
            matches!(kind, OutcomeKind::Failed | OutcomeKind::Broken | OutcomeKind::TimedOut);
        self.outcomes.push_back((ms, failed));
    }

    /// Checks the error rate, at most once per [`CHECK_INTERVAL_MS`].
    pub fn check(&mut self, ms: u64) {
        if ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = ms + CHECK_INTERVAL_MS;
        while self.outcomes.front().is_some_and(|(at, _)| at + WINDOW_MS < ms) {
            self.outcomes.pop_front();
        }
        let failed = self.outcomes.iter().filter(|(_, failed)| *failed).count();
        let calls = self.outcomes.len();
        if calls >= MIN_CALLS && failed as f64 / calls as f64 > MAX_ERROR_RATE {
            self.taken_back_ms.get_or_insert(ms);
        }
    }
}
