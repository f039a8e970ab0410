//! Listeners of the call path, with a bound on the open connections per remote address.

use super::serve;
use super::state::State;
use crate::listen;
use crate::tasks::TaskGroup;
use error_stack::Report;
use monoio::net::{TcpListener, TcpStream};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use sycamore_http::conn::{Keepalive, Turn};

/// Pause after a failed accept, such as when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of open connections from one address to the upstream's or the relay listener.
const MAX_NODE_CONNECTIONS: u32 = 4_096;

/// Kind of a listener by the clients that connect to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Listener for callers.
    Caller,
    /// Listener for the local upstream: its announcements, and calls that it makes itself.
    Upstream,
    /// Listener for calls relayed by other nodes.
    Relay,
}

/// Binds `address` and starts accepting connections on it.
///
/// # Errors
/// Returns an error that names `address` if it can't be bound.
pub(super) fn start(
    state: &Rc<State>,
    tasks: &TaskGroup,
    kind: ListenerKind,
    address: SocketAddr,
) -> Result<(), Report<std::io::Error>> {
    let listener = listen::bind(address)?;
    let state = state.clone();
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        let connections = Rc::new(TaskGroup::default());
        stop.or(accept(&state, &connections, kind, listener)).await;
        connections.stop();
        connections.join().await;
    });
    Ok(())
}

async fn accept(
    state: &Rc<State>,
    connections: &Rc<TaskGroup>,
    kind: ListenerKind,
    listener: TcpListener,
) {
    let open: Rc<OpenConnections> = Rc::default();
    let max_per_address = match kind {
        ListenerKind::Caller => state.hub.settings.calls.connections_per_address,
        ListenerKind::Upstream | ListenerKind::Relay => MAX_NODE_CONNECTIONS,
    };
    let mut turn = Turn::default();
    loop {
        turn.give_way_if_due().await;
        match turn.run(listener.accept()).await {
            Ok((stream, peer)) => {
                if let Some(guard) = OpenConnections::register(&open, peer.ip(), max_per_address) {
                    spawn_connection(state, connections, kind, stream, peer, guard);
                }
            }
            Err(_) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn spawn_connection(
    state: &Rc<State>,
    connections: &Rc<TaskGroup>,
    kind: ListenerKind,
    stream: TcpStream,
    peer: SocketAddr,
    guard: ConnectionGuard,
) {
    // TCP keepalive ends the calls of a node that is gone without closing its connection.
    let watched = kind != ListenerKind::Relay || Keepalive::default().apply(&stream).is_ok();
    if stream.set_nodelay(true).is_err() || !watched {
        return;
    }
    let state = state.clone();
    let stop = connections.stop_signal();
    connections.spawn(async move {
        let _guard = guard;
        state.metrics.connections().inc();
        serve::connection(&state, kind, stream, peer, stop).await;
        state.metrics.connections().dec();
    });
}

/// Number of open connections per remote address.
#[derive(Default)]
struct OpenConnections(RefCell<HashMap<IpAddr, u32>>);

/// Registration of one open connection, removed on drop.
struct ConnectionGuard(Rc<OpenConnections>, IpAddr);

impl OpenConnections {
    /// Registers a connection from `ip`; `None` if `max_per_address` are open already.
    fn register(
        open: &Rc<OpenConnections>,
        ip: IpAddr,
        max_per_address: u32,
    ) -> Option<ConnectionGuard> {
        let mut counts = open.0.borrow_mut();
        let count = counts.entry(ip).or_default();
        if *count >= max_per_address {
            return None;
        }
        *count += 1;
        Some(ConnectionGuard(open.clone(), ip))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut counts = self.0 .0.borrow_mut();
        if let Some(count) = counts.get_mut(&self.1) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.1);
            }
        }
    }
}
