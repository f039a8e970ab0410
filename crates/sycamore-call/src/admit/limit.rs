//! How many calls run at a time: at most the declared slots, less where the upstream slows.

use super::RunEnd;
use std::time::Duration;

/// Growth of the limit for one answer at the limit, in calls per limit of answers.
const INCREASE: f64 = 1.0;
/// Factor of the limit after an overload signal.
const DECREASE: f64 = 0.9;
/// Answers between two decreases, per call of limit: one reaction for one round of calls.
const DECREASE_ROUND: f64 = 1.0;
/// Weight of a new sample in the short mean.
const SHORT_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the long mean.
const LONG_WEIGHT: f64 = 0.005;
/// How far the short mean may exceed the long one before the limit falls.
const TOLERANCE: f64 = 1.5;
/// Least factor of one adjustment of the gradient.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the new limit in an adjustment of the gradient.
const SMOOTHING: f64 = 0.1;

/// How the limit follows the upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum LimitPolicy {
    /// The declared slots, always.
    Fixed,
    /// Additive increase while all is well, multiplicative decrease on refusals and timeouts.
    #[default]
    Aimd,
    /// The ratio of the long to the short mean latency scales the limit (as TCP Vegas does).
    Gradient,
}

#[derive(Debug, Clone)]
pub(super) struct Limiter {
    policy: LimitPolicy,
    slots: f64,
    limit: f64,
    short: Option<f64>,
    long: Option<f64>,
    /// Answers until a further decrease is allowed.
    hold: f64,
}

impl Limiter {
    pub(super) fn new(policy: LimitPolicy) -> Self {
        Self { policy, slots: 0.0, limit: 0.0, short: None, long: None, hold: 0.0 }
    }

    /// Takes the declared slots; a change of them starts afresh.
    pub(super) fn announce(&mut self, slots: u16) {
        let slots = f64::from(slots);
        if slots != self.slots {
            self.slots = slots;
            self.limit = slots;
        }
    }

    pub(super) fn limit(&self) -> u16 {
        // The limit is between 0 and the slots, which are a u16.
        self.limit as u16
    }

    pub(super) fn sample(&mut self, latency: Duration, running: usize, end: RunEnd) {
        match self.policy {
            LimitPolicy::Fixed => {}
            LimitPolicy::Aimd => self.aimd(running, end),
            LimitPolicy::Gradient => self.gradient(latency, running, end),
        }
        self.limit = self.limit.clamp(self.slots.min(1.0), self.slots);
    }

    fn aimd(&mut self, running: usize, end: RunEnd) {
        self.hold = (self.hold - 1.0).max(0.0);
        match end {
            RunEnd::Answered if running as f64 + 1.0 >= self.limit => {
                self.limit += INCREASE / self.limit.max(1.0);
            }
            RunEnd::Overloaded if self.hold == 0.0 => {
                self.limit *= DECREASE;
                self.hold = self.limit * DECREASE_ROUND;
            }
            RunEnd::Answered | RunEnd::Overloaded | RunEnd::Aborted => {}
        }
    }

    fn gradient(&mut self, latency: Duration, running: usize, end: RunEnd) {
        if end == RunEnd::Aborted {
            return;
        }
        let sample = latency.as_secs_f64();
        let short = mix(self.short, sample, SHORT_WEIGHT);
        let long = mix(self.long, sample, LONG_WEIGHT);
        self.short = Some(short);
        self.long = Some(long);
        if (running as f64) < self.limit / 2.0 {
            return;
        }
        let gradient = (TOLERANCE * long / short.max(1e-9)).clamp(MIN_GRADIENT, 1.0);
        let next = self.limit * gradient + self.limit.sqrt();
        self.limit = self.limit * (1.0 - SMOOTHING) + next * SMOOTHING;
    }
}

fn mix(before: Option<f64>, sample: f64, weight: f64) -> f64 {
    before.map_or(sample, |before| before * (1.0 - weight) + sample * weight)
}
