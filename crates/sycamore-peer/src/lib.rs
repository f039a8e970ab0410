//! Messages between nodes and their transport: datagrams, and tonic over monoio.

pub mod client;
pub mod codec;
pub mod counters;
pub mod datagram;
mod io;
pub mod limits;
pub mod proto;
pub mod server;

pub use client::{Peers, PeersOptions};
pub use counters::Counters;
pub use datagram::{Datagrams, Received};
pub use server::{serve, Call, Evidence, Inbox, Objects, Server, ServerOptions};

/// Why a message was not sent, not answered or not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened in time.
    #[error("no connection to the peer")]
    Connect,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer refused the call, or the connection broke.
    #[error("the peer refused the call or the connection broke")]
    Call,
    /// A message is malformed or exceeds a limit.
    #[error("malformed or oversized message")]
    Malformed,
    /// A message of another deployment.
    #[error("message of another deployment")]
    Deployment,
    /// The socket failed.
    #[error("socket failed")]
    Socket,
}

/// Result of this crate's operations.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
