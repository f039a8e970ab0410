//! Compare-and-set of one row that settles lost answers by reading back.
//!
//! Every row changed this way carries the identifiers of the last operations that changed it. A
//! proposer whose answer was lost reads the row: its own identifier there says that it won; a
//! history that reaches back to the row it started from without its identifier says that it lost;
//! an unchanged row says that the same compare-and-set may be sent again, since at most one of the
//! two can take effect. Rows changed this way are never deleted.

mod machine;
mod run;
mod stamped;

pub use machine::{Answer, Settle, SettleSettings, Step};
pub use run::propose;
pub use stamped::{Stamped, RECENT_OPS};

use crate::table::{Condition, Conflict, Revision, Row, Write};
use serde_json::Value;
use sycamore_types::prelude::*;

/// A change of one row, and of others with it.
#[derive(Debug, Clone)]
pub struct Proposal<'a> {
    /// Key of the row that carries the operation's identifier.
    pub key: &'a str,
    /// The row that the change starts from; `None` where it was absent.
    pub base: Option<&'a Row>,
    /// Identifies the operation, the same through all of its attempts.
    pub op: OpId,
    /// The row's new fields, a JSON object.
    pub body: Value,
    /// Conditions on other rows.
    pub conditions: Vec<Condition>,
    /// Writes of other rows.
    pub writes: Vec<Write>,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq)]
pub enum Settled {
    /// It took effect.
    Won {
        /// The row's revision when it was last seen; later ones may have followed.
        revision: Revision,
    },
    /// It had no effect, and never will.
    Lost {
        /// The row that stands in its place, or the condition on another row that did not hold.
        winner: Conflict,
    },
    /// The platform stayed out for too long.
    Unknown {
        /// Whether the change may have taken, or may yet take, effect.
        may_have_run: bool,
    },
}
