//! Changes to single moves, and settling of writes whose answer was lost.

use super::row::{move_key, Author, Cause, MoveRow, Outcome, OutcomeKind, Summary};
use std::fmt;
use sycamore_types::prelude::*;

/// Compare-and-set write of one row: it takes effect only if the row still has the revision read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write<T> {
    /// Key of the row.
    pub key: String,
    /// Revision that was read; 0 if the row was absent.
    pub revision: u64,
    /// New value of the row.
    pub row: T,
}

/// Origin of a change to a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Operator or node that makes the change.
    pub author: Author,
    /// Operation id, the same in all attempts.
    pub op: OpId,
    /// Time of the change.
    pub at: WallTime,
}

/// Error of a change that lost against another one, which stays in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Operator or node whose change is in force.
    pub winner: Author,
    /// Operation id of the change in force.
    pub op: OpId,
    /// Time of the change in force.
    pub at: WallTime,
    /// State of the row in force, as a phrase for people.
    pub stands: String,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} was first: {}", self.winner, self.stands)
    }
}

impl std::error::Error for Conflict {}

impl Conflict {
    /// Creates the conflict with `row`, the row in force.
    pub fn with(row: &MoveRow) -> Self {
        let stands = match &row.outcome {
            None => format!("move {} was changed", row.spec.mv),
            Some(Outcome { kind: OutcomeKind::Done, .. }) => {
                format!("move {} is done", row.spec.mv)
            }
            Some(outcome) => format!("move {} is taken back: {}", row.spec.mv, outcome.reason),
        };
        Self { winner: row.author.clone(), op: row.op, at: row.at, stands }
    }
}

/// Returns the write that ends a move with `outcome`. An outcome is written only once.
///
/// # Errors
/// [`Conflict`] if the row already has an outcome.
pub fn end(
    row: &MoveRow,
    revision: u64,
    outcome: Outcome,
    change: Change,
) -> Result<Write<MoveRow>, Conflict> {
    if row.is_ended() {
        return Err(Conflict::with(row));
    }
    let key = move_key(&row.plan, &row.spec.mv);
    let Change { author, op, at } = change;
    let row = MoveRow { outcome: Some(outcome), author, op, at, ..row.clone() };
    Ok(Write { key, revision, row })
}

/// Returns the write that ends a move as aborted, with the operator's `reason`.
///
/// # Errors
/// [`Conflict`] if the row already has an outcome.
pub fn abort(
    row: &MoveRow,
    revision: u64,
    reason: &str,
    evidence: Summary,
    change: Change,
) -> Result<Write<MoveRow>, Conflict> {
    let outcome = Outcome {
        kind: OutcomeKind::TakenBack,
        cause: Cause::Aborted,
        reason: format!("aborted by {}: {reason}", change.author),
        at: change.at,
        share: Share::NONE,
        evidence,
    };
    end(row, revision, outcome, change)
}

/// Result of a write whose answer was lost or was a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// The write took effect.
    Won,
    /// The row is unchanged: the write did not take effect and may be retried.
    Unchanged,
    /// Another write took effect instead.
    Lost(Box<Conflict>),
}

/// Determines whether a write took effect, from the row that was read back and its `revision`.
///
/// A row of another operation with a higher revision may have been written after this write took
/// effect; then the write counts as won only if the row has its outcome.
pub fn settle(write: &Write<MoveRow>, read: &MoveRow, revision: u64) -> Settled {
    if read.op == write.row.op {
        Settled::Won
    } else if revision == write.revision {
        Settled::Unchanged
    } else if write.row.outcome.is_some() && read.outcome == write.row.outcome {
        Settled::Won
    } else {
        Settled::Lost(Box::new(Conflict::with(read)))
    }
}
