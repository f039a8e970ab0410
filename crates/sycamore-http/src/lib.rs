//! HTTP/1.1 heads and body framing with strict checks, relayed in bounded pieces.
//!
//! [`wire`] is pure: it parses and encodes bytes and does no I/O. [`conn`] moves those bytes over
//! any stream of `monoio`, and offers a small server and a small client for whole messages.

pub mod conn;
pub mod wire;

pub use conn::{
    serve, Client, ClientConfig, ClientError, Connection, ReadError, Reader, ServeConfig,
    ServeError,
};
pub use wire::{
    BodyDecoder, BodyEncoder, BodyError, Framing, HeadError, HeadLimits, Piece, RequestHead,
    ResponseHead,
};
