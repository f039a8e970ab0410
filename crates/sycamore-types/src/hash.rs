//! Content hashes that name configuration objects.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::fmt;

/// BLAKE3 hash of an object's bytes, which is the object's name.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentHash(#[serde_as(as = "Hex")] pub [u8; 32]);

impl ContentHash {
    /// Computes the hash of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
