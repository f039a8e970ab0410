//! An in-memory platform with outages, slowness and lost answers, for tests.

use crate::error::{Error, Result};
use crate::objects::{Objects, Put};
use crate::table::{
    Conflict, Page, PageQuery, Revision, Row, Table, Transacted, Transaction, Write,
};
use bytes::Bytes;
use error_stack::Report;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// What the platform does wrong.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every request is refused.
    pub outage: bool,
    /// Every request takes this long; needs a runtime with a timer where it is not zero.
    pub slow: Duration,
    /// Writes whose answer is lost after they took effect.
    pub lost_answers: u32,
    /// Writes that are lost, with their answers, before they took effect.
    pub lost_requests: u32,
}

/// Requests that the platform answered or refused.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Requests refused in an outage.
    pub refused: u64,
    /// Transactions whose conditions did not hold.
    pub conflicts: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    faults: Faults,
    stats: Stats,
}

/// A platform in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct FakePlatform(Rc<RefCell<State>>);

impl FakePlatform {
    /// Changes what the platform does wrong.
    pub fn set_faults(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.0.borrow().stats.clone()
    }

    /// Forgets an object.
    pub fn remove_object(&self, key: &str) {
        self.0.borrow_mut().objects.remove(key);
    }

    async fn read(&self) -> Result<()> {
        self.enter().await?;
        self.0.borrow_mut().stats.reads += 1;
        Ok(())
    }

    async fn enter(&self) -> Result<()> {
        let slow = self.0.borrow().faults.slow;
        if !slow.is_zero() {
            monoio::time::sleep(slow).await;
        }
        let mut state = self.0.borrow_mut();
        if state.faults.outage {
            state.stats.refused += 1;
            return Err(Report::new(Error::Refused { status: 503 }));
        }
        Ok(())
    }

    async fn write<T>(&self, effect: impl FnOnce(&mut State) -> T) -> Result<T> {
        self.enter().await?;
        let mut state = self.0.borrow_mut();
        state.stats.writes += 1;
        if state.faults.lost_requests > 0 {
            state.faults.lost_requests -= 1;
            return Err(Report::new(Error::NoAnswer));
        }
        let answer = effect(&mut state);
        if state.faults.lost_answers > 0 {
            state.faults.lost_answers -= 1;
            return Err(Report::new(Error::NoAnswer));
        }
        Ok(answer)
    }
}

impl State {
    fn transact(&mut self, transaction: &Transaction) -> Transacted {
        let conflicts = self.conflicts(transaction);
        if !conflicts.is_empty() {
            self.stats.conflicts += 1;
            return Transacted::Conflicted { conflicts };
        }
        let revisions = transaction.writes.iter().map(|write| self.apply(write)).collect();
        Transacted::Committed { revisions }
    }

    fn conflicts(&self, transaction: &Transaction) -> Vec<Conflict> {
        let broken = transaction.conditions.iter().filter_map(|condition| {
            let row = self.rows.get(&condition.key);
            let revision = row.map_or(Revision::ABSENT, |row| row.revision);
            let value = row.map(|row| row.value.clone());
            (revision != condition.revision).then(|| Conflict {
                key: condition.key.clone(),
                revision,
                value,
            })
        });
        broken.collect()
    }

    fn apply(&mut self, write: &Write) -> (String, Revision) {
        let key = write.key.clone();
        let last = self.rows.get(&key).map_or(Revision::ABSENT, |row| row.revision);
        let Some(value) = write.value.clone() else {
            self.rows.remove(&key);
            return (key, Revision::ABSENT);
        };
        let revision = Revision(last.0 + 1);
        self.rows.insert(key.clone(), Row { key: key.clone(), value, revision });
        (key, revision)
    }
}

impl Table for FakePlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        self.read().await?;
        Ok(self.0.borrow().rows.get(key).cloned())
    }

    async fn list(&self, query: PageQuery<'_>) -> Result<Page> {
        self.read().await?;
        let state = self.0.borrow();
        let mut rows: Vec<Row> = state
            .rows
            .range(query.prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(query.prefix))
            .filter(|(key, _)| key.as_str() > query.after)
            .map(|(_, row)| row.clone())
            .take(query.limit + 1)
            .collect();
        let more = rows.len() > query.limit;
        rows.truncate(query.limit);
        Ok(Page { rows, more, at: Revision::default() })
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Transacted> {
        self.write(|state| state.transact(transaction)).await
    }
}

impl Objects for FakePlatform {
    async fn put(&self, key: &str, body: Bytes) -> Result<Put> {
        self.write(|state| {
            if state.objects.contains_key(key) {
                return Put::Exists;
            }
            state.objects.insert(key.to_owned(), body);
            Put::Stored
        })
        .await
    }

    async fn fetch(&self, key: &str) -> Result<Option<Bytes>> {
        self.read().await?;
        Ok(self.0.borrow().objects.get(key).cloned())
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>> {
        self.read().await?;
        let state = self.0.borrow();
        Ok(state.objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect())
    }
}
