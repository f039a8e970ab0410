//! Evidence merging on one node: merged reports, the tests on them, and when a step may be cleared.

use crate::evidence::{Baselines, Ledger, Merged, Report, Source};
use crate::plan::{MoveRow, Summary};
use crate::verdict::{Finding, VerdictOptions, VerdictTests};
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Limits and intervals of a move's state machine.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Number of nodes that merge the evidence of a move.
    pub mergers: usize,
    /// Age up to which a report shows that its sender can be reached.
    pub report_max_age: Duration,
    /// Time after which an instance that left is no longer waited for, if its region is still seen.
    pub departure_grace: Duration,
    /// Time between two attempts to write the outcome.
    pub retry_interval: Duration,
    /// Time after a move's deadline for which its facts are kept.
    pub fact_retention: Duration,
    /// Thresholds of the verdict tests.
    pub verdict: VerdictOptions,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            mergers: 2,
            report_max_age: Duration::from_secs(4),
            departure_grace: Duration::from_secs(30),
            retry_interval: Duration::from_secs(2),
            fact_retention: Duration::from_secs(86_400),
            verdict: VerdictOptions::default(),
        }
    }
}

/// Highest sequence number of a first received report at which the process is still taken as
/// observed from its start; a few reports may be lost.
const MAX_FIRST_SEQ: u64 = 8;

/// Time between two reports of a process above which the counts in between are excluded.
const MAX_REPORT_GAP: Duration = Duration::from_secs(3);

/// Condition that keeps a step from being cleared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HoldReason {
    /// The step's minimum hold time has not passed.
    MinHoldTime,
    /// Too few nodes have reported recently, so this node may be partitioned off.
    TooFewReports,
    /// The evidence does not yet rule out the step's margin.
    Evidence,
}

/// Merged evidence of one move on one node, with the tests that run on it.
#[derive(Debug, Clone)]
pub struct Merger {
    ledger: Ledger,
    /// Counters that are subtracted from each process's report: what it counted before this node
    /// first received a report of it, or during a gap in its reports. Such counts cannot be
    /// assigned to a time any more.
    baselines: Baselines,
    /// Number of reports that did not count in full, as there was no room for them.
    cut_reports: u64,
    /// Time at which the last new report of each instance was received, and its version.
    last_reports: BTreeMap<InstanceId, (Time, UpstreamVersion)>,
    tests: VerdictTests,
    /// Index of the open step and when it was opened.
    step: Option<(usize, WallTime)>,
}

impl Merger {
    /// Creates a merger without evidence whose first stratum starts at `now`.
    pub fn new(options: &ControlOptions, now: Time) -> Self {
        Self {
            ledger: Ledger::default(),
            baselines: Baselines::default(),
            cut_reports: 0,
            last_reports: BTreeMap::new(),
            tests: VerdictTests::new(options.verdict.clone(), now),
            step: None,
        }
    }

    /// Merges a report.
    pub fn add_report(&mut self, now: Time, report: Report) {
        let source = Source { instance: report.instance.clone(), incarnation: report.incarnation };
        self.exclude_unobserved(now, source, &report);
        let last_report = (report.instance.clone(), (now, report.version.clone()));
        let merged = self.ledger.merge(report);
        if matches!(merged, Merged::KeptInPart | Merged::Dropped) {
            self.cut_reports += 1;
        }
        if matches!(merged, Merged::Kept | Merged::KeptInPart) {
            self.last_reports.extend([last_report]);
        }
    }

    /// Excludes the calls that a process counted while this node received no reports from it.
    fn exclude_unobserved(&mut self, now: Time, source: Source, report: &Report) {
        match (self.last_reports.get(&source.instance), self.ledger.report(&source)) {
            (None, _) if report.seq > MAX_FIRST_SEQ => {
                self.baselines.insert(source, report.totals.clone());
            }
            (Some((at, _)), Some(last)) if now.since(*at) > MAX_REPORT_GAP => {
                let in_gap = report.totals.since(&last.totals);
                self.baselines.entry(source).or_default().add_all(&in_gap);
            }
            _ => {}
        }
    }

    /// Tests the merged evidence; returns the first finding against the new version.
    pub fn evaluate(&mut self, now: Time, row: &MoveRow) -> Option<Finding> {
        let new = self.ledger.totals_since(&row.spec.to, &self.baselines);
        let old = self.ledger.totals_since(&row.spec.from, &self.baselines);
        self.tests.evaluate(now, new, old)
    }

    /// Starts the evidence of `step`, which is open since `opened`, unless it is open already.
    pub fn open_step(&mut self, now: Time, opened: WallTime, step: usize) {
        if self.step.is_none_or(|(open, _)| open != step) {
            self.step = Some((step, opened));
            self.tests.open_step(now);
        }
    }

    /// Returns the index of the open step if it may be cleared. More than half of `required` must
    /// have reported within `max_age`, and one process of the old version if `old_expected`, so
    /// that a node that is partitioned off clears nothing.
    ///
    /// # Errors
    /// The [`HoldReason`] that keeps the step open.
    pub fn clearable_step(
        &self,
        (now, wall): (Time, WallTime),
        row: &MoveRow,
        required: &[Source],
        old_expected: bool,
        max_age: Duration,
    ) -> Result<usize, HoldReason> {
        let (step, opened) = self.step.ok_or(HoldReason::MinHoldTime)?;
        let scheduled = row.schedule.steps.get(step).ok_or(HoldReason::MinHoldTime)?;
        if wall.since(opened) < row.schedule.hold(step, opened) {
            return Err(HoldReason::MinHoldTime);
        }
        let is_recent = |at: &Time| now.since(*at) <= max_age;
        let last_report_of = |source: &&Source| self.last_reports.get(&source.instance);
        let reporting = required.iter().filter_map(|source| last_report_of(&source));
        let reporting = reporting.filter(|(at, _)| is_recent(at)).count();
        let mut recent = self.last_reports.values().filter(|(at, _)| is_recent(at));
        let old = recent.any(|(_, version)| *version == row.spec.from);
        if reporting * 2 <= required.len() || (old_expected && !old) {
            return Err(HoldReason::TooFewReports);
        }
        if !self.tests.clears(scheduled.margin) {
            return Err(HoldReason::Evidence);
        }
        Ok(step)
    }

    /// Returns the number of reports that did not count in full.
    pub fn cut_reports(&self) -> u64 {
        self.cut_reports
    }

    /// Returns whether `source` has confirmed the watch period.
    pub fn has_confirmed(&self, source: &Source) -> bool {
        self.ledger.report_of(source).is_some_and(|report| report.confirmed)
    }

    /// Returns the counts merged so far.
    pub fn summary(&self) -> Summary {
        self.tests.summary()
    }
}
