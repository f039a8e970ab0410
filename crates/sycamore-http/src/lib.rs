//! HTTP/1.1 codec with strict head and framing checks, and bounded reading, relaying, serving and
//! calling over `monoio` streams.
//!
//! [`wire`] parses and encodes bytes and does no I/O. [`conn`] reads and writes messages on any
//! `monoio` stream, and has a server and a client for messages that are held in memory whole.

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
