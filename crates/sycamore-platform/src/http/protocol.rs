//! The protocol that a platform speaks: how requests to its table and its object store are written
//! and their answers read.

use crate::error::{Error, Result};
use crate::objects::Put;
use crate::table::{Changes, Page, PageQuery, Revision, Row, Transacted, Transaction};
use bytes::Bytes;
use error_stack::Report;
use http::{Method, StatusCode};
use std::time::Duration;

/// A request as a platform takes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Its body.
    pub body: Bytes,
    /// The object must not exist yet.
    pub only_new: bool,
}

impl StoreRequest {
    /// A request without a body.
    pub fn get(target: String) -> Self {
        Self { method: Method::GET, target, body: Bytes::new(), only_new: false }
    }
}

/// Writes requests and reads answers; sends nothing itself.
///
/// Reading an answer fails with [`Error::Refused`] only where the platform promises that the request
/// had no effect.
pub trait StoreProtocol {
    /// Reads the row under `key`.
    fn get(&self, key: &str) -> StoreRequest;

    /// The row that [`StoreProtocol::get`] found.
    ///
    /// # Errors
    /// [`Error`] where the answer is a refusal or malformed, as with all answers.
    fn row(&self, key: &str, status: StatusCode, body: &[u8]) -> Result<Option<Row>>;

    /// Reads rows in the order of their keys.
    fn list(&self, query: PageQuery<'_>) -> StoreRequest;

    /// The rows that [`StoreProtocol::list`] found.
    ///
    /// # Errors
    /// [`Error`] where the answer is a refusal or malformed.
    fn page(&self, query: PageQuery<'_>, status: StatusCode, body: &[u8]) -> Result<Page>;

    /// Runs a transaction.
    fn transact(&self, transaction: &Transaction) -> StoreRequest;

    /// What became of a transaction.
    ///
    /// # Errors
    /// [`Error`] where the answer is a refusal or malformed.
    fn transacted(
        &self,
        transaction: &Transaction,
        status: StatusCode,
        body: &[u8],
    ) -> Result<Transacted>;

    /// Waits for rows under `prefix` that changed after revision `after`; `None` where the platform
    /// does not tell of changes.
    fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Option<StoreRequest> {
        let _ = (prefix, after, wait);
        None
    }

    /// The changes that [`StoreProtocol::changes`] found.
    ///
    /// # Errors
    /// [`Error::HistoryLost`] where the platform no longer knows what changed since.
    fn changed(&self, prefix: &str, status: StatusCode, body: &[u8]) -> Result<Changes> {
        let _ = (prefix, body);
        Err(unexpected(status))
    }

    /// Stores an object unless there is one.
    fn put(&self, key: &str, body: Bytes) -> StoreRequest;

    /// What [`StoreProtocol::put`] found.
    ///
    /// # Errors
    /// [`Error`] where the answer is a refusal or malformed.
    fn stored(&self, status: StatusCode) -> Result<Put> {
        match status {
            StatusCode::PRECONDITION_FAILED => Ok(Put::Exists),
            status if status.is_success() => Ok(Put::Stored),
            status => Err(unexpected(status)),
        }
    }

    /// Reads an object; 404 stands for none.
    fn fetch(&self, key: &str) -> StoreRequest;

    /// Reads the keys of objects that start with `prefix`.
    fn keys(&self, prefix: &str) -> StoreRequest;

    /// The keys that [`StoreProtocol::keys`] found.
    ///
    /// # Errors
    /// [`Error`] where the answer is a refusal or malformed.
    fn names(&self, status: StatusCode, body: &[u8]) -> Result<Vec<String>>;
}

/// The error for a status that a protocol gives no other meaning. Only 429 and 503 promise that the
/// request had no effect.
pub fn unexpected(status: StatusCode) -> Report<Error> {
    Report::new(match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Error::Refused { status: status.as_u16() }
        }
        status => Error::Malformed(format!("status {}", status.as_u16())),
    })
}

/// Percent-encodes all but unreserved characters, `/` and `:` (RFC 3986, section 2.3).
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/:".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
