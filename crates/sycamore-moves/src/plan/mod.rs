//! Plans and moves as rows of the platform's table, and the changes that operators and nodes make
//! to them. Every change is a compare-and-set on the rows' revisions and carries an operation id.

mod before;
mod change;
mod import;
mod order;
mod row;

pub use before::version_before;
pub use change::{abort, end, settle, Change, Conflict, Settled, Write};
pub use import::{import, Diff, FieldChange, ImportError, ImportRefusal, Imported, Stored};
pub use order::order_move;
pub use row::{
    move_key, plan_key, Author, Cause, MoveRow, MoveSpec, OnTimeout, Outcome, OutcomeKind, PlanRow,
    RowError, Summary, DEFAULT_CAP, MOVE_PREFIX,
};
