//! Computation of a schedule that fits the time from start to deadline.

use super::{Schedule, Step};
use crate::plan::MoveSpec;
use std::time::Duration;
use sycamore_types::share::Share;
use sycamore_types::time::WallTime;

/// Shortest time from start to deadline that a move may have.
pub const MIN_WINDOW: Duration = Duration::from_secs(5);

/// Window below which fewer and shorter steps are used. At some hundred calls per second,
/// collecting the evidence for each step takes seconds, which leaves no time for the usual steps.
const SHORT_WINDOW: Duration = Duration::from_secs(60);

/// Shares, holds and margins of a schedule.
#[derive(Debug, Clone)]
pub struct FitOptions {
    /// Steps before the watch period: the share, the fraction of the total hold time that the step
    /// gets, and the margin that its evidence must rule out. The share of the first entry is
    /// replaced by the move's cap.
    pub steps: Vec<(Share, f64, Share)>,
    /// Share during the watch period; the rest stays on the old version for comparison.
    pub watch_share: Share,
    /// Margin that the evidence of the watch period must rule out.
    pub watch_margin: Share,
    /// Fraction of the window that the watch period gets if the move specifies none.
    pub watch_fraction: f64,
    /// Maximum length of a watch period that the move does not specify.
    pub max_watch: Duration,
    /// Fraction of the ramp time that is spent on holds; the rest is reserve for evidence that
    /// comes slowly.
    pub hold_fraction: f64,
}

impl FitOptions {
    /// Returns the options for a window from start to deadline: the default ones, or fewer and
    /// shorter steps if the window is below a minute.
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
            watch_fraction: 0.15,
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
            watch_fraction: 0.25,
            max_watch: Duration::from_secs(1_800),
            hold_fraction: 0.6,
        }
    }
}

/// Computes the schedule of `spec` for a move that is accepted at `now`. A start in the past counts
/// as `now`.
pub fn fit(spec: &MoveSpec, now: WallTime, options: &FitOptions) -> Schedule {
    let start = spec.start.max(now);
    let window = spec.deadline.since(start);
    let watch =
        spec.watch.unwrap_or_else(|| window.mul_f64(options.watch_fraction).min(options.max_watch));
    let holds = window.saturating_sub(watch).mul_f64(options.hold_fraction);
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

/// Returns the steps before the watch period, with `holds` divided between them. Steps whose share
/// is not above the move's cap are left out.
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
