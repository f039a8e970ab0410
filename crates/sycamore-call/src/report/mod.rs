//! State that an upstream process reports about itself in its answers: a rate limit, and that it is
//! leaving.

use sycamore_types::prelude::*;

/// Change of what is known of an upstream process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReportChange {
    /// The rate limit changed to this one; `None` where it ended.
    Limit(Option<RateLimit>),
    /// The process is leaving.
    Leaving,
}

/// Rate limit that an answer reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitReport {
    /// The answer states that there is no limit.
    Unlimited,
    /// The answer names this limit.
    Limit(RateLimit),
    /// The answer says nothing that can be read about a limit.
    Unknown,
}

/// Reports of one upstream process, in the order in which they hold.
#[derive(Debug, Clone, Default)]
pub struct ReportLog {
    process: Option<ProcessId>,
    limit: Option<RateLimit>,
    /// Time of the last report of [`ReportLog::limit`].
    limit_reported_at: Time,
    is_leaving: bool,
}

impl ReportLog {
    /// Begins the reports of `process`; those of an earlier process are dropped.
    pub fn begin(&mut self, process: ProcessId) {
        if self.process != Some(process) {
            *self = Self { process: Some(process), ..Self::default() };
        }
    }

    /// Returns the process whose reports are recorded.
    pub fn process(&self) -> Option<ProcessId> {
        self.process
    }

    /// Returns the rate limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns whether the process is leaving, which is never undone.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records the limit in an answer of `process` that arrived at `now`, to a call that was sent to
    /// it at `sent_at`.
    ///
    /// Answers arrive out of order, so one to a call from before the last report of the limit in
    /// force may be older than that report: it may lower the limit, but neither raise nor end it.
    pub fn record_limit(
        &mut self,
        process: ProcessId,
        sent_at: Time,
        now: Time,
        report: LimitReport,
    ) -> Option<ReportChange> {
        if self.process != Some(process) {
            return None;
        }
        let reported = match report {
            LimitReport::Unknown => return None,
            LimitReport::Unlimited => None,
            LimitReport::Limit(limit) => Some(limit),
        };
        let is_tighter = match (reported, self.limit) {
            (Some(new), Some(old)) => new <= old,
            (Some(_), None) => true,
            (None, Some(_)) => false,
            (None, None) => return None,
        };
        if !is_tighter && sent_at < self.limit_reported_at {
            return None;
        }
        self.limit_reported_at = now;
        let is_changed = self.limit != reported;
        self.limit = reported;
        is_changed.then_some(ReportChange::Limit(reported))
    }

    /// Records that `process` is leaving.
    pub fn record_leaving(&mut self, process: ProcessId) -> Option<ReportChange> {
        if self.process != Some(process) || self.is_leaving {
            return None;
        }
        self.is_leaving = true;
        Some(ReportChange::Leaving)
    }
}
