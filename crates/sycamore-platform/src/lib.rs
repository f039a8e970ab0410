//! Client of the platform's transactional table and object store.
//!
//! [`Table`] and [`Objects`] are the interfaces to the platform. [`HttpPlatform`] implements them
//! over HTTP, by the protocol of `docs/INTERFACES.md` or another [`StoreProtocol`], and
//! `fake::FakePlatform` (feature `fake`) in memory for tests. [`propose`] changes one row by
//! compare-and-set and reads it back if the answer is lost.

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
    Changes, Condition, Conflict, Page, PageQuery, RemovedRow, Revision, Row, Table, Transacted,
    Transaction, Write,
};
