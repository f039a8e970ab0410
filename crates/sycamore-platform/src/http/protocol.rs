//! Interface of a platform protocol, which encodes requests to the table and the object store and
//! decodes their answers.

use crate::error::{Error, Result};
use crate::objects::Put;
use crate::table::{Changes, Page, PageQuery, Revision, Row, Transacted, Transaction};
use bytes::Bytes;
use error_stack::Report;
use http::{HeaderMap, Method, StatusCode};
use std::time::Duration;

/// HTTP request in a platform's protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, percent-encoded.
    pub target: String,
    /// Request body, sent as `application/json` unless it is empty.
    pub body: Bytes,
    /// Whether the request fails if its object exists (`if-none-match: *`).
    pub only_new: bool,
}

impl StoreRequest {
    /// Creates a `GET` request without a body.
    pub fn get(target: String) -> Self {
        Self { method: Method::GET, target, body: Bytes::new(), only_new: false }
    }
}

/// Encoder of requests to a platform and decoder of its answers; sends nothing itself.
///
/// Decoding fails with [`Error::Refused`] only if the platform guarantees that the request had no
/// effect.
pub trait StoreProtocol {
    /// Returns the epoch of the table that answered with the header `fields`, which rises when the
    /// platform comes back from an older copy of the table; `None` if the answer doesn't tell.
    fn epoch(&self, fields: &HeaderMap) -> Option<u64> {
        let _ = fields;
        None
    }

    /// Encodes a read of the row at `key`.
    fn get(&self, key: &str) -> StoreRequest;

    /// Decodes the answer to [`StoreProtocol::get`]; `None` if the row is absent.
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::Malformed`], by the status and the body.
    fn decode_row(&self, key: &str, status: StatusCode, body: &[u8]) -> Result<Option<Row>>;

    /// Encodes a read of one page of rows in key order.
    fn list(&self, query: PageQuery<'_>) -> StoreRequest;

    /// Decodes the answer to [`StoreProtocol::list`].
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::Malformed`], by the status and the body.
    fn decode_page(&self, query: PageQuery<'_>, status: StatusCode, body: &[u8]) -> Result<Page>;

    /// Encodes a transaction.
    fn transact(&self, transaction: &Transaction) -> StoreRequest;

    /// Decodes the answer to [`StoreProtocol::transact`].
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::Malformed`], by the status and the body.
    fn decode_transaction(
        &self,
        transaction: &Transaction,
        status: StatusCode,
        body: &[u8],
    ) -> Result<Transacted>;

    /// Encodes a long poll of at most `wait` for rows under `prefix` that changed after revision
    /// `after`; `None` if the platform does not report changes.
    fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Option<StoreRequest> {
        let _ = (prefix, after, wait);
        None
    }

    /// Decodes the answer to [`StoreProtocol::changes`].
    ///
    /// # Errors
    /// [`Error::HistoryLost`] if the platform no longer holds the changes since that revision,
    /// otherwise [`Error::Refused`] or [`Error::Malformed`].
    fn decode_changes(&self, prefix: &str, status: StatusCode, body: &[u8]) -> Result<Changes> {
        let _ = (prefix, body);
        Err(unexpected(status))
    }

    /// Encodes a write of the object at `key` that keeps an existing one.
    fn put(&self, key: &str, body: Bytes) -> StoreRequest;

    /// Decodes the answer to [`StoreProtocol::put`], of which the status is enough.
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::Malformed`], by the status.
    fn decode_put(&self, status: StatusCode) -> Result<Put> {
        match status {
            StatusCode::PRECONDITION_FAILED => Ok(Put::Exists),
            status if status.is_success() => Ok(Put::Stored),
            status => Err(unexpected(status)),
        }
    }

    /// Encodes a read of the object at `key`. The platform answers 200 with the object as the body,
    /// or 404 if it is absent.
    fn fetch(&self, key: &str) -> StoreRequest;

    /// Encodes a read of the object keys that start with `prefix`.
    fn keys(&self, prefix: &str) -> StoreRequest;

    /// Decodes the answer to [`StoreProtocol::keys`].
    ///
    /// # Errors
    /// [`Error::Refused`] or [`Error::Malformed`], by the status and the body.
    fn decode_keys(&self, status: StatusCode, body: &[u8]) -> Result<Vec<String>>;
}

/// Returns the error for a status to which a protocol gives no other meaning.
///
/// 429 and 503 are [`Error::Refused`]: only these guarantee that the request had no effect. All
/// other statuses are [`Error::Malformed`].
pub fn unexpected(status: StatusCode) -> Report<Error> {
    Report::new(match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Error::Refused { status: status.as_u16() }
        }
        status => Error::Malformed(format!("unexpected status {}", status.as_u16())),
    })
}

/// Percent-encodes all bytes of `text` but unreserved characters (RFC 3986, section 2.3), `/` and
/// `:`.
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
