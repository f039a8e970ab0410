//! The call path: accepts requests, relays them between nodes and runs them on the local upstream.
//!
//! A call arrives at the callers' listener, or at the upstream's listener when the upstream itself
//! makes a call. The node relays it to the node of the chosen upstream, where it is admitted and
//! sent to that upstream; the answer returns along the same path. `forward` handles the calling
//! side, `beside` the upstream's side.

mod accounts;
mod announce;
mod answer;
mod beside;
mod crash;
mod credit;
mod exchange;
mod failed;
mod forward;
mod hedge;
mod introduce;
mod journal;
mod keyed;
mod listen;
mod memory;
mod message;
mod meta;
mod metrics;
mod pipeline;
mod pool;
mod report;
mod serve;
mod slot;
mod state;
mod warm_up;
mod watch;

pub use answer::{Answer, Outcome};

use crate::edge::Edges;
use crate::hub::Hub;
use crate::peers::Peers;
use crate::tasks::TaskGroup;
use error_stack::Report;
use listen::ListenerKind;
use state::State;
use std::rc::Rc;

/// Handle to the running call path of a node.
pub struct Calls(Rc<State>);

impl Calls {
    /// Starts to exchange credit of client accounts with the nodes of `peers`.
    pub fn exchange_credit(&self, tasks: &TaskGroup, peers: &Rc<Peers>) {
        credit::start(&self.0, tasks, peers);
    }

    /// Returns the load of this node's upstream: calls running, concurrency limit and calls queued.
    pub fn load(&self) -> sycamore_call::Load {
        self.0.admission.borrow().load(self.0.now())
    }
}

/// Binds the listeners of callers, upstream and nodes and starts the tasks of the call path.
///
/// # Errors
/// Returns an error if a listener's address can't be bound or a metric can't be registered.
pub async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    edges: &Edges,
) -> Result<Rc<Calls>, Report<std::io::Error>> {
    let state = State::new(hub, edges)?;
    let listen = &hub.settings.listen;
    for (kind, address) in [
        (ListenerKind::Caller, listen.caller),
        (ListenerKind::Upstream, listen.upstream),
        (ListenerKind::Relay, listen.relay),
    ] {
        listen::start(&state, tasks, kind, address)?;
    }
    watch::start(&state, tasks);
    Ok(Rc::new(Calls(state)))
}
