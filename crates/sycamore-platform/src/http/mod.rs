//! The platform over HTTP/1.1, by the protocol of `docs/INTERFACES.md` or another.
//!
//! Uses hyper's client connection rather than monoio-http's client codec, since it bounds the
//! headers and streams the body, so that an answer can be bounded before it is in memory.

mod connection;
mod count;
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
use error_stack::Report;
use http::{Request, StatusCode};
use http_body_util::Full;
use pool::Pool;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use sycamore_types::prelude::*;

/// Where the platform is and how it may be used.
#[derive(Debug, Clone)]
pub struct HttpSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Time for one request, connecting included.
    pub timeout: Duration,
    /// Connections to each of the two at most.
    pub connections: usize,
    /// Largest body sent or accepted, in bytes.
    pub body_bytes: usize,
    /// The whole fleet's budget.
    pub budget: BudgetSettings,
    /// Nodes that share the budget until [`HttpPlatform::set_nodes`] tells better.
    pub nodes: usize,
}

impl HttpSettings {
    /// Defaults for a platform that serves both table and objects on `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            table: address,
            objects: address,
            timeout: Duration::from_secs(2),
            connections: 2,
            body_bytes: 4 << 20,
            budget: BudgetSettings::default(),
            nodes: 64,
        }
    }
}

/// A client of the platform over HTTP.
pub struct HttpPlatform {
    protocol: Rc<dyn StoreProtocol>,
    table: Pool,
    objects: Pool,
    watches: Pool,
    timeout: Duration,
    budget: RefCell<Budget>,
    traffic: Rc<Traffic>,
    started: Instant,
    body_bytes: usize,
    observer: Option<Observer>,
}

/// Which bucket a request draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    Read,
    Write,
}

/// What a request was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// It read.
    Read,
    /// It wrote.
    Write,
    /// It waited for changes.
    Watch,
}

/// How a request that was sent ended: a status, or no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// What it was.
    pub kind: RequestKind,
    /// The answer's status; `None` where no whole answer came.
    pub status: Option<StatusCode>,
    /// Time to its end, connecting included.
    pub took: Duration,
}

/// Is told of each request that was sent.
pub type Observer = Rc<dyn Fn(Ended)>;

impl HttpPlatform {
    /// A client by the protocol of `docs/INTERFACES.md` that has no connection yet.
    pub fn new(settings: HttpSettings) -> Self {
        Self::with_protocol(settings, Rc::new(NativeProtocol))
    }

    /// A client that speaks `protocol` and has no connection yet.
    pub fn with_protocol(settings: HttpSettings, protocol: Rc<dyn StoreProtocol>) -> Self {
        let traffic = Rc::new(Traffic::default());
        let pool = |address| Pool::new(address, &settings, Rc::clone(&traffic));
        let (table, objects) = (pool(settings.table), pool(settings.objects));
        let (watches, timeout) = (pool(settings.table), settings.timeout);
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
        }
    }

    /// The same client, which tells `observer` of each request that it sent.
    pub fn observed_by(self, observer: Observer) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// Divides the fleet's budget among `nodes` from now on.
    pub fn set_nodes(&self, nodes: usize) {
        self.budget.borrow_mut().set_nodes(nodes, self.now());
    }

    /// Counts of requests and bytes since the start.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn now(&self) -> Time {
        Time::default() + self.started.elapsed()
    }

    fn spend(&self, cost: Cost) -> Result<()> {
        let mut budget = self.budget.borrow_mut();
        let spent = match cost {
            Cost::Read => budget.read(self.now()),
            Cost::Write => budget.write(self.now()),
        };
        spent.map_err(|wait| {
            self.traffic.throttled.add(1);
            Report::new(Error::Throttled { wait })
        })
    }

    async fn send(
        &self,
        pool: &Pool,
        kind: RequestKind,
        request: StoreRequest,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let request = self.encode(request)?;
        match kind {
            RequestKind::Read | RequestKind::Watch => {
                self.spend(Cost::Read)?;
                self.traffic.reads.add(1);
            }
            RequestKind::Write => {
                self.spend(Cost::Write)?;
                self.traffic.writes.add(1);
            }
        }
        let began = Instant::now();
        let answer = pool.send(request, limit).await;
        if answer.is_err() {
            self.traffic.failures.add(1);
        }
        if let Some(observer) = &self.observer {
            let status = answer.as_ref().ok().map(|(status, _)| *status);
            observer(Ended { kind, status, took: began.elapsed() });
        }
        answer
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

    async fn read(&self, pool: &Pool, request: StoreRequest) -> Result<(StatusCode, Bytes)> {
        self.send(pool, RequestKind::Read, request, self.timeout).await
    }

    async fn write(&self, pool: &Pool, request: StoreRequest) -> Result<(StatusCode, Bytes)> {
        self.send(pool, RequestKind::Write, request, self.timeout).await
    }

    /// Waits, for as long as `wait`, for rows under `prefix` that change after revision `after`. It
    /// has a connection of its own, so that other requests don't wait behind it.
    ///
    /// # Errors
    /// [`Error::Unsupported`] where the platform does not tell of changes, [`Error::HistoryLost`]
    /// where it no longer knows them, and as for any request.
    pub async fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes> {
        let request = self.protocol.changes(prefix, after, wait);
        let request = request.ok_or_else(|| Report::new(Error::Unsupported))?;
        let limit = wait + self.timeout;
        let (status, body) = self.send(&self.watches, RequestKind::Watch, request, limit).await?;
        self.protocol.changed(prefix, status, &body)
    }
}

impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let (status, body) = self.read(&self.table, self.protocol.get(key)).await?;
        self.protocol.row(key, status, &body)
    }

    async fn list(&self, query: PageQuery<'_>) -> Result<Page> {
        let (status, body) = self.read(&self.table, self.protocol.list(query)).await?;
        self.protocol.page(query, status, &body)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Transacted> {
        let request = self.protocol.transact(transaction);
        let (status, body) = self.write(&self.table, request).await?;
        self.protocol.transacted(transaction, status, &body)
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, key: &str, body: Bytes) -> Result<Put> {
        let (status, _) = self.write(&self.objects, self.protocol.put(key, body)).await?;
        self.protocol.stored(status)
    }

    async fn fetch(&self, key: &str) -> Result<Option<Bytes>> {
        match self.read(&self.objects, self.protocol.fetch(key)).await? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(unexpected(status)),
        }
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>> {
        let (status, body) = self.read(&self.objects, self.protocol.keys(prefix)).await?;
        self.protocol.names(status, &body)
    }
}
