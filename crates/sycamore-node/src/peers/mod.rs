//! Membership and spreading.

mod listener;

use crate::hub::Hub;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use bytes::Bytes;
use error_stack::Report;
use futures::channel::mpsc;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use sycamore_peer::{Call, Counters, Evidence, Objects, PeersOptions};
use sycamore_types::prelude::*;

/// Calls for configuration objects.
pub type FetchCalls = mpsc::Receiver<Call<Vec<ContentHash>, Objects>>;
/// Calls that deliver evidence.
pub type EvidenceCalls = mpsc::Receiver<Call<Evidence, Bytes>>;

/// Membership and spreading.
pub struct Peers {
    calls: sycamore_peer::Peers,
    fetch: RefCell<Option<FetchCalls>>,
    evidence: RefCell<Option<EvidenceCalls>>,
}

impl Peers {
    /// Calls other nodes at the `peer` address of their member's endpoints.
    pub fn calls(&self) -> &sycamore_peer::Peers {
        &self.calls
    }

    /// Takes the queue of other nodes' calls for configuration objects; `None` the second time.
    pub fn take_fetch(&self) -> Option<FetchCalls> {
        self.fetch.borrow_mut().take()
    }

    /// Takes the queue of evidence that other nodes deliver; `None` the second time.
    pub fn take_evidence(&self) -> Option<EvidenceCalls> {
        self.evidence.borrow_mut().take()
    }
}

/// Starts the slice's tasks.
///
/// # Errors
/// The peer address can't be bound.
pub async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    _platform: &Rc<Platform>,
) -> Result<Rc<Peers>, Report<std::io::Error>> {
    let counters = Arc::new(Counters::default());
    let inbox = listener::start(hub, tasks, counters.clone())?;
    let node = &hub.settings.node;
    let calls = sycamore_peer::Peers::new(
        node.deployment.clone(),
        node.instance.clone(),
        PeersOptions::default(),
        counters,
    );
    listener::answer_heads(hub, tasks, inbox.head);
    Ok(Rc::new(Peers {
        calls,
        fetch: RefCell::new(Some(inbox.fetch)),
        evidence: RefCell::new(Some(inbox.evidence)),
    }))
}
