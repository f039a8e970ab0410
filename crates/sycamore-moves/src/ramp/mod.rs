//! The schedule of a move: its shares with the guard of each, fitted to the deadline.

mod fit;

pub use fit::{fit, FitOptions, MIN_WINDOW};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use std::time::Duration;
use sycamore_types::share::Share;
use sycamore_types::time::WallTime;

/// One step: a share, and what must be seen at it before the next one.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Share of the new version.
    pub share: Share,
    /// The earliest time of the step.
    pub at: WallTime,
    /// Time that the step is held at least, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
    /// Share of failures above the old version's that the evidence must rule out.
    pub margin: Share,
}

/// The whole schedule. Clearing step `k` opens step `k + 1`; the last step is all traffic, and the
/// last but one is the watch period, with a rest of the traffic on the old version to compare with.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Schedule {
    /// The steps, at least two, with growing shares.
    pub steps: Vec<Step>,
    /// When the move must be decided.
    pub deadline: WallTime,
}

impl Schedule {
    /// Index of the watch period.
    pub fn watch_step(&self) -> usize {
        self.steps.len().saturating_sub(2)
    }

    /// The step that is open at `now` with steps before `cleared` cleared; `None` before the start.
    pub fn open_step(&self, now: WallTime, cleared: usize) -> Option<usize> {
        let reached = self.steps.iter().take(cleared + 1).filter(|step| step.at <= now).count();
        reached.checked_sub(1)
    }

    /// The share at `now` with steps before `cleared` cleared.
    pub fn share(&self, now: WallTime, cleared: usize) -> Share {
        let step = self.open_step(now, cleared).and_then(|step| self.steps.get(step));
        step.map_or(Share::NONE, |step| step.share)
    }

    /// Time that step `index` is held: as agreed while the schedule is on time, shorter where less
    /// time is left than the ramp still takes, down to a quarter. The watch period never shrinks.
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

/// Smallest part of an agreed hold that is kept where time runs short.
const MIN_HOLD_FACTOR: f64 = 0.25;
