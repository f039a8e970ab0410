//! Calls of callers, other nodes and the upstream.
//!
//! A call comes in at the callers' listener (or the upstream's, where the upstream calls on), is
//! relayed to the node beside the chosen upstream, admitted there and passed to the upstream; its
//! answer comes back the same way. [`forward`] is the callers' side, [`beside`] the upstream's.

mod announce;
mod answer;
mod beside;
mod crash;
mod exchange;
mod failed;
mod forward;
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
mod serve;
mod slot;
mod state;
mod watch;

pub use answer::{Answer, Outcome};

use crate::edge::Edges;
use crate::hub::Hub;
use crate::tasks::TaskGroup;
use error_stack::Report;
use listen::Side;
use state::State;
use std::rc::Rc;

/// Calls of callers, other nodes and the upstream.
pub struct Calls(Rc<State>);

impl Calls {
    /// The load of the upstream beside this node: running, limit and queued.
    pub fn load(&self) -> sycamore_call::Load {
        self.0.admission.borrow().load()
    }
}

/// Starts the slice's tasks.
///
/// # Errors
/// Where a listener's address is taken.
pub async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    edges: &Edges,
) -> Result<Rc<Calls>, Report<std::io::Error>> {
    let state = State::new(hub, edges)?;
    let listen = &hub.settings.listen;
    for (side, address) in [
        (Side::Caller, listen.caller),
        (Side::Upstream, listen.upstream),
        (Side::Relay, listen.relay),
    ] {
        listen::start(&state, tasks, side, address)?;
    }
    watch::start(&state, tasks);
    Ok(Rc::new(Calls(state)))
}
