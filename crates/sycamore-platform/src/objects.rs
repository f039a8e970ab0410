//! Interface of the platform's object store, which holds immutable bytes under string keys.

use crate::error::Result;
use bytes::Bytes;
use std::future::Future;

/// Result of [`Objects::put`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Put {
    /// The object was stored.
    Stored,
    /// An object with the key exists and was not changed.
    Exists,
}

/// Object store of the platform.
pub trait Objects {
    /// Stores `body` under `key` unless an object with the key exists.
    fn put(&self, key: &str, body: Bytes) -> impl Future<Output = Result<Put>>;

    /// Reads the object under `key`; `None` if it does not exist.
    fn fetch(&self, key: &str) -> impl Future<Output = Result<Option<Bytes>>>;

    /// Reads the keys of all objects that start with `prefix`.
    fn keys(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>>>;
}
