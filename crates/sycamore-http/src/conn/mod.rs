//! HTTP/1.1 messages on `monoio` streams.
//!
//! Read futures are cancel safe: dropping one loses no bytes, because the legacy driver reads only
//! when the socket is ready and the [`Reader`] buffers what was read.

mod client;
mod error;
mod polled;
mod reader;
mod server;
mod silence;
mod turn;

pub use client::{Client, ClientConfig, ClientError};
pub use error::ReadError;
pub use polled::Polled;
pub use reader::{relay_body, write_all, Reader};
pub use server::{serve, Connection, ServeConfig, ServeError};
pub use silence::Keepalive;
pub use turn::Turn;
