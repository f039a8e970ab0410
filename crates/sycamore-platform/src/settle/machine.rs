//! Decides the next request of a proposal from the answer to the last one.

use super::{Settled, Stamped};
use crate::backoff::{Backoff, BackoffSettings};
use crate::table::{Conflict, Revision, Row};
use serde_json::Value;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Bounds of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettleSettings {
    /// Failed requests after which the proposal is given up.
    pub failures: u32,
    /// Delays between requests.
    pub backoff: BackoffSettings,
}

impl Default for SettleSettings {
    fn default() -> Self {
        Self { failures: 8, backoff: BackoffSettings::default() }
    }
}

/// The answer to the last request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The write committed and gave the row this revision.
    Committed(Revision),
    /// Conditions of the write did not hold.
    Conflicted(Vec<Conflict>),
    /// The row as read.
    Read(Option<Row>),
    /// The request failed.
    Failed {
        /// Whether it may have had its effect.
        may_have_run: bool,
    },
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send the compare-and-set, after a delay.
    Write(Duration),
    /// Read the row, after a delay.
    Read(Duration),
    /// The proposal is settled.
    Done(Settled),
}

/// One proposal on its way.
#[derive(Debug, Clone)]
pub struct Settle {
    key: String,
    op: OpId,
    base: Revision,
    base_op: Option<OpId>,
    /// Whether a write may have taken effect unseen.
    uncertain: bool,
    failures: u32,
    backoff: Backoff,
}

impl Settle {
    /// A proposal that has not been sent; its first step is to write. `seed` decides its delays.
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
            base_op: base.and_then(|row| stamp(&row.value)).map(|stamp| stamp.op),
            uncertain: false,
            failures: settings.failures,
            backoff: Backoff::new(settings.backoff.clone(), seed),
        }
    }

    /// Whether a write may have taken effect that no answer told of.
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Takes the answer to the last request and decides the next one.
    pub fn step(&mut self, answer: Answer) -> Step {
        match answer {
            Answer::Committed(revision) => Step::Done(Settled::Won { revision }),
            Answer::Conflicted(conflicts) => self.conflicted(conflicts),
            Answer::Read(row) => self.read(row),
            Answer::Failed { may_have_run } => self.failed(may_have_run),
        }
    }

    fn conflicted(&mut self, conflicts: Vec<Conflict>) -> Step {
        match conflicts.iter().position(|conflict| conflict.key == self.key) {
            Some(own) => Step::Done(self.judge(conflicts[own].clone())),
            // The answer may leave out the own row, which alone can tell of an earlier attempt.
            None if self.uncertain => Step::Read(Duration::ZERO),
            None => match conflicts.into_iter().next() {
                Some(winner) => Step::Done(Settled::Lost { winner }),
                None => Step::Read(Duration::ZERO),
            },
        }
    }

    fn read(&mut self, row: Option<Row>) -> Step {
        let current = match row {
            Some(row) => Conflict { key: row.key, revision: row.revision, value: Some(row.value) },
            None => Conflict { key: self.key.clone(), revision: Revision::ABSENT, value: None },
        };
        if current.revision == self.base {
            return Step::Write(Duration::ZERO);
        }
        Step::Done(self.judge(current))
    }

    fn failed(&mut self, may_have_run: bool) -> Step {
        self.uncertain |= may_have_run;
        if self.backoff.failures() + 1 >= self.failures {
            return Step::Done(Settled::Unknown { may_have_run: self.uncertain });
        }
        let delay = self.backoff.fail();
        if self.uncertain {
            Step::Read(delay)
        } else {
            Step::Write(delay)
        }
    }

    /// Settles by a row that is no longer the one that the proposal started from.
    fn judge(&self, current: Conflict) -> Settled {
        let stamp = current.value.as_ref().and_then(stamp);
        let won = stamp.as_ref().is_some_and(|stamp| stamp.age(self.op).is_some());
        if won {
            return Settled::Won { revision: current.revision };
        }
        if !self.uncertain || stamp.is_some_and(|stamp| self.reaches_base(&stamp)) {
            return Settled::Lost { winner: current };
        }
        Settled::Unknown { may_have_run: true }
    }

    /// Whether `stamp` remembers every operation since the row that the proposal started from.
    fn reaches_base(&self, stamp: &Stamped<Value>) -> bool {
        match self.base_op {
            Some(op) => stamp.age(op).is_some(),
            None => self.base == Revision::ABSENT && stamp.is_complete(),
        }
    }
}

fn stamp(value: &Value) -> Option<Stamped<Value>> {
    serde_json::from_value(value.clone()).ok()
}
