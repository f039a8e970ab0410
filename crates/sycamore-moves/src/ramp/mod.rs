//! Schedule of a move: traffic shares with the conditions for each, fitted to the deadline.

mod fit;

pub use fit::{fit, FitOptions, MIN_WINDOW};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use std::time::Duration;
use sycamore_types::share::Share;
use sycamore_types::time::WallTime;

/// Step of a schedule: a traffic share and the conditions for clearing it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Share of the new version during the step.
    pub share: Share,
    /// Earliest time at which the step opens.
    pub at: WallTime,
    /// Minimum time that the step is held; written in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
    /// Excess of the new version's failure rate over the old version's that the evidence must rule
    /// out before the step is cleared.
    pub margin: Share,
}

/// Smallest number of steps of a schedule: the watch period, and all traffic.
pub const MIN_STEPS: usize = 2;
/// Largest number of steps of a schedule, which bounds the work of a tick.
pub const MAX_STEPS: usize = 64;

/// Schedule of a move. Clearing step `k` opens step `k + 1`. The last step has all traffic; the one
/// before it is the watch period, in which the old version keeps some traffic for comparison.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Schedule {
    /// Steps of the schedule, [`MIN_STEPS`] to [`MAX_STEPS`], with growing shares.
    pub steps: Vec<Step>,
    /// Time by which the move must be decided.
    pub deadline: WallTime,
}

impl Schedule {
    /// Returns the index of the watch period's step.
    pub fn watch_step(&self) -> usize {
        self.steps.len().saturating_sub(2)
    }

    /// Returns the index of the step that is open at `now` when the first `cleared` steps are
    /// cleared; `None` before the start.
    pub fn open_step(&self, now: WallTime, cleared: usize) -> Option<usize> {
        let reached = self.steps.iter().take(cleared + 1).filter(|step| step.at <= now).count();
        reached.checked_sub(1)
    }

    /// Returns the new version's share at `now` when the first `cleared` steps are cleared.
    pub fn share(&self, now: WallTime, cleared: usize) -> Share {
        let step = self.open_step(now, cleared).and_then(|step| self.steps.get(step));
        step.map_or(Share::NONE, |step| step.share)
    }

    /// Returns the minimum time that step `index` is held if it was opened at `opened`. If less
    /// time is left than the rest of the ramp takes, the hold is shortened in proportion, down to a
    /// quarter. The watch period is never shortened.
    pub fn hold(&self, index: usize, opened: WallTime) -> Duration {
        let Some(step) = self.steps.get(index) else { return Duration::ZERO };
        let watch = self.watch_step();
        if index >= watch {
            return step.hold;
        }
        let planned: Duration = self.steps[index..watch].iter().map(|step| step.hold).sum();
        let left = self.deadline.since(opened).saturating_sub(self.steps[watch].hold);
        if left >= planned || planned.is_zero() {
            return step.hold;
        }
        let factor = left.as_secs_f64() / planned.as_secs_f64();
        step.hold.mul_f64(factor.max(MIN_HOLD_FACTOR))
    }
}

/// Smallest factor by which a scheduled hold is shortened when time runs short.
const MIN_HOLD_FACTOR: f64 = 0.25;
