//! Outcomes of calls, as the node beside the upstream saw them.

use crate::id::{RouteName, ServiceName, UpstreamVersion};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Why a request was refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No slot came free, or could not in time.
    Overloaded,
    /// The upstream itself turned it away.
    Shed,
    /// The deadline had passed, or could not be met.
    Deadline,
    /// The upstream or its node is leaving.
    Draining,
    /// The version was found bad.
    BadVersion,
    /// The version has had its share.
    ShareSpent,
    /// The request is known to crash upstreams.
    Quarantined,
    /// No upstream could be reached.
    NoUpstream,
    /// The node has no current configuration yet.
    NotReady,
    /// The call went through too many hops.
    HopLimit,
    /// The same idempotency key is being run right now.
    InProgress,
}

impl RefusalReason {
    /// The reason as headers and logs carry it.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::Shed => "shed",
            RefusalReason::Deadline => "deadline",
            RefusalReason::Draining => "draining",
            RefusalReason::BadVersion => "bad-version",
            RefusalReason::ShareSpent => "share-spent",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::NoUpstream => "no-upstream",
            RefusalReason::NotReady => "not-ready",
            RefusalReason::HopLimit => "hop-limit",
            RefusalReason::InProgress => "in-progress",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How a call that reached the upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// Answered with a status below 400.
    Ok,
    /// Answered with a status of 400 to 499: the caller's fault, or a version that answers wrongly.
    Rejected,
    /// Answered with a status of 500 or more.
    Failed,
    /// The answer was cut, or the connection broke.
    Broken,
    /// No answer by the deadline.
    TimedOut,
    /// The caller gave up first: says nothing about the version.
    Cancelled,
    /// The upstream itself refused for load: judged apart from failures.
    Shed,
}

impl OutcomeKind {
    /// The outcome as metrics and logs name it.
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

/// One call that reached the upstream beside this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// The service.
    pub service: ServiceName,
    /// The version that ran it.
    pub version: UpstreamVersion,
    /// The route.
    pub route: RouteName,
    /// Distinguishes callers: hash of the caller's address or name.
    pub caller: u64,
    /// How it ended.
    pub kind: OutcomeKind,
    /// From admission to the last byte of the answer.
    pub latency: Duration,
    /// The upstream was still warming up.
    pub cold: bool,
}
