//! Idempotency keys: a repeat gets the recorded answer, or "in progress", or "outcome unknown",
//! never a second run.
//!
//! The node that owns a key among the members of the service ([`Ownership`]) keeps its record
//! ([`KeyTable`]). Where it can't be sure that it would know of an earlier run, it runs nothing.

mod owner;
mod table;
mod unread;

pub use owner::{owner_of, Members, Ownership, OwnershipConfig, Standing};
pub use table::{KeyDecision, KeyEnd, KeyTable, KeyTableConfig, Released};
pub use unread::Unread;

use sycamore_types::prelude::*;

/// Hash of a service and an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// The hash of `key` within `service`.
    pub fn of(service: &ServiceName, key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(service.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key);
        Self(first_bytes(&hasher.finalize()))
    }
}

/// The first 16 bytes of a hash, as a number.
pub(crate) fn first_bytes(hash: &blake3::Hash) -> u128 {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_be_bytes(bytes)
}
