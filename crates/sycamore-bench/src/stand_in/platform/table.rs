//! Rows with revisions, changed by conditional transactions.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Bound;

/// A row as it is read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// Grows with each write of the row, from 1.
    pub revision: u64,
}

/// What a transaction demands of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The revision it must have; 0 means absent.
    pub revision: u64,
}

/// What a transaction writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// Its new value; null deletes the row.
    pub value: Value,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// What is written.
    #[serde(default)]
    pub writes: Vec<Write>,
}

/// A row that did not meet its condition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row's key.
    pub key: String,
    /// Its revision; 0 where it is absent.
    pub revision: u64,
    /// Its value; null where it is absent.
    pub value: Value,
}

/// The table.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    deleted: BTreeMap<String, u64>,
}

impl Table {
    /// The row under `key`.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// At most `limit` rows whose key starts with `prefix` and is greater than `after`, by key,
    /// and whether there are more.
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

    /// Applies `transaction` whole and gives the new revisions.
    ///
    /// # Errors
    /// Every row that did not meet its condition; nothing is changed.
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

    /// A deleted row's revisions go on where they stopped, so that no revision comes twice.
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
