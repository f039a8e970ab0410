//! Table of the platform that reports changes, served on loopback by threads.

use bytes::Bytes;
use http::StatusCode;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use sycamore_platform::{
    Changes, NativeProtocol, Page, PageQuery, Result, Revision, Row, StoreProtocol, StoreRequest,
    Transacted, Transaction,
};

/// Key prefix of the operators' rows.
pub const PREFIX: &str = "operators/";
/// Longest time that the store keeps a request for changes.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Table with one row, of the operators, or none.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<(u64, Option<Value>)>>);

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

    /// Writes the operators' row.
    pub fn write(&self, value: Value) {
        let mut table = self.0.lock().unwrap();
        *table = (table.0 + 1, Some(value));
    }

    /// Returns the table's revision and its rows changed after revision `after`.
    fn page(&self, after: u64) -> Value {
        let (revision, value) = self.0.lock().unwrap().clone();
        let row = value.filter(|_| revision > after).map(
            |value| json!({"key": format!("{PREFIX}row"), "value": value, "revision": revision}),
        );
        let rows: Vec<Value> = row.into_iter().collect();
        json!({"rows": rows, "more": false, "at": revision})
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
        if let Some(after) = target.strip_prefix("/changes?after=") {
            let (after, started) = (after.parse().unwrap(), Instant::now());
            while self.0.lock().unwrap().0 <= after && started.elapsed() < MAX_WAIT {
                std::thread::sleep(Duration::from_millis(2));
            }
            return ("200 OK", self.page(after).to_string());
        }
        match target.starts_with("/table/rows?prefix=operators") {
            true => ("200 OK", self.page(0).to_string()),
            false => ("404 Not Found", String::new()),
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
        Ok(Changes { rows: page.rows, at: page.at })
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
