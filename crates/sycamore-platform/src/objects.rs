//! The object store: immutable bytes under a string key.

use crate::error::Result;
use bytes::Bytes;
use std::future::Future;

/// What a put found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    /// The object was stored.
    Stored,
    /// An object was there already and was left as it is.
    Exists,
}

/// The platform's object store.
pub trait Objects {
    /// Stores `body` under `key` unless an object is there.
    fn put(&self, key: &str, body: Bytes) -> impl Future<Output = Result<Put>>;

    /// Reads the object under `key`; `None` where there is none.
    fn fetch(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>>>;

    /// Reads the keys that start with `prefix`.
    fn keys(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>>>;
}
