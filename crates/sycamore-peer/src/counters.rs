//! Counters of a node's control traffic, shared by all sockets of the process.

use std::sync::atomic::{AtomicU64, Ordering};

/// Traffic counts since the process started. TCP bytes are those that sockets sent and received,
/// HTTP headers included and TCP/IP headers not; each datagram adds [`DATAGRAM_HEADER_BYTES`].
#[derive(Debug, Default)]
pub struct Counters {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    refused: AtomicU64,
    connections_in: AtomicU64,
    connections_out: AtomicU64,
    connections_refused: AtomicU64,
}

/// Size of the IPv4 and UDP headers of one datagram, in bytes.
pub const DATAGRAM_HEADER_BYTES: u64 = 28;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $add:ident) => {
        $(#[$doc])*
        pub fn $name(&self) -> u64 {
            self.$name.load(Ordering::Relaxed)
        }

        pub(crate) fn $add(&self, n: u64) {
            self.$name.fetch_add(n, Ordering::Relaxed);
        }
    };
}

impl Counters {
    counter! {
        /// Returns the number of control traffic bytes received.
        bytes_in, add_bytes_in
    }
    counter! {
        /// Returns the number of control traffic bytes sent.
        bytes_out, add_bytes_out
    }
    counter! {
        /// Returns the number of messages refused as malformed, oversized or of another deployment.
        refused, add_refused
    }
    counter! {
        /// Returns the number of connections accepted from other nodes.
        connections_in, add_connections_in
    }
    counter! {
        /// Returns the number of connections opened to other nodes.
        connections_out, add_connections_out
    }
    counter! {
        /// Returns the number of connections closed on arrival because a limit was reached.
        connections_refused, add_connections_refused
    }

    /// Adds bytes received by a control traffic socket outside this crate, such as the platform
    /// client's.
    pub fn received(&self, bytes: u64) {
        self.add_bytes_in(bytes);
    }

    /// Adds bytes sent by a control traffic socket outside this crate, such as the platform
    /// client's.
    pub fn sent(&self, bytes: u64) {
        self.add_bytes_out(bytes);
    }
}
