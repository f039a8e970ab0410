//! Digests of items and of tables. They only tell whether a comparison is worth its bytes: where
//! they differ between two builds of the program, nodes compare more often than they need to.

use super::BUCKETS;
use crate::message::{Item, ItemKey};
use std::hash::{Hash, Hasher};

/// 64-bit FNV-1a (Fowler, Noll, Vo), with numbers in little-endian order on every machine.
struct Fnv(u64);

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        // FNV-1a mixes its last bytes poorly into the low bits.
        self.0 ^ (self.0 >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
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
    let mut fnv = Fnv(OFFSET);
    value.hash(&mut fnv);
    fnv.finish()
}

/// The bucket that the item called `key` belongs to.
pub(super) fn bucket_of(key: &ItemKey) -> usize {
    (hash(key) % BUCKETS as u64) as usize
}

/// The digest of one item.
pub(super) fn item_digest(item: &Item) -> u32 {
    hash(item) as u32
}

/// The digest of all buckets together.
pub(super) fn digest_of(buckets: &[u32]) -> u32 {
    hash(&buckets) as u32
}
