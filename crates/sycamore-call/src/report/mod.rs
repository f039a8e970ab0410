//! State that an upstream process reports about itself in its answers: a rate limit, and that it is
//! leaving.

use std::fmt;
use std::str::FromStr;
use sycamore_types::prelude::*;

/// Change of what is known of an upstream process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportChange {
    /// The rate limit changed to this one; `None` where it ended.
    Limit(Option<RateLimit>),
    /// The process is leaving.
    Leaving,
}

/// Rate limit that an answer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReport {
    /// The answer states that there is no limit.
    Unlimited,
    /// The answer names this limit.
    Limit(RateLimit),
    /// The answer says nothing that can be read about a limit.
    Unknown,
}

/// What is known of an upstream process, as nodes tell each other; its text form is
/// `process/limit/leaving`, with `-` for no limit and `?` for an unknown one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessReport {
    /// Process that the report is about.
    pub process: ProcessId,
    /// Rate limit of the process.
    pub limit: LimitReport,
    /// Whether the process is leaving.
    pub is_leaving: bool,
}

impl ProcessReport {
    /// Returns whether the report keeps calls from the process.
    pub fn is_restrictive(&self) -> bool {
        self.is_leaving || matches!(self.limit, LimitReport::Limit(_))
    }
}

impl fmt::Display for ProcessReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaving = u8::from(self.is_leaving);
        match self.limit {
            LimitReport::Unlimited => write!(f, "{}/-/{leaving}", self.process),
            LimitReport::Unknown => write!(f, "{}/?/{leaving}", self.process),
            LimitReport::Limit(limit) => write!(f, "{}/{limit}/{leaving}", self.process),
        }
    }
}

/// Error of a text that is not the form of a [`ProcessReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseReportError;

impl fmt::Display for ParseReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid report: expected process/limit/leaving")
    }
}

impl std::error::Error for ParseReportError {}

impl FromStr for ProcessReport {
    type Err = ParseReportError;

    fn from_str(text: &str) -> Result<Self, ParseReportError> {
        let parts: Vec<&str> = text.split('/').collect();
        let [process, limit, leaving] = parts[..] else { return Err(ParseReportError) };
        Ok(Self {
            process: process.parse().map_err(|_| ParseReportError)?,
            limit: match limit {
                "-" => LimitReport::Unlimited,
                "?" => LimitReport::Unknown,
                limit => LimitReport::Limit(limit.parse().map_err(|_| ParseReportError)?),
            },
            is_leaving: match leaving {
                "0" => false,
                "1" => true,
                _ => return Err(ParseReportError),
            },
        })
    }
}

/// Reports of one upstream process, in the order in which they hold.
#[derive(Debug, Clone, Default)]
pub struct ReportLog {
    process: Option<ProcessId>,
    limit: Option<RateLimit>,
    /// Whether an answer of the process has reported its limit, or that it has none.
    is_heard: bool,
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

    /// Returns what is known of the process; `None` before the first one.
    pub fn report(&self) -> Option<ProcessReport> {
        let limit = match self.limit {
            Some(limit) => LimitReport::Limit(limit),
            None if self.is_heard => LimitReport::Unlimited,
            None => LimitReport::Unknown,
        };
        let is_leaving = self.is_leaving;
        self.process.map(|process| ProcessReport { process, limit, is_leaving })
    }

    /// Returns whether an answer of the process has reported its limit, or that it has none.
    pub fn is_heard(&self) -> bool {
        self.is_heard
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
        self.is_heard = true;
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

    /// Takes over the limit that another node heard from `process`, unless this node has heard from it
    /// too; of several, the lowest one.
    pub fn adopt_limit(
        &mut self,
        process: ProcessId,
        now: Time,
        limit: RateLimit,
    ) -> Option<ReportChange> {
        let is_lower = self.limit.is_none_or(|known| limit < known);
        if self.process != Some(process) || self.is_heard || !is_lower {
            return None;
        }
        self.limit = Some(limit);
        self.limit_reported_at = now;
        Some(ReportChange::Limit(Some(limit)))
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
