//! Helpers of the workspace's tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that [`unused_addr`] returns.
const FIRST_PORT: u16 = 10_000;
/// End of the ports that [`unused_addr`] returns: the system gives outgoing connections ports from
/// here on.
const END_PORT: u16 = 32_768;

/// Returns a loopback address that is returned once only, whatever other tests run on the machine.
///
/// An address that was bound to port 0 and released can be given to another test, or to an outgoing
/// connection, before its user binds it. Here each process has a host of its own.
///
/// # Panics
/// Panics if the process has used up its ports.
pub fn unused_addr() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!((FIRST_PORT..END_PORT).contains(&port), "the process has unused ports");
    SocketAddr::from((own_host(), port))
}

/// Returns the host of this process in 127.64.0.0/10, which has room for the identifiers of all
/// processes.
fn own_host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), middle, low)
}
