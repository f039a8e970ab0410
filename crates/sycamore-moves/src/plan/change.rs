//! Changes to single moves, and how a write whose answer was lost is settled.

use super::row::{move_key, Author, Cause, MoveRow, Outcome, OutcomeKind, Summary};
use std::fmt;
use sycamore_types::prelude::*;

/// One row to write, on the condition that it still has the revision that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write<T> {
    /// The row's key.
    pub key: String,
    /// The revision that was read; 0 where the row was absent.
    pub revision: u64,
    /// The new row.
    pub row: T,
}

/// Who and what makes a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Who.
    pub author: Author,
    /// The operation's id, the same through all of its tries.
    pub op: OpId,
    /// When.
    pub at: WallTime,
}

/// A change that came too late: another one stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Who won.
    pub winner: Author,
    /// The winning operation.
    pub op: OpId,
    /// When it was written.
    pub at: WallTime,
    /// What stands, in a few words.
    pub stands: String,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} was first: {}", self.winner, self.stands)
    }
}

impl std::error::Error for Conflict {}

impl Conflict {
    /// The conflict with `row` as it stands.
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

/// Ends a move. Its outcome is written once: a row that has one already is a conflict.
///
/// # Errors
/// [`Conflict`] where the move has ended.
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

/// Aborts a move at an operator's word.
///
/// # Errors
/// [`Conflict`] where the move has ended.
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

/// What became of a write whose answer was lost or was a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// The write took effect.
    Won,
    /// The row is as it was read: the write did not take effect and may be tried again.
    Unchanged,
    /// Another write stands.
    Lost(Box<Conflict>),
}

/// Settles a write by the row read back, never by guessing.
///
/// A row with a higher revision by another operation may have been written after ours; then ours
/// counts only if its outcome is the one that stands.
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
