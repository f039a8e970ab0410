//! Totals over all trials, and the JSON result of `measure moves`.

use super::scenario::Kind;
use super::trial::Trial;
use crate::measure::Violations;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use sycamore_moves::plan::{Cause, OutcomeKind};

/// Counts over the trials of one scenario kind that no operator aborted.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KindCounts {
    /// Number of moves to versions of this kind.
    pub moves: usize,
    /// Number of moves done by the deadline.
    pub done_in_time: usize,
    /// Number of moves done after the deadline.
    pub done_late: usize,
    /// Number of moves taken back for another cause than the timeout.
    pub bad: usize,
    /// Number of moves taken back because the evidence did not suffice by the deadline.
    pub timeout: usize,
    /// Number of moves without an outcome at the end of the trial.
    pub open: usize,
    /// Number of calls to the services while the moves were open.
    pub calls: u64,
    /// Number of calls that the new versions got while the moves were open.
    pub calls_new: u64,
    /// Number of calls that the new versions got later than a second after the evidence sufficed.
    pub after_evidence: u64,
}

/// Running totals over all trials.
#[derive(Debug, Default)]
pub struct Summary {
    kinds: BTreeMap<Kind, KindCounts>,
    aborted: usize,
    aborted_done: usize,
    after_evidence: u64,
    after_verdict: u64,
    outcomes_rewritten: usize,
    withdraw_ms: Vec<u64>,
}

/// JSON result of `measure moves`.
#[derive(Debug, Serialize)]
pub struct MovesResult {
    seed: u64,
    nodes: usize,
    seconds: f64,
    good_done_in_time: f64,
    bad_taken_back: f64,
    false_taken_back: f64,
    bad_request_share: f64,
    after_evidence: u64,
    withdraw_p50_ms: u64,
    withdraw_p99_ms: u64,
    aborted: usize,
    aborted_done: usize,
    outcomes_rewritten: usize,
    by_kind: BTreeMap<Kind, KindCounts>,
    violations: Violations,
}

impl Summary {
    /// Adds the counts of `trial`; an aborted one is left out of its kind's counts.
    pub fn add(&mut self, trial: &Trial) {
        self.after_evidence += trial.after_evidence;
        self.after_verdict += trial.after_verdict;
        self.outcomes_rewritten += usize::from(trial.outcomes_written > 1);
        if trial.aborted {
            self.aborted += 1;
            let done = trial.outcome.as_ref().is_some_and(|o| o.kind == OutcomeKind::Done);
            self.aborted_done += usize::from(done);
            return;
        }
        self.withdraw_ms.extend(trial.withdraw_ms);
        let kind = self.kinds.entry(trial.kind).or_default();
        kind.moves += 1;
        kind.calls += trial.calls;
        kind.calls_new += trial.calls_new;
        kind.after_evidence += trial.after_evidence;
        match &trial.outcome {
            None => kind.open += 1,
            Some(outcome) => match (outcome.kind, outcome.cause) {
                (OutcomeKind::Done, _) if trial.in_time => kind.done_in_time += 1,
                (OutcomeKind::Done, _) => kind.done_late += 1,
                (OutcomeKind::TakenBack, Cause::Timeout) => kind.timeout += 1,
                (OutcomeKind::TakenBack, _) => kind.bad += 1,
            },
        }
    }

    /// Creates the JSON result; `seconds` is the duration of the whole measurement.
    pub fn result(mut self, seed: u64, seconds: f64) -> MovesResult {
        self.withdraw_ms.sort_unstable();
        let good = self.sum(false);
        let bad = self.sum(true);
        MovesResult {
            seed,
            nodes: 0,
            seconds,
            good_done_in_time: share(good.done_in_time as u64, good.moves as u64),
            bad_taken_back: share((bad.bad + bad.timeout) as u64, bad.moves as u64),
            false_taken_back: share((good.bad + good.timeout) as u64, good.moves as u64),
            bad_request_share: share(bad.calls_new, bad.calls),
            after_evidence: self.after_evidence,
            withdraw_p50_ms: quantile(&self.withdraw_ms, 0.5),
            withdraw_p99_ms: quantile(&self.withdraw_ms, 0.99),
            aborted: self.aborted,
            aborted_done: self.aborted_done,
            outcomes_rewritten: self.outcomes_rewritten,
            by_kind: self.kinds,
            violations: Violations {
                // The cast loses nothing: trials have far fewer calls than a usize holds.
                work_after_verdict: self.after_verdict as usize,
                ..Violations::default()
            },
        }
    }

    /// Sums the counts of the good kinds, or of the bad ones.
    fn sum(&self, bad: bool) -> KindCounts {
        let mut sum = KindCounts::default();
        for (_, kind) in self.kinds.iter().filter(|(kind, _)| kind.is_bad() == bad) {
            sum.moves += kind.moves;
            sum.done_in_time += kind.done_in_time;
            sum.done_late += kind.done_late;
            sum.bad += kind.bad;
            sum.timeout += kind.timeout;
            sum.open += kind.open;
            sum.calls += kind.calls;
            sum.calls_new += kind.calls_new;
        }
        sum
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, counts) in &self.kinds {
            writeln!(f, "{kind:?}: {counts:?}")?;
        }
        write!(f, "aborted: {}", self.aborted)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn quantile(sorted: &[u64], q: f64) -> u64 {
    // Truncation selects the lower of two neighbours.
    let index = ((sorted.len().saturating_sub(1)) as f64 * q) as usize;
    sorted.get(index).copied().unwrap_or(0)
}
