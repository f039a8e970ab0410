//! Compare-and-set of one row that reads the row back when the answer to a write is lost.
//!
//! Every row changed this way stores the identifiers of the last operations that changed it. A
//! proposer whose answer was lost reads the row. If the row lists the proposer's operation, the
//! write took effect. If it lists every operation since the base revision and not the proposer's,
//! the write had no effect. If the row is unchanged, the same compare-and-set is sent again: at
//! most one of the two can take effect. Rows changed this way are never deleted.

mod machine;
mod run;
mod stamped;

pub use machine::{Answer, Settle, SettleSettings, Step};
pub use run::propose;
pub use stamped::{Stamped, RECENT_OPS};

use crate::table::{Condition, Conflict, Revision, Row, Write};
use serde_json::Value;
use sycamore_types::prelude::*;

/// Compare-and-set of one row, with optional conditions on and writes of other rows.
#[derive(Debug, Clone)]
pub struct Proposal<'a> {
    /// Key of the row that stores the operation's identifier.
    pub key: &'a str,
    /// Row that the proposal changes, as last read; `None` if it was absent.
    pub base: Option<&'a Row>,
    /// Identifier of the operation, the same in all attempts.
    pub op: OpId,
    /// New fields of the row; must be a JSON object.
    pub body: Value,
    /// Conditions on other rows, checked in the same transaction.
    pub conditions: Vec<Condition>,
    /// Writes of other rows in the same transaction.
    pub writes: Vec<Write>,
}

/// Result of a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Settled {
    /// The proposal took effect.
    Won {
        /// Revision of the row when it was last read or written. If a later operation overwrote the
        /// proposal before the read, the revision is that operation's.
        revision: Revision,
    },
    /// The proposal had no effect and cannot take effect later.
    Lost {
        /// Current state of the proposal's row, or of the other row whose condition did not hold.
        winner: Conflict,
    },
    /// The result could not be determined: too many requests failed, or the row no longer lists
    /// every operation since the base revision.
    Unknown {
        /// Whether the proposal may have taken effect or may still do so.
        may_have_run: bool,
    },
}
