//! Table of the platform that reports changes, served on loopback by threads.

use bytes::Bytes;
use http::StatusCode;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use sycamore_platform::{
    Changes, NativeProtocol, Page, PageQuery, RemovedRow, Result, Revision, Row, StoreProtocol,
    StoreRequest, Transacted, Transaction,
};
use sycamore_types::prelude::*;

/// Key prefix of the operators' rows.
pub const PREFIX: &str = "operators/";
/// Longest time that the store keeps a request for changes.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Table of operators' rows, with the feed of all their versions.
#[derive(Default)]
struct Rows {
    revision: u64,
    /// Written values with their keys, in the order of their revisions, which start at 1.
    written: Vec<(String, Value)>,
    /// Number of rows of a page; 0 for all.
    page_rows: usize,
    /// Whether the store refuses all requests.
    is_out: bool,
    /// Rows of members.
    members: Vec<Value>,
}

impl Rows {
    fn row(&self, at: usize) -> Value {
        let (key, value) = &self.written[at];
        json!({"key": format!("{PREFIX}{key}"), "value": value, "revision": at + 1})
    }

    /// Returns the page of the newest rows whose keys follow `after`.
    fn page(&self, after: &str) -> Value {
        let mut newest: BTreeMap<&str, usize> =
            self.written.iter().enumerate().map(|(at, (key, _))| (key.as_str(), at)).collect();
        newest.retain(|_, at| !self.written[*at].1.is_null());
        let after = after.strip_prefix(PREFIX).unwrap_or_default();
        let found: Vec<Value> =
            newest.iter().filter(|(key, _)| **key > after).map(|(_, at)| self.row(*at)).collect();
        let limit = if self.page_rows == 0 { found.len() } else { self.page_rows };
        let more = found.len() > limit;
        let rows: Vec<Value> = found.into_iter().take(limit).collect();
        json!({"rows": rows, "more": more, "at": self.revision})
    }

    /// Returns every version written after revision `after`.
    fn changes(&self, after: u64) -> Value {
        let after = usize::try_from(after).unwrap();
        let rows: Vec<Value> = (after..self.written.len()).map(|at| self.row(at)).collect();
        json!({"rows": rows, "more": false, "at": self.revision})
    }
}

/// Store that serves operators' rows.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<Rows>>);

impl Store {
    /// Starts to serve the table; returns its address.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.answer_all(stream));
            }
        });
        address
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap()
    }

    /// Writes the operators' row `key`.
    pub fn write(&self, key: &str, value: Value) {
        let mut rows = self.rows();
        rows.revision += 1;
        rows.written.push((key.to_owned(), value));
    }

    /// Removes the operators' row `key`, whose value is null in the feed from then on.
    pub fn remove(&self, key: &str) {
        self.write(key, Value::Null);
    }

    /// Adds the row of `member`.
    pub fn add_member(&self, member: &Member) {
        let key = format!("member/{}", member.instance);
        let row = json!({"key": key, "value": member, "revision": 1});
        self.rows().members.push(row);
    }

    /// Lets a page of a listing hold at most `rows`.
    pub fn set_page_rows(&self, rows: usize) {
        self.rows().page_rows = rows;
    }

    /// Lets the store refuse all requests, or answer them again.
    pub fn set_out(&self, is_out: bool) {
        self.rows().is_out = is_out;
    }

    fn answer_all(&self, mut stream: TcpStream) {
        while let Some(target) = read_target(&mut stream) {
            let (status, body) = self.answer(&target);
            let length = body.len();
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        if self.rows().is_out {
            return ("503 Service Unavailable", String::new());
        }
        if let Some(after) = target.strip_prefix("/changes?after=") {
            let (after, started) = (after.parse().unwrap(), Instant::now());
            while self.rows().revision <= after && started.elapsed() < MAX_WAIT {
                std::thread::sleep(Duration::from_millis(2));
            }
            if self.rows().is_out {
                return ("503 Service Unavailable", String::new());
            }
            return ("200 OK", self.rows().changes(after).to_string());
        }
        match target.split_once("?prefix=") {
            Some(("/table/rows", query)) if query.starts_with("member") => {
                ("200 OK", json!({"rows": self.rows().members, "more": false}).to_string())
            }
            Some(("/table/rows", query)) if query.starts_with("operators") => {
                let after =
                    query.split_once("&after=").and_then(|(_, rest)| rest.split('&').next());
                let after = after.unwrap_or_default().replace("%2F", "/");
                ("200 OK", self.rows().page(&after).to_string())
            }
            _ => ("404 Not Found", String::new()),
        }
    }
}

/// Reads one request with its body and returns its target; `None` if the connection ends first.
fn read_target(stream: &mut TcpStream) -> Option<String> {
    let (mut text, mut buf) = (String::new(), [0; 8192]);
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let field = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= field.map_or(0, |length| length.parse().unwrap()) {
                return head.split(' ').nth(1).map(str::to_owned);
            }
        }
        match stream.read(&mut buf) {
            Ok(count @ 1..) => text.push_str(&String::from_utf8_lossy(&buf[..count])),
            Ok(_) | Err(_) => return None,
        }
    }
}

/// Native protocol with a request for changes.
pub struct Protocol;

impl StoreProtocol for Protocol {
    fn get(&self, key: &str) -> StoreRequest {
        NativeProtocol.get(key)
    }

    fn decode_row(&self, key: &str, status: StatusCode, body: &[u8]) -> Result<Option<Row>> {
        NativeProtocol.decode_row(key, status, body)
    }

    fn list(&self, query: PageQuery<'_>) -> StoreRequest {
        NativeProtocol.list(query)
    }

    fn decode_page(&self, query: PageQuery<'_>, status: StatusCode, body: &[u8]) -> Result<Page> {
        NativeProtocol.decode_page(query, status, body)
    }

    fn transact(&self, transaction: &Transaction) -> StoreRequest {
        NativeProtocol.transact(transaction)
    }

    fn decode_transaction(
        &self,
        transaction: &Transaction,
        status: StatusCode,
        body: &[u8],
    ) -> Result<Transacted> {
        NativeProtocol.decode_transaction(transaction, status, body)
    }

    fn changes(&self, _: &str, after: Revision, _: Duration) -> Option<StoreRequest> {
        Some(StoreRequest::get(format!("/changes?after={}", after.0)))
    }

    fn decode_changes(&self, prefix: &str, status: StatusCode, body: &[u8]) -> Result<Changes> {
        let query = PageQuery { prefix, ..PageQuery::default() };
        let page = NativeProtocol.decode_page(query, status, body)?;
        let (removed, rows): (Vec<Row>, Vec<Row>) =
            page.rows.into_iter().partition(|row| row.value.is_null());
        let removed = removed.into_iter();
        let removed = removed.map(|Row { key, revision, .. }| RemovedRow { key, revision });
        Ok(Changes { rows, removed: removed.collect(), at: page.at })
    }

    fn put(&self, key: &str, body: Bytes) -> StoreRequest {
        NativeProtocol.put(key, body)
    }

    fn fetch(&self, key: &str) -> StoreRequest {
        NativeProtocol.fetch(key)
    }

    fn keys(&self, prefix: &str) -> StoreRequest {
        NativeProtocol.keys(prefix)
    }

    fn decode_keys(&self, status: StatusCode, body: &[u8]) -> Result<Vec<String>> {
        NativeProtocol.decode_keys(status, body)
    }
}
