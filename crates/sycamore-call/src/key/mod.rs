//! Idempotency keys: a repeat of a keyed call gets the recorded answer, "in progress" or "outcome
//! unknown", but never causes a second run.
//!
//! The member of the service that owns a key ([`Ownership`]) keeps its record ([`KeyTable`]). An
//! owner that might not know of an earlier run refuses to run the call.

mod owner;
mod table;
mod unread;

pub use owner::{owner_of, Members, Ownership, OwnershipConfig, OwnershipStatus};
pub use table::{KeyDecision, KeyEnd, KeyTable, KeyTableConfig, Released};
pub use unread::SuspensionTracker;

use sycamore_types::prelude::*;

/// Hash of a service name and an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Computes the hash of `key` within `service`.
    pub fn of(service: &ServiceName, key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(service.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key);
        Self(first_bytes(&hasher.finalize()))
    }
}

/// Returns the first 16 bytes of `hash` as a big-endian number.
pub(crate) fn first_bytes(hash: &blake3::Hash) -> u128 {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_be_bytes(bytes)
}
