//! Counters of control traffic, shared by sockets of one process.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of one process since it started. Bytes are those that sockets sent and received, with
/// all headers above TCP; datagrams count [`DATAGRAM_HEADER_BYTES`] besides.
#[derive(Debug, Default)]
pub struct Counters {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    refused: AtomicU64,
    connections_in: AtomicU64,
    connections_out: AtomicU64,
    connections_refused: AtomicU64,
}

/// IPv4 and UDP headers of one datagram.
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
        /// Control bytes received.
        bytes_in, add_bytes_in
    }
    counter! {
        /// Control bytes sent.
        bytes_out, add_bytes_out
    }
    counter! {
        /// Messages refused: malformed, oversized or of another deployment.
        refused, add_refused
    }
    counter! {
        /// Connections accepted.
        connections_in, add_connections_in
    }
    counter! {
        /// Connections opened.
        connections_out, add_connections_out
    }
    counter! {
        /// Connections refused for a limit.
        connections_refused, add_connections_refused
    }

    /// Counts bytes that another socket of the control plane received, such as the platform client.
    pub fn received(&self, bytes: u64) {
        self.add_bytes_in(bytes);
    }

    /// Counts bytes that another socket of the control plane sent, such as the platform client.
    pub fn sent(&self, bytes: u64) {
        self.add_bytes_out(bytes);
    }
}
