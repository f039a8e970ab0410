//! Emulated platform: a transactional table and an object store, with fault injection.

mod control;
mod objects;
mod rate;
mod serve;
mod table;

pub use control::{Control, Stats};
pub use objects::Objects;
pub use rate::{RateCap, RateCaps};
pub use serve::{run, Options};
pub use table::{Condition, Conflict, Row, Table, Transaction, Write};
