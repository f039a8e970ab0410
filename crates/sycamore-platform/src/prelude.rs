//! Re-exports of the commonly used types and traits of this crate.

pub use crate::error::Error;
pub use crate::objects::{Objects, Put};
pub use crate::settle::{propose, Proposal, Settled, Stamped};
pub use crate::table::{
    Condition, Conflict, Page, PageQuery, Revision, Row, Table, Transacted, Transaction, Write,
};
