//! HTTP interface of the emulated platform.

use super::{Control, Objects, RateCaps, Stats, Table, Transaction};
use crate::http::{self as bench_http, json, text, Answer, Break, Listener, Reply, ServeOptions};
use crate::Result;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use serde_json::json as value;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of rows in a page of a listing if the request names no limit.
const DEFAULT_PAGE_ROWS: usize = 1_000;

/// Options of the platform's stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address at which the stand-in listens.
    pub listen: SocketAddr,
    /// Limit on reads per second.
    pub reads_per_s: u32,
    /// Limit on writes per second.
    pub writes_per_s: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 7390)),
            reads_per_s: 2_000,
            writes_per_s: 400,
        }
    }
}

struct Platform {
    start: Instant,
    table: Table,
    objects: Objects,
    caps: RateCaps,
    /// End of the last outage, counted from the stand-in's start.
    outage_until: Duration,
    /// Delay of every request.
    slow: Duration,
    /// Number of successful writes whose answers are still to be lost.
    lost_answers: u32,
    stats: Stats,
}

enum Access {
    Read,
    Write,
}

/// Serves requests until the future is dropped.
///
/// # Errors
/// [`crate::BenchError::Io`] if the address can't be bound.
pub async fn run(options: Options) -> Result<()> {
    let listener = Listener::bind(options.listen)?;
    let platform = Rc::new(RefCell::new(Platform {
        start: Instant::now(),
        table: Table::default(),
        objects: Objects::default(),
        caps: RateCaps::new(options.reads_per_s, options.writes_per_s),
        outage_until: Duration::ZERO,
        slow: Duration::ZERO,
        lost_answers: 0,
        stats: Stats::default(),
    }));
    let handler = move |req| answer(platform.clone(), req);
    bench_http::serve(&listener, &ServeOptions::default(), handler).await;
    Ok(())
}

async fn answer(platform: Rc<RefCell<Platform>>, req: Request<Incoming>) -> Reply {
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(Break);
    };
    let body = body.to_bytes();
    if head.uri.path().starts_with("/control") {
        return Ok(platform.borrow_mut().control(&head.method, head.uri.path(), &body));
    }
    let slow = platform.borrow().slow;
    if !slow.is_zero() {
        monoio::time::sleep(slow).await;
    }
    platform.borrow_mut().handle(&head, body)
}

impl Platform {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn control(&mut self, method: &Method, path: &str, body: &Bytes) -> Answer {
        if *method == Method::GET && path == "/control/stats" {
            return json(StatusCode::OK, &self.stats);
        }
        match serde_json::from_slice::<Control>(body) {
            Ok(control) => {
                self.apply_control(&control);
                json(StatusCode::OK, &self.stats)
            }
            Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    fn apply_control(&mut self, control: &Control) {
        if let Some(outage) = control.outage_ms {
            self.outage_until = self.now() + Duration::from_millis(outage);
        }
        if let Some(slow) = control.slow_ms {
            self.slow = Duration::from_millis(slow);
        }
        if let Some(lost) = control.lost_answers {
            self.lost_answers = lost;
        }
        if let Some(reads) = control.reads_per_s {
            self.caps.reads = super::RateCap::new(reads);
        }
        if let Some(writes) = control.writes_per_s {
            self.caps.writes = super::RateCap::new(writes);
        }
    }

    fn handle(&mut self, head: &http::request::Parts, body: Bytes) -> Reply {
        let access = match head.method {
            Method::GET => Access::Read,
            _ => Access::Write,
        };
        if let Some(refusal) = self.refusal(&access) {
            return Ok(refusal);
        }
        let sent = body.len();
        let answer = self.dispatch(head, body);
        let received = answer.body().size_hint().exact().unwrap_or(0);
        self.stats.body_bytes += sent as u64 + received;
        let took_effect = matches!(access, Access::Write) && answer.status().is_success();
        if took_effect && self.lost_answers > 0 {
            self.lost_answers -= 1;
            return Err(Break);
        }
        Ok(answer)
    }

    /// Counts a request and returns the refusal if there is an outage or its rate limit is exceeded.
    fn refusal(&mut self, access: &Access) -> Option<Answer> {
        let now = self.now();
        if now < self.outage_until {
            self.stats.refused += 1;
            return Some(text(StatusCode::SERVICE_UNAVAILABLE, "outage\n"));
        }
        let (cap, count) = match access {
            Access::Read => (&mut self.caps.reads, &mut self.stats.reads),
            Access::Write => (&mut self.caps.writes, &mut self.stats.writes),
        };
        if !cap.take(now) {
            self.stats.refused += 1;
            return Some(text(StatusCode::TOO_MANY_REQUESTS, "over the rate cap\n"));
        }
        *count += 1;
        None
    }

    fn dispatch(&mut self, head: &http::request::Parts, body: Bytes) -> Answer {
        let path = decode(head.uri.path());
        let query = Query::parse(head.uri.query().unwrap_or(""));
        match (&head.method, path.as_str()) {
            (&Method::GET, "/table/rows") => self.rows(&query),
            (&Method::POST, "/table/transact") => self.transact(&body),
            (&Method::GET, "/objects") => {
                json(StatusCode::OK, &self.objects.keys(query.get("prefix").unwrap_or("")))
            }
            (method, path) => match (method, split_resource(path)) {
                (&Method::GET, Some(("row", key))) => self.row(key),
                (&Method::GET, Some(("object", key))) => match self.objects.get(key) {
                    Some(object) => text(StatusCode::OK, object.clone()),
                    None => text(StatusCode::NOT_FOUND, "no such object\n"),
                },
                (&Method::PUT, Some(("object", key))) => self.put(key, head, body),
                _ => text(StatusCode::NOT_FOUND, "no such resource\n"),
            },
        }
    }

    fn row(&self, key: &str) -> Answer {
        match self.table.get(key) {
            Some(row) => json(StatusCode::OK, row),
            None => text(StatusCode::NOT_FOUND, "no such row\n"),
        }
    }

    fn rows(&self, query: &Query) -> Answer {
        let limit = query.get("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(DEFAULT_PAGE_ROWS);
        let prefix = query.get("prefix").unwrap_or("");
        let (rows, more) = self.table.list(prefix, query.get("after").unwrap_or(""), limit);
        json(StatusCode::OK, &value!({ "rows": rows, "more": more }))
    }

    fn transact(&mut self, body: &Bytes) -> Answer {
        let transaction: Transaction = match serde_json::from_slice(body) {
            Ok(transaction) => transaction,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        match self.table.transact(&transaction) {
            Ok(revisions) => {
                json(StatusCode::OK, &value!({ "committed": true, "revisions": revisions }))
            }
            Err(conflicts) => {
                self.stats.conflicts += 1;
                let body = value!({ "committed": false, "conflicts": conflicts });
                json(StatusCode::CONFLICT, &body)
            }
        }
    }

    fn put(&mut self, key: &str, head: &http::request::Parts, body: Bytes) -> Answer {
        let if_absent = head.headers.get(http::header::IF_NONE_MATCH).is_some();
        if self.objects.put(key, body, if_absent) {
            text(StatusCode::OK, "")
        } else {
            text(StatusCode::PRECONDITION_FAILED, "exists\n")
        }
    }
}

/// Splits a path into the kind of resource, `row` or `object`, and its key.
fn split_resource(path: &str) -> Option<(&'static str, &str)> {
    if let Some(key) = path.strip_prefix("/table/row/") {
        return Some(("row", key));
    }
    path.strip_prefix("/objects/").map(|key| ("object", key))
}

/// Decoded parameters of a query string.
struct Query(Vec<(String, String)>);

impl Query {
    fn parse(query: &str) -> Self {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(key, value)| (decode(key), decode(value))).collect())
    }

    fn get(&self, key: &str) -> Option<&str> {
        self.0.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

/// Decodes the percent-encoding of a key or value in a query string.
fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
