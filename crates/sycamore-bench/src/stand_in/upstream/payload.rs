//! Bodies and their checksums.

use bytes::Bytes;

/// Checksum of `body`, as headers carry it.
pub fn checksum(body: &[u8]) -> String {
    blake3::hash(body).to_hex().as_str()[..16].to_owned()
}

/// A body of `len` bytes that follows from `token`, so that no two requests share one.
pub fn fill(token: &str, len: usize) -> Bytes {
    let mut body = vec![0; len];
    blake3::Hasher::new().update(token.as_bytes()).finalize_xof().fill(&mut body);
    Bytes::from(body)
}
