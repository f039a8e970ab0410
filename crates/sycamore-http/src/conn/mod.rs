//! Messages over streams of `monoio`.
//!
//! Every read future may be dropped while it waits, and loses no bytes: reads happen when the
//! socket is ready (the legacy driver), and what was read is kept in the [`Reader`].

mod client;
mod error;
mod reader;
mod server;
mod silence;

pub use client::{Client, ClientConfig, ClientError};
pub use error::ReadError;
pub use reader::{relay_body, write_all, Reader};
pub use server::{serve, Connection, ServeConfig, ServeError};
pub use silence::Silence;
