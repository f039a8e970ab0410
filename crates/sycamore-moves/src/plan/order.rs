//! Identifiers of moves that are planned from operators' release orders.

use sycamore_types::prelude::*;

/// Length of a move's identifier up to which the names in it are spelled out, in bytes; a part of
/// the format, since nodes of all builds have to give an order's move the same identifier.
const MAX_SPELLED_BYTES: usize = 64;
/// Length of the hash that replaces longer names, in hexadecimal digits.
const HASH_DIGITS: usize = 16;
/// Length of the start of the service's name before the hash, in characters: what
/// [`MAX_SPELLED_BYTES`] leaves beside the hash, two dots and a revision of 20 digits.
const SERVICE_CHARS: usize = 26;

/// Returns the identifier of the move of `service` to the version `to` for an order whose row has
/// `revision`; a rewritten order is a new move. Names that are together too long for an identifier,
/// or have characters that it can't, are shortened to the start of `service` and a hash of both.
pub fn order_move(service: &ServiceName, to: &UpstreamVersion, revision: u64) -> MoveId {
    let spelled = format!("{service}.{to}.{revision}");
    let id = match MoveId::new(&spelled) {
        Ok(id) if spelled.len() <= MAX_SPELLED_BYTES => return id,
        Ok(_) | Err(_) => shortened(service, to, revision),
    };
    MoveId::new(id).expect("characters of identifiers joined by dots, of bounded length")
}

fn shortened(service: &ServiceName, to: &UpstreamVersion, revision: u64) -> String {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let start = service.as_str().chars().map(|c| if is_allowed(c) { c } else { '_' });
    let start: String = start.take(SERVICE_CHARS).collect();
    let hash = ContentHash::of(format!("{service}\n{to}").as_bytes()).to_string();
    format!("{start}.{}.{revision}", &hash[..HASH_DIGITS])
}
