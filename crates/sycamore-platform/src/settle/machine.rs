//! State machine that decides the next request of a compare-and-set proposal from the last answer.

use super::{Settled, Stamped};
use crate::backoff::{Backoff, BackoffSettings};
use crate::table::{Conflict, Revision, Row};
use serde_json::Value;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Retry limits of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettleSettings {
    /// Number of failed requests after which the proposal ends as [`Settled::Unknown`].
    pub failures: u32,
    /// Backoff between requests, applied after each failed one.
    pub backoff: BackoffSettings,
}

impl Default for SettleSettings {
    fn default() -> Self {
        Self { failures: 8, backoff: BackoffSettings::default() }
    }
}

/// Answer to the last request of a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The compare-and-set committed; the row has this new revision.
    Committed(Revision),
    /// The compare-and-set had no effect, because these conditions did not hold.
    Conflicted(Vec<Conflict>),
    /// The current row, `None` if it is absent.
    Read(Option<Row>),
    /// The request failed.
    Failed {
        /// Whether the failed request may have taken effect.
        may_have_run: bool,
    },
}

/// Next action of the caller that runs a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send the compare-and-set after this delay.
    Write(Duration),
    /// Read the row after this delay.
    Read(Duration),
    /// Send nothing more: the proposal has ended with this result.
    Done(Settled),
}

/// State of one proposal between its requests.
#[derive(Debug, Clone)]
pub struct Settle {
    key: String,
    op: OpId,
    /// Revision of the row that the proposal changes, [`Revision::ABSENT`] if there was none.
    base: Revision,
    /// Last operation stamped on that row; `None` if the row is absent or not stamped.
    base_op: Option<OpId>,
    /// Whether a write may have taken effect without an answer.
    uncertain: bool,
    /// Number of failed requests after which the proposal ends.
    failures: u32,
    backoff: Backoff,
}

impl Settle {
    /// Creates the state of a proposal that has not been sent; the caller writes first.
    ///
    /// `base` is the row that the proposal changes, `None` if it is absent. `seed` determines the
    /// backoff delays.
    pub fn new(
        key: &str,
        op: OpId,
        base: Option<&Row>,
        settings: &SettleSettings,
        seed: u64,
    ) -> Self {
        Self {
            key: key.to_owned(),
            op,
            base: base.map_or(Revision::ABSENT, |row| row.revision),
            base_op: base.and_then(|row| parse_stamped(&row.value)).map(|stamped| stamped.op),
            uncertain: false,
            failures: settings.failures,
            backoff: Backoff::new(settings.backoff.clone(), seed),
        }
    }

    /// Returns whether a write may have taken effect without an answer.
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Records the answer to the last request and returns the next action.
    pub fn step(&mut self, answer: Answer) -> Step {
        match answer {
            Answer::Committed(revision) => Step::Done(Settled::Won { revision }),
            Answer::Conflicted(conflicts) => self.on_conflict(conflicts),
            Answer::Read(row) => self.on_read(row),
            Answer::Failed { may_have_run } => self.on_failure(may_have_run),
        }
    }

    fn on_conflict(&mut self, conflicts: Vec<Conflict>) -> Step {
        match conflicts.iter().position(|conflict| conflict.key == self.key) {
            Some(own) => Step::Done(self.resolve(conflicts[own].clone())),
            // The answer may omit the proposal's own row, and only that row shows whether an
            // earlier attempt took effect.
            None if self.uncertain => Step::Read(Duration::ZERO),
            None => match conflicts.into_iter().next() {
                Some(winner) => Step::Done(Settled::Lost { winner }),
                None => Step::Read(Duration::ZERO),
            },
        }
    }

    fn on_read(&mut self, row: Option<Row>) -> Step {
        let current = match row {
            Some(row) => Conflict { key: row.key, revision: row.revision, value: Some(row.value) },
            None => Conflict { key: self.key.clone(), revision: Revision::ABSENT, value: None },
        };
        if current.revision == self.base {
            return Step::Write(Duration::ZERO);
        }
        Step::Done(self.resolve(current))
    }

    fn on_failure(&mut self, may_have_run: bool) -> Step {
        self.uncertain |= may_have_run;
        if self.backoff.failures() + 1 >= self.failures {
            return Step::Done(Settled::Unknown { may_have_run: self.uncertain });
        }
        let delay = self.backoff.record_failure();
        if self.uncertain {
            Step::Read(delay)
        } else {
            Step::Write(delay)
        }
    }

    /// Determines the proposal's result from its row, which has changed since the base revision.
    fn resolve(&self, current: Conflict) -> Settled {
        let stamped = current.value.as_ref().and_then(parse_stamped);
        let won = stamped.as_ref().is_some_and(|stamped| stamped.age(self.op).is_some());
        if won {
            return Settled::Won { revision: current.revision };
        }
        if !self.uncertain || stamped.is_some_and(|stamped| self.has_ops_since_base(&stamped)) {
            return Settled::Lost { winner: current };
        }
        Settled::Unknown { may_have_run: true }
    }

    /// Returns whether `stamped` lists every operation since the proposal's base revision.
    fn has_ops_since_base(&self, stamped: &Stamped<Value>) -> bool {
        match self.base_op {
            Some(op) => stamped.age(op).is_some(),
            None => self.base == Revision::ABSENT && stamped.is_complete(),
        }
    }
}

/// Parses a row's value; `None` if it does not name the operation that wrote it.
fn parse_stamped(value: &Value) -> Option<Stamped<Value>> {
    serde_json::from_value(value.clone()).ok()
}
