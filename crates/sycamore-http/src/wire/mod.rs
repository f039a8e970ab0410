//! Parsing and encoding of bytes; no I/O.

mod body;
mod chunk;
mod error;
mod framing;
mod head;
mod hop;

pub use body::{BodyDecoder, BodyEncoder, Piece};
pub use error::{BodyError, HeadError};
pub use framing::{request_framing, response_framing, Framing};
pub use head::{
    encode_request, encode_response, parse_request, parse_response, HeadLimits, RequestHead,
    ResponseHead,
};
pub use hop::{expects_continue, strip_hop_by_hop, wants_close};

/// The interim answer to a request that expects it.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
