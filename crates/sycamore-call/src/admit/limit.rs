//! Adaptive concurrency limit: at most the declared slots, fewer while the upstream is slow.

use super::RunEnd;
use std::time::Duration;

/// Additive increase of the limit per round of `limit` answers at the limit, in calls.
const ADDITIVE_INCREASE: f64 = 1.0;
/// Multiplicative decrease of the limit after an overload signal.
const DECREASE_FACTOR: f64 = 0.9;
/// Number of answers between two decreases, per call of limit, so that one round of calls causes
/// one decrease.
const DECREASE_COOLDOWN: f64 = 1.0;
/// Weight of a new sample in the short-term mean latency.
const SHORT_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the long-term mean latency.
const LONG_WEIGHT: f64 = 0.005;
/// Ratio of the short-term to the long-term mean latency above which the limit falls.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Minimum factor of one gradient adjustment.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the new limit in a gradient adjustment.
const LIMIT_SMOOTHING: f64 = 0.1;

/// Algorithm that adapts the concurrency limit to the upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum LimitPolicy {
    /// Constant limit of the declared slots.
    Fixed,
    /// Additive increase while calls succeed, multiplicative decrease on refusals and timeouts.
    #[default]
    Aimd,
    /// Limit scaled by the ratio of long-term to short-term mean latency, as in TCP Vegas.
    Gradient,
}

#[derive(Debug, Clone)]
pub(super) struct Limiter {
    policy: LimitPolicy,
    slots: f64,
    limit: f64,
    short_mean: Option<f64>,
    long_mean: Option<f64>,
    /// Number of answers before the next decrease is allowed.
    decrease_cooldown: f64,
}

impl Limiter {
    pub(super) fn new(policy: LimitPolicy) -> Self {
        Self {
            policy,
            slots: 0.0,
            limit: 0.0,
            short_mean: None,
            long_mean: None,
            decrease_cooldown: 0.0,
        }
    }

    /// Sets the number of slots that the upstream announced; a change resets the limit to it.
    pub(super) fn announce(&mut self, slots: u16) {
        let slots = f64::from(slots);
        if slots != self.slots {
            self.slots = slots;
            self.limit = slots;
        }
    }

    pub(super) fn limit(&self) -> u16 {
        // The limit is between 0 and `slots`, which was a u16.
        self.limit as u16
    }

    pub(super) fn record_sample(&mut self, latency: Duration, running: usize, end: RunEnd) {
        match self.policy {
            LimitPolicy::Fixed => {}
            LimitPolicy::Aimd => self.adapt_aimd(running, end),
            LimitPolicy::Gradient => self.adapt_gradient(latency, running, end),
        }
        self.limit = self.limit.clamp(self.slots.min(1.0), self.slots);
    }

    fn adapt_aimd(&mut self, running: usize, end: RunEnd) {
        self.decrease_cooldown = (self.decrease_cooldown - 1.0).max(0.0);
        match end {
            RunEnd::Answered if running as f64 + 1.0 >= self.limit => {
                self.limit += ADDITIVE_INCREASE / self.limit.max(1.0);
            }
            RunEnd::Overloaded if self.decrease_cooldown == 0.0 => {
                self.limit *= DECREASE_FACTOR;
                self.decrease_cooldown = self.limit * DECREASE_COOLDOWN;
            }
            RunEnd::Answered | RunEnd::Overloaded | RunEnd::Aborted => {}
        }
    }

    fn adapt_gradient(&mut self, latency: Duration, running: usize, end: RunEnd) {
        if end == RunEnd::Aborted {
            return;
        }
        let sample = latency.as_secs_f64();
        let short = ewma(self.short_mean, sample, SHORT_WEIGHT);
        let long = ewma(self.long_mean, sample, LONG_WEIGHT);
        self.short_mean = Some(short);
        self.long_mean = Some(long);
        if (running as f64) < self.limit / 2.0 {
            return;
        }
        let gradient = (LATENCY_TOLERANCE * long / short.max(1e-9)).clamp(MIN_GRADIENT, 1.0);
        let next = self.limit * gradient + self.limit.sqrt();
        self.limit = self.limit * (1.0 - LIMIT_SMOOTHING) + next * LIMIT_SMOOTHING;
    }
}

fn ewma(mean: Option<f64>, sample: f64, weight: f64) -> f64 {
    mean.map_or(sample, |mean| mean * (1.0 - weight) + sample * weight)
}
