//! Interface of the platform's transactional table, which holds JSON rows under string keys.

use crate::error::Result;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;
use std::future::Future;

/// Largest number of rows in one page.
pub const MAX_PAGE_ROWS: usize = 500;

/// Version of one row, which grows with each write of the row.
///
/// Revisions of a later epoch are higher than all of an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a row that does not exist.
    pub const ABSENT: Revision = Revision(0);
    /// Position of the epoch above the number within it.
    const EPOCH_SHIFT: u32 = 40;

    /// Creates the revision with `number` in `epoch`. Each time that the platform comes back from an
    /// older copy of the table, a new epoch begins, in which numbers are given out again.
    pub const fn new(epoch: u64, number: u64) -> Self {
        Self(epoch << Self::EPOCH_SHIFT | number)
    }

    /// Returns the epoch of the table that the revision belongs to.
    pub const fn epoch(self) -> u64 {
        self.0 >> Self::EPOCH_SHIFT
    }

    /// Returns the number within the epoch.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << Self::EPOCH_SHIFT) - 1)
    }
}

/// Decodes the JSON value of a row that anybody may have written. One that can't be decoded, such as one
/// that is nested too deeply or holds a number out of range, becomes null, since it must not take the rest
/// of the answer with it.
fn decode_value<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Value, D::Error> {
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or(Value::Null))
}

fn decode_optional_value<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Option<Value>, D::Error> {
    let raw = Option::<Box<RawValue>>::deserialize(deserializer)?;
    Ok(raw.map(|raw| serde_json::from_str(raw.get()).unwrap_or(Value::Null)))
}

/// Row of the table as last read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    #[serde(deserialize_with = "decode_value")]
    pub value: Value,
    /// Revision of the row, at least 1.
    pub revision: Revision,
}

/// Selection of the rows of one page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageQuery<'a> {
    /// Prefix of the rows' keys; empty for all rows.
    pub prefix: &'a str,
    /// Key after which the page starts, exclusive; empty for the first page.
    pub after: &'a str,
    /// Largest number of rows, at most [`MAX_PAGE_ROWS`].
    pub limit: usize,
}

impl Default for PageQuery<'_> {
    fn default() -> Self {
        Self { prefix: "", after: "", limit: MAX_PAGE_ROWS }
    }
}

/// Page of rows in key order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Rows that match the query, in key order.
    pub rows: Vec<Row>,
    /// Whether more rows follow the last one.
    pub more: bool,
    /// Latest revision of the whole table when the page was read; 0 if the platform does not report
    /// it.
    #[serde(default)]
    pub at: Revision,
}

/// Condition of a transaction on the revision of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; [`Revision::ABSENT`] if it must not exist.
    pub revision: Revision,
}

/// Write or deletion of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row; `None` deletes it.
    pub value: Option<Value>,
}

/// Writes that take effect together, if all conditions hold, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions on the rows' revisions.
    pub conditions: Vec<Condition>,
    /// Rows to write or delete.
    pub writes: Vec<Write>,
}

/// Condition that did not hold, with the current state of its row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the row.
    pub key: String,
    /// Current revision of the row; [`Revision::ABSENT`] if it does not exist.
    pub revision: Revision,
    /// Current value of the row; `None` if it does not exist.
    #[serde(default, deserialize_with = "decode_optional_value")]
    pub value: Option<Value>,
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Transacted {
    /// The transaction took effect.
    Committed {
        /// New revisions of the written rows by key.
        revisions: BTreeMap<String, Revision>,
    },
    /// The transaction had no effect.
    Conflicted {
        /// Conditions that did not hold.
        conflicts: Vec<Conflict>,
    },
}

/// Row that was removed from the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedRow {
    /// Key of the row.
    pub key: String,
    /// Revision of the removal.
    pub revision: Revision,
}

/// Rows that changed since a revision of the table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Changes {
    /// Current state of the changed rows, in the order of their changes.
    pub rows: Vec<Row>,
    /// Rows that were removed, in the order of their removal.
    pub removed: Vec<RemovedRow>,
    /// Revision of the table from which to request the next changes.
    pub at: Revision,
}

/// Transactional table of the platform.
pub trait Table {
    /// Reads the row under `key`; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>>>;

    /// Reads one page of rows in key order.
    fn list(&self, query: PageQuery<'_>) -> impl Future<Output = Result<Page>>;

    /// Sends `transaction` once, without retries. After an error for which
    /// [`crate::Error::may_have_run`] holds, it is unknown whether the transaction took effect.
    fn transact(&self, transaction: &Transaction) -> impl Future<Output = Result<Transacted>>;
}
