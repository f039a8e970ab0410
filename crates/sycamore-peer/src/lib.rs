//! Encodes the messages that nodes send to each other and carries them: membership datagrams over
//! UDP, and gRPC calls (tonic) on the monoio runtime.

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
pub use server::{
    serve, Call, Evidence, FetchRequest, Fetched, Inbox, Objects, Server, ServerOptions,
};

/// Error of sending, answering or decoding a message between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Connecting to the peer failed or took longer than the connect timeout.
    #[error("could not connect to the peer")]
    Connect,
    /// The peer did not answer a call within the call timeout.
    #[error("the peer did not answer within the call timeout")]
    Timeout,
    /// The peer refused the call, or the connection closed before the answer.
    #[error("the peer refused the call or the connection closed")]
    Call,
    /// A message is malformed or exceeds a bound of [`limits`].
    #[error("malformed or oversized message")]
    Malformed,
    /// The message, or the peer that answered, belongs to another deployment.
    #[error("the message belongs to another deployment")]
    Deployment,
    /// The operating system reported an error on the datagram socket.
    #[error("datagram socket failed")]
    Socket,
}

/// Result of sending, answering or decoding a message between nodes.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
