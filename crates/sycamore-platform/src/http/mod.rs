//! The platform over HTTP/1.1, as `docs/INTERFACES.md` describes it.
//!
//! Uses hyper's client connection rather than monoio-http's client codec, since it bounds the
//! headers and streams the body, so that an answer can be bounded before it is in memory.

mod connection;
mod count;
mod pool;
mod wire;

pub use count::Traffic;

use crate::budget::{Budget, BudgetSettings};
use crate::error::{Error, Result};
use crate::objects::{Objects, Put};
use crate::table::{Page, PageQuery, Row, Table, Transacted, Transaction};
use bytes::Bytes;
use error_stack::Report;
use http::{Method, Request, StatusCode};
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
    table: Pool,
    objects: Pool,
    budget: RefCell<Budget>,
    traffic: Rc<Traffic>,
    started: Instant,
    body_bytes: usize,
}

/// Which bucket a request draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    Read,
    Write,
}

impl HttpPlatform {
    /// A client that has no connection yet.
    pub fn new(settings: HttpSettings) -> Self {
        let traffic = Rc::new(Traffic::default());
        let pool = |address| Pool::new(address, &settings, Rc::clone(&traffic));
        let (table, objects) = (pool(settings.table), pool(settings.objects));
        let budget = Budget::new(settings.budget, settings.nodes, Time::default());
        let (started, body_bytes) = (Instant::now(), settings.body_bytes);
        Self { table, objects, budget: RefCell::new(budget), traffic, started, body_bytes }
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
        cost: Cost,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes)> {
        self.spend(cost)?;
        match cost {
            Cost::Read => self.traffic.reads.add(1),
            Cost::Write => self.traffic.writes.add(1),
        }
        let answer = pool.send(request).await;
        if answer.is_err() {
            self.traffic.failures.add(1);
        }
        answer
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        let (bytes, max) = (body.len(), self.body_bytes);
        if bytes > max {
            return Err(Report::new(Error::TooLarge { bytes, max }));
        }
        let request = Request::builder().method(method).uri(path).header("host", "platform");
        request.body(Full::new(body)).map_err(|e| Report::new(Error::Malformed(e.to_string())))
    }

    async fn read(&self, pool: &Pool, path: &str) -> Result<Option<Bytes>> {
        let request = self.request(Method::GET, path, Bytes::new())?;
        match self.send(pool, Cost::Read, request).await? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(wire::refused(status)),
        }
    }
}

impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let path = format!("/table/row/{}", wire::escape(key));
        match self.read(&self.table, &path).await? {
            Some(body) => wire::decode(&body).map(Some),
            None => Ok(None),
        }
    }

    async fn list(&self, query: PageQuery<'_>) -> Result<Page> {
        let (prefix, after) = (wire::escape(query.prefix), wire::escape(query.after));
        let path = format!("/table/rows?prefix={prefix}&after={after}&limit={}", query.limit);
        match self.read(&self.table, &path).await? {
            Some(body) => wire::decode(&body),
            None => Ok(Page::default()),
        }
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Transacted> {
        let body = serde_json::to_vec(transaction).expect("transactions serialise");
        let request = self.request(Method::POST, "/table/transact", body.into())?;
        match self.send(&self.table, Cost::Write, request).await? {
            (StatusCode::OK | StatusCode::CONFLICT, body) => wire::transacted(&body),
            (status, _) => Err(wire::refused(status)),
        }
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, key: &str, body: Bytes) -> Result<Put> {
        let mut request =
            self.request(Method::PUT, &format!("/objects/{}", wire::escape(key)), body)?;
        request.headers_mut().insert("if-none-match", http::HeaderValue::from_static("*"));
        match self.send(&self.objects, Cost::Write, request).await? {
            (StatusCode::PRECONDITION_FAILED, _) => Ok(Put::Exists),
            (status, _) if status.is_success() => Ok(Put::Stored),
            (status, _) => Err(wire::refused(status)),
        }
    }

    async fn fetch(&self, key: &str) -> Result<Option<Bytes>> {
        self.read(&self.objects, &format!("/objects/{}", wire::escape(key))).await
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>> {
        let path = format!("/objects?prefix={}", wire::escape(prefix));
        match self.read(&self.objects, &path).await? {
            Some(body) => wire::decode(&body),
            None => Ok(Vec::new()),
        }
    }
}
