//! Listener for requests of other nodes.

use crate::hub::Hub;
use crate::listen;
use crate::tasks::TaskGroup;
use error_stack::Report;
use futures::channel::mpsc;
use futures::StreamExt;
use std::rc::Rc;
use std::sync::Arc;
use sycamore_peer::{serve, Call, Counters, Inbox, Server, ServerOptions};
use sycamore_types::prelude::*;

/// Binds the peer address and serves requests until `tasks` stop.
///
/// # Errors
/// [`std::io::Error`] if the address can't be bound.
pub(super) fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    counters: Arc<Counters>,
) -> Result<Inbox, Report<std::io::Error>> {
    let listener = listen::bind(hub.settings.listen.peer)?;
    let (server, inbox) = Server::new(hub.settings.node.deployment.clone(), counters);
    let mut stop = tasks.stop_signal();
    let stopped = async move { stop.wait().await };
    tasks.spawn(serve(listener, server, ServerOptions::default(), stopped));
    Ok(inbox)
}

/// Spawns the task that answers other nodes' head requests.
pub(super) fn answer_heads(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    mut calls: mpsc::Receiver<Call<(), Option<ConfigHead>>>,
) {
    let hub = hub.clone();
    tasks.spawn_until_stop(async move {
        while let Some(call) = calls.next().await {
            // The send fails if the caller has given up, which is harmless.
            let _ = call.tx.send(highest_head(&hub));
        }
    });
}

/// Returns the highest configuration head that this node has seen; `None` if it has seen none.
fn highest_head(hub: &Hub) -> Option<ConfigHead> {
    match hub.facts.known().get(&FactKey::Head) {
        Some(Fact::Head(head)) => Some(*head),
        _ => None,
    }
}
