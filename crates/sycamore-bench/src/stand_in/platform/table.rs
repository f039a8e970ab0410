//! Table of the emulated platform: rows with revisions, changed by conditional transactions.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Row of the emulated platform's table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row, never null.
    pub value: Value,
    /// Revision of the row: 1 after the first write, one more after each further write.
    pub revision: u64,
}

/// Condition of a transaction on a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; 0 if it must be absent.
    pub revision: u64,
}

/// Write of a transaction to a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row; null deletes it.
    pub value: Value,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// Writes that are applied in order.
    #[serde(default)]
    pub writes: Vec<Write>,
}

/// Condition that did not hold, with the row's present state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the row.
    pub key: String,
    /// Revision of the row; 0 if it is absent.
    pub revision: u64,
    /// Value of the row; null if it is absent.
    pub value: Value,
}

/// Rows of the emulated platform's table, held in memory.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    /// Last revision of each deleted row.
    deleted: BTreeMap<String, u64>,
}

impl Table {
    /// Returns the row with `key`.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns at most `limit` rows whose key starts with `prefix` and is greater than `after`, sorted by
    /// key, and whether there are more.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> (Vec<&Row>, bool) {
        let start = if after >= prefix && !after.is_empty() {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        let mut rows = self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix));
        let page: Vec<&Row> = rows.by_ref().take(limit).collect();
        let more = rows.next().is_some();
        (page, more)
    }

    /// Applies all writes of `transaction` if all of its conditions hold, and returns the new revision of
    /// each written row, 0 for a deleted one.
    ///
    /// # Errors
    /// All conditions that did not hold; nothing is changed then.
    pub fn transact(
        &mut self,
        transaction: &Transaction,
    ) -> Result<BTreeMap<String, u64>, Vec<Conflict>> {
        let conflicts: Vec<Conflict> = transaction
            .conditions
            .iter()
            .filter_map(|condition| self.conflict(condition))
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        Ok(transaction.writes.iter().map(|write| (write.key.clone(), self.write(write))).collect())
    }

    /// Returns the conflict if `condition` doesn't hold.
    fn conflict(&self, condition: &Condition) -> Option<Conflict> {
        let row = self.rows.get(&condition.key);
        let revision = row.map_or(0, |row| row.revision);
        let value = row.map_or(Value::Null, |row| row.value.clone());
        (revision != condition.revision).then(|| Conflict {
            key: condition.key.clone(),
            revision,
            value,
        })
    }

    /// Applies a write and returns the row's new revision, 0 for a deletion. A row that is created again
    /// after its deletion continues its old revisions, so that no revision occurs twice.
    fn write(&mut self, write: &Write) -> u64 {
        let last = match self.rows.remove(&write.key) {
            Some(row) => row.revision,
            None => self.deleted.remove(&write.key).unwrap_or(0),
        };
        let revision = last + 1;
        if write.value.is_null() {
            self.deleted.insert(write.key.clone(), revision);
            return 0;
        }
        let row = Row { key: write.key.clone(), value: write.value.clone(), revision };
        self.rows.insert(write.key.clone(), row);
        revision
    }
}
