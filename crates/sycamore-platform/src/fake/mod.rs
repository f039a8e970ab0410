//! In-memory platform for tests, with injected outages, delays and message loss.

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

/// Faults that a [`FakePlatform`] injects.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether the platform refuses every request with status 503.
    pub outage: bool,
    /// Delay of every request; needs a runtime with a timer unless it is zero.
    pub slow: Duration,
    /// Number of next writes that take effect but whose answer is lost.
    pub lost_answers: u32,
    /// Number of next writes that are lost before they take effect.
    pub lost_requests: u32,
}

/// Request counters of a [`FakePlatform`] since it was created.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of reads of rows, objects and keys.
    pub reads: u64,
    /// Number of transactions and object writes, lost ones included.
    pub writes: u64,
    /// Number of requests refused during an outage.
    pub refused: u64,
    /// Number of transactions whose conditions did not hold.
    pub conflicts: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    faults: Faults,
    stats: Stats,
}

/// In-memory platform; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct FakePlatform(Rc<RefCell<State>>);

impl FakePlatform {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    /// Returns the request counters.
    pub fn stats(&self) -> Stats {
        self.0.borrow().stats.clone()
    }

    /// Deletes the object under `key`, if there is one.
    pub fn remove_object(&self, key: &str) {
        self.0.borrow_mut().objects.remove(key);
    }

    async fn count_read(&self) -> Result<()> {
        self.delay_or_refuse().await?;
        self.0.borrow_mut().stats.reads += 1;
        Ok(())
    }

    /// Applies the faults that concern every request.
    async fn delay_or_refuse(&self) -> Result<()> {
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
        self.delay_or_refuse().await?;
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
        self.count_read().await?;
        Ok(self.0.borrow().rows.get(key).cloned())
    }

    async fn list(&self, query: PageQuery<'_>) -> Result<Page> {
        self.count_read().await?;
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
        self.count_read().await?;
        Ok(self.0.borrow().objects.get(key).cloned())
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>> {
        self.count_read().await?;
        let state = self.0.borrow();
        Ok(state.objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect())
    }
}
