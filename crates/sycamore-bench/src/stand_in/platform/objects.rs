//! The object store.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Objects by key.
#[derive(Debug, Default)]
pub struct Objects {
    objects: BTreeMap<String, Bytes>,
}

impl Objects {
    /// The object under `key`.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.objects.get(key)
    }

    /// Stores `body` under `key`; with `if_absent`, only where nothing is there. Says whether it
    /// was stored.
    pub fn put(&mut self, key: &str, body: Bytes, if_absent: bool) -> bool {
        if if_absent && self.objects.contains_key(key) {
            return false;
        }
        self.objects.insert(key.to_owned(), body);
        true
    }

    /// The keys that start with `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<&str> {
        self.objects
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .map(|(key, _)| key.as_str())
            .take_while(|key| key.starts_with(prefix))
            .collect()
    }
}
