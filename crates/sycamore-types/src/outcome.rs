//! Outcomes of calls, as the node beside the upstream observes them.

use crate::id::{RouteName, ServiceName, UpstreamVersion};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Reason for refusing a request that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No slot became free in time, or none was expected to.
    Overloaded,
    /// The rate limit that the upstream reports was used up.
    RateLimited,
    /// The upstream refused the request because of its own load.
    Shed,
    /// The deadline had passed, or could not be met.
    Deadline,
    /// The upstream or its node is draining.
    Draining,
    /// An operator has taken the upstream's data centre out of use.
    OutOfUse,
    /// The chosen version was found bad.
    BadVersion,
    /// The chosen version has used up its share of the traffic.
    ShareSpent,
    /// The request is quarantined because it crashes upstreams.
    Quarantined,
    /// No upstream of the service was reachable.
    NoUpstream,
    /// The node has no current configuration yet.
    NotReady,
    /// The call exceeded the maximum number of hops.
    HopLimit,
    /// A request with the same idempotency key is running.
    InProgress,
    /// The node can't prove that its configuration is recent enough for a call with a key.
    Unproven,
    /// The account has used up its rate.
    AccountRate,
    /// No node that lends the account's rate could be reached.
    NoCredit,
    /// No route matches, in a configuration that is out of date: the node has rejected a newer one.
    ConfigurationRejected,
    /// No route matches, in a configuration that is out of date: the node has known of a newer one
    /// for too long without applying it.
    ConfigurationBehind,
    /// The configuration's entry for the call's route or account can't be applied.
    FaultyEntry,
}

impl RefusalReason {
    /// Returns the reason as headers, logs and metrics carry it.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::RateLimited => "rate-limited",
            RefusalReason::Shed => "shed",
            RefusalReason::Deadline => "deadline",
            RefusalReason::Draining => "draining",
            RefusalReason::OutOfUse => "out-of-use",
            RefusalReason::BadVersion => "bad-version",
            RefusalReason::ShareSpent => "share-spent",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::NoUpstream => "no-upstream",
            RefusalReason::NotReady => "not-ready",
            RefusalReason::HopLimit => "hop-limit",
            RefusalReason::InProgress => "in-progress",
            RefusalReason::Unproven => "unproven",
            RefusalReason::AccountRate => "account-rate",
            RefusalReason::NoCredit => "no-credit",
            RefusalReason::ConfigurationRejected => "configuration-rejected",
            RefusalReason::ConfigurationBehind => "configuration-behind",
            RefusalReason::FaultyEntry => "faulty-entry",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Outcome of a call that reached the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// Answer with a status below 400.
    Ok,
    /// Answer with a status of 400 to 499: a mistake of the caller, or a version that answers
    /// wrongly.
    Rejected,
    /// Answer with a status of 500 or more.
    Failed,
    /// Incomplete answer, or a broken connection.
    Broken,
    /// No answer by the deadline.
    TimedOut,
    /// Call abandoned by the caller; carries no information about the version.
    Cancelled,
    /// Refusal by the upstream because of its load; counted apart from failures.
    Shed,
}

impl OutcomeKind {
    /// Returns the outcome as metrics and logs carry it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
            Self::Cancelled => "cancelled",
            Self::Shed => "shed",
        }
    }
}

/// Record of a call that reached the upstream beside this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// Service that was called.
    pub service: ServiceName,
    /// Version that ran the call.
    pub version: UpstreamVersion,
    /// Route that the call matched.
    pub route: RouteName,
    /// Hash of the caller's address or name; distinguishes callers.
    pub caller: u64,
    /// Outcome that the node observed.
    pub kind: OutcomeKind,
    /// Time from admission to the last byte of the answer.
    pub latency: Duration,
    /// `true` where the upstream was still warming up.
    pub cold: bool,
}
