//! Listening sockets of the node.

use error_stack::{Report, ResultExt};
use monoio::net::{ListenerOpts, TcpListener};
use std::net::SocketAddr;

/// Binds a TCP socket that listens on `addr`, which no other socket may share: with the library's
/// default, `SO_REUSEPORT`, a second node at the same address would start, and the system would
/// hand each of the two a part of the connections.
///
/// # Errors
/// [`std::io::Error`] that names `addr`, for instance because another process listens on it.
pub(crate) fn bind(addr: SocketAddr) -> Result<TcpListener, Report<std::io::Error>> {
    let opts = ListenerOpts::new().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(addr, &opts).attach_with(|| format!("address {addr}"))
}
