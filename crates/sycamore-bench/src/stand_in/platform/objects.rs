//! Object store of the emulated platform, held in memory.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Objects of the store, sorted by key.
#[derive(Debug, Default)]
pub struct Objects {
    objects: BTreeMap<String, Bytes>,
}

impl Objects {
    /// Returns the object stored under `key`.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.objects.get(key)
    }

    /// Stores `body` under `key` and returns whether it was stored; with `if_absent`, an existing object
    /// is left as it is.
    pub fn put(&mut self, key: &str, body: Bytes, if_absent: bool) -> bool {
        if if_absent && self.objects.contains_key(key) {
            return false;
        }
        self.objects.insert(key.to_owned(), body);
        true
    }

    /// Returns the keys that start with `prefix`, sorted.
    pub fn keys(&self, prefix: &str) -> Vec<&str> {
        self.objects
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .map(|(key, _)| key.as_str())
            .take_while(|key| key.starts_with(prefix))
            .collect()
    }
}
