//! Bounds on messages between nodes.

/// Largest datagram, in bytes.
pub const MAX_PACKET_BYTES: usize = 6 << 10;
/// Largest message of a call, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Items in one datagram.
pub const MAX_PACKET_ITEMS: usize = 64;
/// Items in one exchange message.
pub const MAX_EXCHANGE_ITEMS: usize = 2_048;
/// Bucket digests in one exchange message.
pub const MAX_BUCKETS: usize = 256;
/// Hashes in one fetch.
pub const MAX_FETCH_HASHES: usize = 64;
/// Bytes of all objects in one answer to a fetch.
pub const MAX_FETCH_BYTES: usize = 512 << 10;
/// Bytes of one evidence summary and of its answer.
pub const MAX_EVIDENCE_BYTES: usize = 32 << 10;
/// Bytes of a verdict's reason.
pub const MAX_REASON_BYTES: usize = 512;
