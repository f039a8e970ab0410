//! Client of the platform's transactional table and object store.
//!
//! [`Table`] and [`Objects`] are the edge of the process; [`HttpPlatform`] speaks the protocol of
//! `docs/INTERFACES.md`, and `fake::FakePlatform` (feature `fake`) stands in for it in tests.
//! [`propose`] changes one row by compare-and-set and settles lost answers by reading back.

pub mod backoff;
pub mod budget;
pub mod error;
#[cfg(feature = "fake")]
pub mod fake;
pub mod http;
pub mod objects;
pub mod prelude;
pub mod settle;
pub mod table;

pub use crate::error::{Error, Result};
pub use crate::http::{
    escape, unexpected, HttpPlatform, HttpSettings, NativeProtocol, StoreProtocol, StoreRequest,
};
pub use crate::objects::{Objects, Put};
pub use crate::settle::{propose, Proposal, Settled};
pub use crate::table::{
    Changes, Condition, Conflict, Page, PageQuery, Revision, Row, Table, Transacted, Transaction,
    Write,
};
