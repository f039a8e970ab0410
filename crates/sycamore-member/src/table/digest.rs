//! Digests of items and tables, which decide whether a table exchange is worthwhile. If two builds
//! of the program compute different digests, nodes only exchange tables more often than necessary.

use super::BUCKETS;
use crate::message::{Item, ItemKey};
use std::hash::{Hash, Hasher};

/// 64-bit FNV-1a hasher (Fowler, Noll, Vo) that hashes numbers in little-endian order on every
/// machine.
struct Fnv(u64);

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        // FNV-1a mixes the last input bytes poorly into the low bits.
        self.0 ^ (self.0 >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn write_u16(&mut self, n: u16) {
        self.write(&n.to_le_bytes());
    }

    fn write_u32(&mut self, n: u32) {
        self.write(&n.to_le_bytes());
    }

    fn write_u64(&mut self, n: u64) {
        self.write(&n.to_le_bytes());
    }

    fn write_usize(&mut self, n: usize) {
        self.write_u64(n as u64);
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut fnv = Fnv(FNV_OFFSET_BASIS);
    value.hash(&mut fnv);
    fnv.finish()
}

/// Returns the index of the bucket for the item with `key`.
pub(super) fn bucket_of(key: &ItemKey) -> usize {
    (hash(key) % BUCKETS as u64) as usize
}

/// Returns the digest of one item.
pub(super) fn item_digest(item: &Item) -> u32 {
    hash(item) as u32
}

/// Returns the digest of all buckets.
pub(super) fn digest_of(buckets: &[u32]) -> u32 {
    hash(&buckets) as u32
}
