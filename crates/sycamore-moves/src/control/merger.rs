//! What a merging node holds: the merged evidence, the judge, and the holds of steps.

use crate::evidence::{Baselines, Ledger, Report, Source};
use crate::plan::{MoveRow, Summary};
use crate::verdict::{Finding, VerdictOptions, VerdictTests};
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Bounds of a move's control.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// Nodes that merge the evidence of a move.
    pub mergers: usize,
    /// A report is fresh for this long.
    pub report_max_age: Duration,
    /// An instance that is gone this long counts out, if its region is seen.
    pub departure_grace: Duration,
    /// Time between two tries to write the outcome.
    pub retry_interval: Duration,
    /// Facts on a move are kept this long after its deadline.
    pub fact_retention: Duration,
    /// The judge's bounds.
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

/// Reports of a process that are heard from its begin, though some were lost.
const EARLY_REPORTS: u64 = 8;

/// Longest time between two reports of a process that counts as one stretch.
const MAX_GAP: Duration = Duration::from_secs(3);

/// Why a step is not cleared yet, for the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HoldReason {
    /// The step has not been held long enough.
    MinHoldTime,
    /// Too few nodes report: this node may be cut off.
    TooFewReports,
    /// The evidence does not suffice.
    Evidence,
}

/// The merging part of one node.
#[derive(Debug, Clone)]
pub struct Merger {
    ledger: Ledger,
    /// A node that begins to merge in the middle of a move starts from the counters that it hears
    /// first: what came before can no longer be told apart by time.
    bases: Baselines,
    heard: BTreeMap<InstanceId, (Time, UpstreamVersion)>,
    judge: VerdictTests,
    step: Option<(usize, WallTime)>,
}

impl Merger {
    /// A merger that starts at `now`.
    pub fn new(options: &ControlOptions, now: Time) -> Self {
        Self {
            ledger: Ledger::default(),
            bases: Baselines::default(),
            heard: BTreeMap::new(),
            judge: VerdictTests::new(options.verdict.clone(), now),
            step: None,
        }
    }

    /// Takes in a report.
    pub fn take(&mut self, now: Time, report: Report) {
        let source = Source { instance: report.instance.clone(), incarnation: report.incarnation };
        self.skip_gap(now, source, &report);
        let heard = (report.instance.clone(), (now, report.version.clone()));
        if self.ledger.merge(report) {
            self.heard.extend([heard]);
        }
    }

    /// Leaves out what a process counted while this node did not hear of it.
    fn skip_gap(&mut self, now: Time, source: Source, report: &Report) {
        match (self.heard.get(&source.instance), self.ledger.report(&source)) {
            (None, _) if report.seq > EARLY_REPORTS => {
                self.bases.insert(source, report.totals.clone());
            }
            (Some((at, _)), Some(last)) if now.since(*at) > MAX_GAP => {
                let in_gap = report.totals.since(&last.totals);
                self.bases.entry(source).or_default().add_all(&in_gap);
            }
            _ => {}
        }
    }

    /// Judges what has been merged.
    pub fn judge(&mut self, now: Time, row: &MoveRow) -> Option<Finding> {
        let new = self.ledger.totals_since(&row.spec.to, &self.bases);
        let old = self.ledger.totals_since(&row.spec.from, &self.bases);
        self.judge.evaluate(now, new, old)
    }

    /// Notes that `step` is open, since `opened`.
    pub fn open(&mut self, now: Time, opened: WallTime, step: usize) {
        if self.step.is_none_or(|(open, _)| open != step) {
            self.step = Some((step, opened));
            self.judge.open_step(now);
        }
    }

    /// Whether the open step may be cleared, or what it waits for. More than half of `needed` must
    /// have reported lately, and one process of the old version if `old_expected`: a node that is
    /// cut off clears nothing.
    ///
    /// # Errors
    /// The [`HoldReason`] that is in force.
    pub fn clears(
        &self,
        (now, wall): (Time, WallTime),
        row: &MoveRow,
        needed: &[Source],
        old_expected: bool,
        fresh: Duration,
    ) -> Result<usize, HoldReason> {
        let (step, opened) = self.step.ok_or(HoldReason::MinHoldTime)?;
        let agreed = row.schedule.steps.get(step).ok_or(HoldReason::MinHoldTime)?;
        if wall.since(opened) < row.schedule.hold(step, opened) {
            return Err(HoldReason::MinHoldTime);
        }
        let is_fresh = |at: &Time| now.since(*at) <= fresh;
        let heard_of = |source: &&Source| self.heard.get(&source.instance);
        let heard = needed.iter().filter_map(|source| heard_of(&source));
        let heard = heard.filter(|(at, _)| is_fresh(at)).count();
        let mut fresh_ones = self.heard.values().filter(|(at, _)| is_fresh(at));
        let old = fresh_ones.any(|(_, version)| *version == row.spec.from);
        if heard * 2 <= needed.len() || (old_expected && !old) {
            return Err(HoldReason::TooFewReports);
        }
        if !self.judge.clears(agreed.margin) {
            return Err(HoldReason::Evidence);
        }
        Ok(step)
    }

    /// Whether `source` has confirmed.
    pub fn has_confirmed(&self, source: &Source) -> bool {
        self.ledger.report_of(source).is_some_and(|report| report.confirmed)
    }

    /// The counts so far.
    pub fn summary(&self) -> Summary {
        self.judge.summary()
    }
}
