//! Upper bounds on the messages that nodes send to each other.

/// Largest encoded datagram, in bytes, without IP and UDP headers.
pub const MAX_PACKET_BYTES: usize = 6 << 10;
/// Largest encoded request or reply of a call, in bytes: a fetch reply with its framing.
pub const MAX_MESSAGE_BYTES: usize = MAX_FETCH_BYTES + (64 << 10);
/// Largest number of items (members and facts) in one datagram.
pub const MAX_PACKET_ITEMS: usize = 64;
/// Largest number of items in one exchange request or reply.
pub const MAX_EXCHANGE_ITEMS: usize = 2_048;
/// Largest number of table buckets that one exchange request or reply names.
pub const MAX_BUCKETS: usize = 256;
/// Largest number of content hashes in one fetch request.
pub const MAX_FETCH_HASHES: usize = 64;
/// Largest total size of the objects in one fetch reply, in bytes.
pub const MAX_FETCH_BYTES: usize = 4 << 20;
/// Largest evidence summary that a node sends or accepts, in bytes. Its answer is bounded by
/// [`MAX_MESSAGE_BYTES`] alone.
pub const MAX_EVIDENCE_BYTES: usize = 32 << 10;
/// Largest reason text of a bad-version fact, in bytes.
pub const MAX_REASON_BYTES: usize = 512;
