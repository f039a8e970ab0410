//! The transactional table: rows of JSON under a string key with a revision.

use crate::error::Result;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::future::Future;

/// Most rows that one page holds.
pub const MAX_PAGE_ROWS: usize = 500;

/// Counts the writes of one row, from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Stands for a row that is absent.
    pub const ABSENT: Revision = Revision(0);
}

/// A row as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// Its revision.
    pub revision: Revision,
}

/// Which rows a page shall hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageQuery<'a> {
    /// Keys start with this.
    pub prefix: &'a str,
    /// Keys come after this one; empty for the first page.
    pub after: &'a str,
    /// Rows at most.
    pub limit: usize,
}

impl Default for PageQuery<'_> {
    fn default() -> Self {
        Self { prefix: "", after: "", limit: MAX_PAGE_ROWS }
    }
}

/// Rows in the order of their keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether rows follow after the last one.
    pub more: bool,
    /// The newest revision of the whole table when the page was read; zero where it is not told.
    #[serde(default)]
    pub at: Revision,
}

/// A row must have a revision for the transaction to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The revision that it must have; [`Revision::ABSENT`] for none.
    pub revision: Revision,
}

/// A row to be written or, without a value, deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Conditions and writes that take effect all together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// A condition that did not hold, with the row as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row's key.
    pub key: String,
    /// Its revision; [`Revision::ABSENT`] for none.
    pub revision: Revision,
    /// Its value; `None` where the row is absent.
    pub value: Option<Value>,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Transacted {
    /// It took effect.
    Committed {
        /// The new revisions by key.
        revisions: BTreeMap<String, Revision>,
    },
    /// It had no effect.
    Conflicted {
        /// The conditions that did not hold.
        conflicts: Vec<Conflict>,
    },
}

/// Rows that changed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Changes {
    /// The rows that changed, as they are now, in the order of their changes.
    pub rows: Vec<Row>,
    /// Where to go on from.
    pub at: Revision,
}

/// The platform's transactional table.
pub trait Table {
    /// Reads the row under `key`; `None` where there is none.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>>>;

    /// Reads rows in the order of their keys.
    fn list(&self, query: PageQuery<'_>) -> impl Future<Output = Result<Page>>;

    /// Runs a transaction once. A failure for which [`crate::Error::may_have_run`] holds says
    /// nothing about its effect.
    fn transact(&self, transaction: &Transaction) -> impl Future<Output = Result<Transacted>>;
}
