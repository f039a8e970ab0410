//! Parser and encoder of HTTP/1.1 messages in memory, without I/O.

mod body;
mod chunk;
mod decode;
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
pub use hop::{expects_continue, keep_alive_timeout, strip_hop_by_hop, wants_close};

/// Interim response to a request with `expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
