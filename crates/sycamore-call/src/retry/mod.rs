//! Whether a failed attempt is made again: only what certainly did not run or is idempotent, within
//! a budget per destination, after a backoff with full jitter.
//!
//! Attempts are not multiplied through a chain of calls: an answer that carries a `retry-after` was
//! given up below and is final above, and an attempt that is itself a retry is not retried again by
//! the nodes below it.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Most retries that a budget saves up.
const MAX_SAVED: f64 = 10.0;
/// Services on the longest usual way of a call. A repeat at each makes the calls below repeats too,
/// so that what all nodes may save is divided by it.
const LEVELS: f64 = 2.0;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone)]
pub struct RetryConfig {
    /// Attempts in all, the first included.
    pub attempts: u8,
    /// Retries allowed for each 100 first attempts.
    pub budget_percent: u8,
    /// Refusals for load after which a call goes to another upstream that is known to have room, without
    /// using the budget or an attempt: it has reached no upstream yet.
    pub free_reroutes: u8,
    /// Retries that a budget saves up at most; below one, it begins with that part of a retry.
    pub saved: f64,
    /// Longest backoff before the first retry; each further one doubles it.
    pub backoff: Duration,
    /// Longest backoff.
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
            saved: MAX_SAVED,
            backoff: Duration::from_millis(5),
            backoff_max: Duration::from_millis(100),
        }
    }
}

impl RetryConfig {
    /// The same for one of `nodes` that may save up `fleet` retries towards a service together.
    #[must_use]
    pub fn shared_by(self, fleet: u32, nodes: usize) -> Self {
        let share = f64::from(fleet) / LEVELS / nodes.max(1) as f64;
        Self { saved: share.min(self.saved), ..self }
    }
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// It certainly did not run.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown {
        /// The upstream crashed while it ran, perhaps because of it.
        crashed: bool,
    },
}

impl AttemptFailure {
    /// The failure as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown { crashed: true } => "crashed",
            Self::Unknown { crashed: false } => "unknown",
        }
    }

    /// What a call that is given up after this failure is answered with, given the failure of an
    /// `earlier` attempt: what may have run outweighs every later refusal.
    #[must_use]
    pub fn after(self, earlier: Option<AttemptFailure>) -> AttemptFailure {
        match earlier {
            Some(unknown @ AttemptFailure::Unknown { .. }) => unknown,
            Some(AttemptFailure::NotRun(_)) | None => self,
        }
    }
}

/// The call whose attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallState {
    /// Attempts made, the failed one included.
    pub attempts: u8,
    /// Of these, those that were refused for load before.
    pub rerouted: u8,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// The attempt is itself a retry of a node above.
    pub is_retry: bool,
    /// Some other upstream is known to have room.
    pub has_room: bool,
    /// Time until the deadline.
    pub left: Duration,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Try another upstream after this time.
    Retry(Duration),
    /// Give the final answer now.
    GiveUp,
}

/// Retries towards one destination.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    config: RetryConfig,
    saved: f64,
    rng: SmallRng,
}

impl RetryBudget {
    /// A budget that draws its jitter from `seed`. It starts with one retry saved.
    pub fn new(config: RetryConfig, seed: u64) -> Self {
        let saved = config.saved.min(1.0);
        Self { config, saved, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Takes new settings.
    pub fn configure(&mut self, config: RetryConfig) {
        self.config = config;
    }

    /// Retries saved up.
    pub fn saved(&self) -> f64 {
        self.saved
    }

    /// Counts the first attempt of a call.
    pub fn first_attempt(&mut self) {
        let earned = f64::from(self.config.budget_percent) / 100.0;
        // A whole retry is spent at a time.
        self.saved = (self.saved + earned).min(self.config.saved.max(1.0));
    }

    /// Decides what follows a failed attempt.
    pub fn decide(&mut self, call: &CallState, failure: AttemptFailure) -> RetryDecision {
        if self.is_free(call, failure) {
            return RetryDecision::Retry(Duration::ZERO);
        }
        let attempts = call.attempts.saturating_sub(call.rerouted);
        if attempts >= self.config.attempts || call.is_retry {
            return RetryDecision::GiveUp;
        }
        match failure {
            AttemptFailure::NotRun(reason) => self.after_refusal(call, reason),
            AttemptFailure::Unknown { crashed: true } => RetryDecision::GiveUp,
            AttemptFailure::Unknown { crashed: false } if call.idempotent => self.spend(call),
            AttemptFailure::Unknown { crashed: false } => RetryDecision::GiveUp,
        }
    }

    fn is_free(&self, call: &CallState, failure: AttemptFailure) -> bool {
        failure == AttemptFailure::NotRun(RefusalReason::Overloaded)
            && call.has_room
            && call.rerouted < self.config.free_reroutes
    }

    fn after_refusal(&mut self, call: &CallState, reason: RefusalReason) -> RetryDecision {
        match reason {
            // These concern one upstream, which the router now leaves out: going elsewhere costs
            // the refusing upstream nothing and stops by itself.
            RefusalReason::BadVersion
            | RefusalReason::ShareSpent
            | RefusalReason::Draining
            | RefusalReason::NotReady => RetryDecision::Retry(Duration::ZERO),
            RefusalReason::NoUpstream if call.has_room => RetryDecision::Retry(Duration::ZERO),
            RefusalReason::Overloaded | RefusalReason::Shed if call.has_room => self.spend(call),
            RefusalReason::NoUpstream
            | RefusalReason::Overloaded
            | RefusalReason::Shed
            | RefusalReason::Deadline
            | RefusalReason::Quarantined
            | RefusalReason::HopLimit
            | RefusalReason::InProgress => RetryDecision::GiveUp,
        }
    }

    fn spend(&mut self, call: &CallState) -> RetryDecision {
        let backoff = self.backoff(call.attempts);
        if self.saved < 1.0 || backoff >= call.left {
            return RetryDecision::GiveUp;
        }
        self.saved -= 1.0;
        RetryDecision::Retry(backoff)
    }

    /// Full jitter: uniform between zero and the doubled bound.
    fn backoff(&mut self, attempts: u8) -> Duration {
        let doublings = u32::from(attempts.saturating_sub(1)).min(16);
        let bound = (self.config.backoff * 2_u32.pow(doublings)).min(self.config.backoff_max);
        bound.mul_f64(self.rng.random())
    }
}
