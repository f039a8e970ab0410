//! Fits a schedule to the time from start to deadline.

use super::{Schedule, Step};
use crate::plan::MoveSpec;
use std::time::Duration;
use sycamore_types::share::Share;
use sycamore_types::time::WallTime;

/// Shortest time from start to deadline that a schedule fits into.
pub const MIN_WINDOW: Duration = Duration::from_secs(5);

/// A window below this leaves no time for the usual steps: evidence of some hundred calls a second
/// takes seconds for each.
const SHORT_WINDOW: Duration = Duration::from_secs(60);

/// How a schedule is cut.
#[derive(Debug, Clone)]
pub struct FitOptions {
    /// Shares after the cap and before the watch period, with the part of the holding time that
    /// each gets and the margin that its evidence must rule out. The first entry is the cap itself,
    /// whose share the move's own replaces.
    pub steps: Vec<(Share, f64, Share)>,
    /// Share during the watch period; the rest stays on the old version to compare with.
    pub watch_share: Share,
    /// Margin that the evidence of the watch period must rule out.
    pub watch_margin: Share,
    /// Part of the whole time that the watch period gets where the move names none.
    pub watch_part: f64,
    /// Longest watch period that is chosen without being asked for.
    pub max_watch: Duration,
    /// Part of the ramp time that is spent on holds; the rest is left for evidence that comes slowly.
    pub hold_part: f64,
}

impl FitOptions {
    /// Options for a window from start to deadline: the usual ones, or few and short steps where
    /// there are seconds only.
    pub fn for_window(window: Duration) -> Self {
        if window >= SHORT_WINDOW {
            return Self::default();
        }
        let points = Share::from_basis_points;
        Self {
            steps: vec![
                (points(800), 0.4, points(1_000)),
                (points(2_500), 0.3, points(600)),
                (points(5_000), 0.3, points(400)),
            ],
            watch_margin: points(200),
            watch_part: 0.15,
            ..Self::default()
        }
    }
}

impl Default for FitOptions {
    fn default() -> Self {
        let points = Share::from_basis_points;
        Self {
            steps: vec![
                (points(500), 0.3, points(1_000)),
                (points(1_000), 0.2, points(700)),
                (points(2_500), 0.2, points(500)),
                (points(5_000), 0.3, points(300)),
            ],
            watch_share: points(9_500),
            watch_margin: points(100),
            watch_part: 0.25,
            max_watch: Duration::from_secs(1_800),
            hold_part: 0.6,
        }
    }
}

/// The schedule of `spec` when agreed at `now`; a start in the past begins at once.
pub fn fit(spec: &MoveSpec, now: WallTime, options: &FitOptions) -> Schedule {
    let start = spec.start.max(now);
    let window = spec.deadline.since(start);
    let watch =
        spec.watch.unwrap_or_else(|| window.mul_f64(options.watch_part).min(options.max_watch));
    let holds = window.saturating_sub(watch).mul_f64(options.hold_part);
    let mut steps = ramp_steps(spec, start, holds, options);
    let watch_at = steps.last().map_or(start, |step| step.at + step.hold);
    steps.push(Step {
        share: options.watch_share,
        at: watch_at,
        hold: watch,
        margin: options.watch_margin,
    });
    steps.push(Step {
        share: Share::ALL,
        at: watch_at + watch,
        hold: Duration::ZERO,
        margin: Share::ALL,
    });
    Schedule { steps, deadline: spec.deadline }
}

fn ramp_steps(
    spec: &MoveSpec,
    start: WallTime,
    holds: Duration,
    options: &FitOptions,
) -> Vec<Step> {
    let kept: Vec<(Share, f64, Share)> = options
        .steps
        .iter()
        .enumerate()
        .filter(|(index, (share, ..))| *index == 0 || *share > spec.cap)
        .map(|(index, (share, part, margin))| {
            (if index == 0 { spec.cap } else { *share }, *part, *margin)
        })
        .collect();
    let parts: f64 = kept.iter().map(|(_, part, _)| part).sum();
    let mut at = start;
    let mut steps = Vec::with_capacity(kept.len() + 2);
    for (share, part, margin) in kept {
        let hold = holds.mul_f64(part / parts);
        steps.push(Step { share, at, hold, margin });
        at = at + hold;
    }
    steps
}
