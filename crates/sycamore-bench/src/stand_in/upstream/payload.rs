//! Generates bodies of requests and answers, and their checksums.

use bytes::Bytes;

/// Returns the checksum of `body`: 16 hexadecimal digits of its BLAKE3 hash.
pub fn checksum(body: &[u8]) -> String {
    blake3::hash(body).to_hex().as_str()[..16].to_owned()
}

/// Returns a body of `len` bytes derived from `token`: different requests have different bodies, so
/// that a mix-up is noticed.
pub fn fill(token: &str, len: usize) -> Bytes {
    let mut body = vec![0; len];
    blake3::Hasher::new().update(token.as_bytes()).finalize_xof().fill(&mut body);
    Bytes::from(body)
}
