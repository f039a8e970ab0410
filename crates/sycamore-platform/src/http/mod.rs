//! HTTP/1.1 client of the platform for any [`StoreProtocol`].
//!
//! The client uses hyper's client connection instead of monoio-http's client codec, because hyper
//! limits the size of the headers and streams the body. An oversized answer is refused before it is
//! in memory.

mod connection;
mod count;
mod epoch;
mod native;
mod pool;
mod protocol;

pub use count::Traffic;
pub use native::NativeProtocol;
pub use protocol::{escape, unexpected, StoreProtocol, StoreRequest};

use crate::budget::{Budget, BudgetSettings};
use crate::error::{Error, Result};
use crate::objects::{Objects, Put};
use crate::table::{Changes, Page, PageQuery, Revision, Row, Table, Transacted, Transaction};
use bytes::Bytes;
use epoch::InEpoch;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use pool::Pool;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use sycamore_types::prelude::*;
use tokio::sync::watch;

/// Largest row or object that nodes handle, in bytes.
const MAX_VALUE_BYTES: usize = 16 << 20;
/// Upper bound on the rest of an answer with such a value, in bytes.
const MAX_OTHER_BYTES: usize = 1 << 20;

/// Addresses and limits of a platform client.
#[derive(Debug, Clone)]
pub struct HttpSettings {
    /// Address of the transactional table.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Longest time until an answer begins, connecting included, and between its parts.
    pub timeout: Duration,
    /// Largest number of connections to the table, and of those to the object store. Watches use as
    /// many again.
    pub connections: usize,
    /// Largest request or answer body in bytes. Values of rows may be encoded in base64.
    pub body_bytes: usize,
    /// Largest answer to a request for changes, in bytes. It may hold several versions of a row,
    /// each as large as the answer to a read, and decoding it takes several times its size.
    pub changes_bytes: usize,
    /// Request budget of the whole fleet.
    pub budget: BudgetSettings,
    /// Number of nodes that share the budget until [`HttpPlatform::set_nodes`] is called.
    pub nodes: usize,
}

impl HttpSettings {
    /// Creates default settings for a platform that serves table and objects at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            table: address,
            objects: address,
            timeout: Duration::from_secs(2),
            connections: 2,
            body_bytes: MAX_VALUE_BYTES.div_ceil(3) * 4 + MAX_OTHER_BYTES,
            changes_bytes: 8 << 20,
            budget: BudgetSettings::default(),
            nodes: 64,
        }
    }
}

/// HTTP client of the platform's table and object store.
pub struct HttpPlatform {
    protocol: Rc<dyn StoreProtocol>,
    table: Pool,
    objects: Pool,
    /// Connections to the table for long polls, so that other requests don't queue behind them.
    watches: Pool,
    timeout: Duration,
    budget: RefCell<Budget>,
    traffic: Rc<Traffic>,
    started: Instant,
    body_bytes: usize,
    observer: Option<Observer>,
    /// Epoch of the table; `None` before the first answer.
    epoch: watch::Sender<Option<u64>>,
}

/// Answer of the platform.
struct Answer {
    status: StatusCode,
    body: Bytes,
    /// Epoch of the table that answered.
    epoch: u64,
}

/// Token bucket from which a request is paid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    Read,
    Write,
}

/// Kind of a request to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Read of rows, an object or keys.
    Read,
    /// Transaction, or write of an object.
    Write,
    /// Long poll for changed rows.
    Watch,
}

/// Result of one request to the platform that the budget allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRequest {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Status of the answer; `None` if no complete answer arrived.
    pub status: Option<StatusCode>,
    /// Time from the start of the request to its end, connecting included.
    pub took: Duration,
}

/// Callback that gets the result of each request.
pub type Observer = Rc<dyn Fn(FinishedRequest)>;

impl HttpPlatform {
    /// Creates a client for the protocol of `docs/INTERFACES.md`. It connects on the first request.
    pub fn new(settings: HttpSettings) -> Self {
        Self::with_protocol(settings, Rc::new(NativeProtocol))
    }

    /// Creates a client for `protocol`. It connects on the first request.
    pub fn with_protocol(settings: HttpSettings, protocol: Rc<dyn StoreProtocol>) -> Self {
        let traffic = Rc::new(Traffic::default());
        let pool = |address| Pool::new(address, &settings, Rc::clone(&traffic));
        let (table, objects) = (pool(settings.table), pool(settings.objects));
        let of_changes = HttpSettings { body_bytes: settings.changes_bytes, ..settings.clone() };
        let watches = Pool::new(settings.table, &of_changes, Rc::clone(&traffic));
        let timeout = settings.timeout;
        let budget = Budget::new(settings.budget, settings.nodes, Time::default());
        let (started, body_bytes) = (Instant::now(), settings.body_bytes);
        let budget = RefCell::new(budget);
        let observer = None;
        Self {
            protocol,
            table,
            objects,
            watches,
            timeout,
            budget,
            traffic,
            started,
            body_bytes,
            observer,
            epoch: watch::Sender::new(None),
        }
    }

    /// Sets the callback that gets the result of each request; replaces an earlier one.
    pub fn with_observer(self, observer: Observer) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// Sets the number of nodes that share the fleet's budget.
    pub fn set_nodes(&self, nodes: usize) {
        self.budget.borrow_mut().set_nodes(nodes, self.now());
    }

    /// Returns the request and byte counters since the client was created.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Subscribes to the epoch of the table, which rises when the platform comes back from an older
    /// copy of it; `None` before the first answer.
    pub fn epochs(&self) -> watch::Receiver<Option<u64>> {
        self.epoch.subscribe()
    }

    /// Records that the table is in `epoch`, as an answer or another node told. An epoch that is
    /// over changes nothing.
    pub fn observe_epoch(&self, epoch: u64) {
        self.epoch.send_if_modified(|known| {
            let rises = Some(epoch) > *known;
            if rises {
                *known = Some(epoch);
            }
            rises
        });
    }

    /// Returns the epoch of an answer with the header `fields`, or the latest known one if it
    /// doesn't tell.
    ///
    /// # Errors
    /// [`Error::EarlierEpoch`] if that epoch is over.
    fn check_epoch(&self, fields: &HeaderMap) -> Result<u64> {
        let Some(answered) = self.protocol.epoch(fields) else {
            return Ok(self.epoch.borrow().unwrap_or_default());
        };
        self.observe_epoch(answered);
        match *self.epoch.borrow() {
            Some(current) if answered < current => {
                Err(Report::new(Error::EarlierEpoch { answered, current }))
            }
            _ => Ok(answered),
        }
    }

    /// Checks that `revision`, which a request is made with, is of the table's epoch: in a later one
    /// its number may mean something else.
    ///
    /// # Errors
    /// [`Error::EarlierEpoch`] if it is of an epoch that is over.
    fn check_revision(&self, revision: Revision) -> Result<()> {
        match *self.epoch.borrow() {
            Some(current) if revision != Revision::ABSENT && revision.epoch() < current => {
                Err(Report::new(Error::EarlierEpoch { answered: revision.epoch(), current }))
            }
            _ => Ok(()),
        }
    }

    fn now(&self) -> Time {
        Time::default() + self.started.elapsed()
    }

    /// Takes one token from this node's share of the budget.
    fn take_budget(&self, cost: Cost) -> Result<()> {
        let mut budget = self.budget.borrow_mut();
        let taken = match cost {
            Cost::Read => budget.read(self.now()),
            Cost::Write => budget.write(self.now()),
        };
        taken.map_err(|wait| {
            self.traffic.throttled.add(1);
            Report::new(Error::Throttled { wait })
        })
    }

    async fn send(
        &self,
        pool: &Pool,
        kind: RequestKind,
        request: StoreRequest,
        timeout: Duration,
    ) -> Result<Answer> {
        let request = self.encode(request)?;
        match kind {
            RequestKind::Read | RequestKind::Watch => {
                self.take_budget(Cost::Read)?;
                self.traffic.reads.add(1);
            }
            RequestKind::Write => {
                self.take_budget(Cost::Write)?;
                self.traffic.writes.add(1);
            }
        }
        let started = Instant::now();
        let answer = pool.send(request, timeout).await;
        if answer.is_err() {
            self.traffic.failures.add(1);
        }
        if let Some(observer) = &self.observer {
            let status = answer.as_ref().ok().map(Response::status);
            observer(FinishedRequest { kind, status, took: started.elapsed() });
        }
        let (head, body) = answer?.into_parts();
        Ok(Answer { status: head.status, body, epoch: self.check_epoch(&head.headers)? })
    }

    fn encode(&self, request: StoreRequest) -> Result<Request<Full<Bytes>>> {
        let StoreRequest { method, target, body, only_new } = request;
        let (bytes, max) = (body.len(), self.body_bytes);
        if bytes > max {
            return Err(Report::new(Error::TooLarge { bytes, max }));
        }
        let mut builder = Request::builder().method(method).uri(target).header("host", "platform");
        if only_new {
            builder = builder.header("if-none-match", "*");
        }
        if !body.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        builder.body(Full::new(body)).map_err(|e| Report::new(Error::Malformed(e.to_string())))
    }

    async fn read(&self, pool: &Pool, request: StoreRequest) -> Result<Answer> {
        self.send(pool, RequestKind::Read, request, self.timeout).await
    }

    async fn write(&self, pool: &Pool, request: StoreRequest) -> Result<Answer> {
        self.send(pool, RequestKind::Write, request, self.timeout).await
    }

    /// Waits up to `wait` for rows under `prefix` that change after revision `after`. The request
    /// uses a separate connection, so that other requests don't queue behind it.
    ///
    /// # Errors
    /// [`Error::Unsupported`] if the platform does not report changes, [`Error::HistoryLost`] if it
    /// no longer holds them, and the errors of any request.
    pub async fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes> {
        self.check_revision(after).change_context(Error::HistoryLost)?;
        let request = self.protocol.changes(prefix, Revision(after.number()), wait);
        let request = request.ok_or_else(|| Report::new(Error::Unsupported))?;
        let timeout = wait + self.timeout;
        let answer = self.send(&self.watches, RequestKind::Watch, request, timeout).await?;
        // The same number of another epoch names other changes.
        if after != Revision::ABSENT && after.epoch() != answer.epoch {
            return Err(Report::new(Error::HistoryLost));
        }
        let changes = self.protocol.decode_changes(prefix, answer.status, &answer.body)?;
        Ok(changes.in_epoch(answer.epoch))
    }
}

impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let answer = self.read(&self.table, self.protocol.get(key)).await?;
        let row = self.protocol.decode_row(key, answer.status, &answer.body)?;
        Ok(row.in_epoch(answer.epoch))
    }

    async fn list(&self, query: PageQuery<'_>) -> Result<Page> {
        let answer = self.read(&self.table, self.protocol.list(query)).await?;
        let page = self.protocol.decode_page(query, answer.status, &answer.body)?;
        Ok(page.in_epoch(answer.epoch))
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Transacted> {
        let mut numbered = transaction.clone();
        for condition in &mut numbered.conditions {
            self.check_revision(condition.revision)?;
            condition.revision = Revision(condition.revision.number());
        }
        let answer = self.write(&self.table, self.protocol.transact(&numbered)).await?;
        let transacted =
            self.protocol.decode_transaction(&numbered, answer.status, &answer.body)?;
        Ok(transacted.in_epoch(answer.epoch))
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, key: &str, body: Bytes) -> Result<Put> {
        let answer = self.write(&self.objects, self.protocol.put(key, body)).await?;
        self.protocol.decode_put(answer.status)
    }

    async fn fetch(&self, key: &str) -> Result<Option<Bytes>> {
        let answer = self.read(&self.objects, self.protocol.fetch(key)).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>> {
        let answer = self.read(&self.objects, self.protocol.keys(prefix)).await?;
        self.protocol.decode_keys(answer.status, &answer.body)
    }
}
