//! Retry policy: retries only attempts that certainly did not run or are idempotent, within a
//! budget per destination, and after an exponential backoff with full jitter.
//!
//! Retries don't multiply along a chain of calls: an answer with `retry-after` was given up by a
//! node below and is final for the nodes above, and an attempt that is itself a retry is not
//! retried by the nodes below.

mod budgets;

pub use budgets::RetryBudgets;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Maximum number of retries that a budget accumulates.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Number of services along a typical chain of calls. A retry at one service also makes the calls
/// below it repeats, so the retries that all nodes may accumulate are divided by this number.
const CHAIN_LENGTH: f64 = 2.0;

/// Minimum number of refusals for a rate limit after which a call is sent to another upstream for
/// free: others of the service may have no limit. It is small, since each refusal makes it likelier
/// that all of them are limited.
const MIN_RATE_REROUTES: u8 = 3;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone)]
pub struct RetryConfig {
    /// Maximum number of attempts of a call, including the first.
    pub attempts: u8,
    /// Number of retries allowed for each 100 first attempts.
    pub budget_percent: u8,
    /// Number of refusals for load after which a call is sent to another upstream known to have
    /// capacity, at no cost in budget or attempts, since it has reached no upstream yet.
    pub free_reroutes: u8,
    /// Maximum number of retries that the budget accumulates; below one, the initial balance is
    /// this fraction of a retry.
    pub saved: f64,
    /// Upper bound of the backoff before the first retry; each further retry doubles it.
    pub backoff: Duration,
    /// Upper bound of the backoff before any retry.
    pub backoff_max: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self::from(&RetryPolicy::default())
    }
}

impl From<&RetryPolicy> for RetryConfig {
    fn from(policy: &RetryPolicy) -> Self {
        Self {
            attempts: policy.attempts,
            budget_percent: policy.budget_percent,
            free_reroutes: 0,
            saved: MAX_SAVED_RETRIES,
            backoff: Duration::from_millis(5),
            backoff_max: Duration::from_millis(100),
        }
    }
}

impl RetryConfig {
    /// Reduces the accumulated retries to the part of one of `nodes` nodes, which together may
    /// accumulate `fleet` retries towards a service.
    #[must_use]
    pub fn shared_by(self, fleet: u32, nodes: usize) -> Self {
        let share = f64::from(fleet) / CHAIN_LENGTH / nodes.max(1) as f64;
        Self { saved: share.min(self.saved), ..self }
    }
}

/// Failure of an attempt, which determines whether a repeat is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// The attempt certainly did not run, for this reason.
    NotRun(RefusalReason),
    /// The attempt may have run.
    Unknown {
        /// `true` where the upstream crashed during the attempt, which may have caused the crash.
        crashed: bool,
    },
}

impl AttemptFailure {
    /// Returns whether the node beside an upstream refused the attempt for load before it sent
    /// anything on.
    pub fn is_refusal_for_load(self) -> bool {
        matches!(self, Self::NotRun(RefusalReason::Overloaded | RefusalReason::RateLimited))
    }

    /// Returns the failure's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown { crashed: true } => "crashed",
            Self::Unknown { crashed: false } => "unknown",
        }
    }

    /// Returns the failure to report for a call that is given up after `self`, given the failure
    /// reported by an `earlier` attempt: an attempt that may have run outweighs any later refusal.
    #[must_use]
    pub fn or_earlier(self, earlier: Option<AttemptFailure>) -> AttemptFailure {
        match earlier {
            Some(unknown @ AttemptFailure::Unknown { .. }) => unknown,
            Some(AttemptFailure::NotRun(_)) | None => self,
        }
    }
}

/// State of a call whose attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallState {
    /// Number of attempts made, including the failed one.
    pub attempts: u8,
    /// Number of these attempts that were rerouted for free after a refusal for load.
    pub rerouted: u8,
    /// `true` where running the call twice does no harm.
    pub idempotent: bool,
    /// `true` where the call is itself part of a retry by a node above.
    pub is_retry: bool,
    /// `true` where some untried upstream is known to have capacity.
    pub has_room: bool,
    /// Time left until the call's deadline.
    pub left: Duration,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Send the call to another upstream after this delay.
    Retry(Duration),
    /// Give the final answer now.
    GiveUp,
}

/// Token bucket that limits retries towards one destination.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    config: RetryConfig,
    saved: f64,
    rng: SmallRng,
}

impl RetryBudget {
    /// Creates a budget with one retry available, or fewer where the settings say so; jitter is
    /// seeded with `seed`.
    pub fn new(config: RetryConfig, seed: u64) -> Self {
        let saved = config.saved.min(1.0);
        Self { config, saved, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Applies new settings; the balance stays.
    pub fn configure(&mut self, config: RetryConfig) {
        self.config = config;
    }

    /// Returns the number of retries accumulated.
    pub fn saved_retries(&self) -> f64 {
        self.saved
    }

    /// Credits the budget for the first attempt of a call.
    pub fn first_attempt(&mut self) {
        let credit = f64::from(self.config.budget_percent) / 100.0;
        // A retry costs 1.0, so the cap must not be lower.
        self.saved = (self.saved + credit).min(self.config.saved.max(1.0));
    }

    /// Decides whether to retry a failed attempt, and charges the budget for it.
    pub fn decide(&mut self, call: &CallState, failure: AttemptFailure) -> RetryDecision {
        if self.is_free_reroute(call, failure) {
            return RetryDecision::Retry(Duration::ZERO);
        }
        let attempts = call.attempts.saturating_sub(call.rerouted);
        if attempts >= self.config.attempts || call.is_retry {
            return RetryDecision::GiveUp;
        }
        match failure {
            AttemptFailure::NotRun(reason) => self.decide_after_refusal(call, reason),
            AttemptFailure::Unknown { crashed: true } => RetryDecision::GiveUp,
            AttemptFailure::Unknown { crashed: false } if call.idempotent => self.spend_retry(call),
            AttemptFailure::Unknown { crashed: false } => RetryDecision::GiveUp,
        }
    }

    /// Charges the budget for a second attempt that runs beside the first; returns whether it allows one.
    pub fn spend_hedge(&mut self) -> bool {
        let is_allowed = self.saved >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }

    fn is_free_reroute(&self, call: &CallState, failure: AttemptFailure) -> bool {
        let max = match failure {
            AttemptFailure::NotRun(RefusalReason::Overloaded) => self.config.free_reroutes,
            AttemptFailure::NotRun(RefusalReason::RateLimited) => {
                self.config.free_reroutes.max(MIN_RATE_REROUTES)
            }
            AttemptFailure::NotRun(_) | AttemptFailure::Unknown { .. } => return false,
        };
        call.has_room && call.rerouted < max
    }

    fn decide_after_refusal(&mut self, call: &CallState, reason: RefusalReason) -> RetryDecision {
        match reason {
            // These refusals concern one upstream, which the router now avoids. Sending the call to
            // another costs the refusing upstream nothing and stops by itself.
            RefusalReason::BadVersion
            | RefusalReason::ShareSpent
            | RefusalReason::Draining
            | RefusalReason::OutOfUse
            | RefusalReason::NotReady => RetryDecision::Retry(Duration::ZERO),
            RefusalReason::NoUpstream if call.has_room => RetryDecision::Retry(Duration::ZERO),
            RefusalReason::Overloaded | RefusalReason::Shed if call.has_room => {
                self.spend_retry(call)
            }
            RefusalReason::NoUpstream
            | RefusalReason::Overloaded
            | RefusalReason::RateLimited
            | RefusalReason::Shed
            | RefusalReason::Deadline
            | RefusalReason::Quarantined
            | RefusalReason::HopLimit
            | RefusalReason::InProgress
            | RefusalReason::Unproven
            | RefusalReason::AccountRate
            | RefusalReason::NoCredit
            | RefusalReason::ConfigurationRejected
            | RefusalReason::ConfigurationBehind
            | RefusalReason::FaultyEntry => RetryDecision::GiveUp,
        }
    }

    fn spend_retry(&mut self, call: &CallState) -> RetryDecision {
        let backoff = self.draw_backoff(call.attempts);
        if self.saved < 1.0 || backoff >= call.left {
            return RetryDecision::GiveUp;
        }
        self.saved -= 1.0;
        RetryDecision::Retry(backoff)
    }

    /// Returns a backoff with full jitter: uniform between zero and the exponential bound.
    fn draw_backoff(&mut self, attempts: u8) -> Duration {
        let doublings = u32::from(attempts.saturating_sub(1)).min(16);
        let bound = (self.config.backoff * 2_u32.pow(doublings)).min(self.config.backoff_max);
        bound.mul_f64(self.rng.random())
    }
}
