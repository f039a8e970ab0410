//! Accepting connections, bounded in number for each address.

use super::serve;
use super::state::State;
use crate::tasks::TaskGroup;
use error_stack::{Report, ResultExt};
use monoio::net::{TcpListener, TcpStream};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use sycamore_http::conn::Keepalive;

/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections of other nodes accepted at most from one address.
const RELAY_CONNECTIONS: u32 = 4_096;

/// Who connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    /// Callers.
    Caller,
    /// The upstream beside this node.
    Upstream,
    /// Other nodes.
    Relay,
}

/// Starts to accept connections on `address`.
pub(super) fn start(
    state: &Rc<State>,
    tasks: &TaskGroup,
    side: Side,
    address: SocketAddr,
) -> Result<(), Report<std::io::Error>> {
    let listener = TcpListener::bind(address).attach_with(|| format!("address {address}"))?;
    let state = state.clone();
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        let connections = Rc::new(TaskGroup::default());
        stop.or(accept(&state, &connections, side, listener)).await;
        connections.stop();
        connections.join().await;
    });
    Ok(())
}

async fn accept(state: &Rc<State>, connections: &Rc<TaskGroup>, side: Side, listener: TcpListener) {
    let open: Rc<Open> = Rc::default();
    let most = match side {
        Side::Caller => state.hub.settings.calls.connections_per_address,
        Side::Upstream | Side::Relay => RELAY_CONNECTIONS,
    };
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(guard) = Open::enter(&open, peer.ip(), most) {
                    serve_one(state, connections, side, stream, peer, guard);
                }
            }
            Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn serve_one(
    state: &Rc<State>,
    connections: &Rc<TaskGroup>,
    side: Side,
    stream: TcpStream,
    peer: SocketAddr,
    guard: OpenGuard,
) {
    // A node that is gone without a word must not leave its calls running.
    let watched = side != Side::Relay || Keepalive::default().apply(&stream).is_ok();
    if stream.set_nodelay(true).is_err() || !watched {
        return;
    }
    let state = state.clone();
    let stop = connections.stop_signal();
    connections.spawn(async move {
        let _guard = guard;
        state.metrics.connections().inc();
        serve::connection(&state, side, stream, peer, stop).await;
        state.metrics.connections().dec();
    });
}

/// Open connections by address.
#[derive(Default)]
struct Open(RefCell<HashMap<IpAddr, u32>>);

struct OpenGuard(Rc<Open>, IpAddr);

impl Open {
    /// `None` where the address has too many already.
    fn enter(open: &Rc<Open>, ip: IpAddr, most: u32) -> Option<OpenGuard> {
        let mut counts = open.0.borrow_mut();
        let count = counts.entry(ip).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(OpenGuard(open.clone(), ip))
    }
}

impl Drop for OpenGuard {
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
