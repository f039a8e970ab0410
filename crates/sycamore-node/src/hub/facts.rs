//! Store of the facts a node knows, and the queue of those to send to peers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use sycamore_types::prelude::*;
use tokio::sync::watch;

/// Maximum number of facts kept; beyond it, the facts that expire first are evicted first.
pub const MAX_FACTS: usize = 16_384;

/// Facts known to a node. Readers share immutable snapshots of the map.
pub struct Facts {
    known: watch::Sender<Arc<BTreeMap<FactKey, Fact>>>,
    unsent: RefCell<Vec<Fact>>,
    raised: watch::Sender<u64>,
    head_source: Cell<Option<(ConfigHead, SocketAddr)>>,
}

impl Default for Facts {
    fn default() -> Self {
        Self {
            known: watch::Sender::new(Arc::default()),
            unsent: RefCell::default(),
            raised: watch::Sender::new(0),
            head_source: Cell::new(None),
        }
    }
}

impl Facts {
    /// Returns a snapshot of the facts known now.
    pub fn known(&self) -> Arc<BTreeMap<FactKey, Fact>> {
        self.known.borrow().clone()
    }

    /// Returns the data centres that operators have taken out of use.
    pub fn data_centres_out_of_use(&self) -> BTreeSet<DataCentre> {
        let known = self.known.borrow();
        let out = known.values().filter_map(|fact| match fact {
            Fact::OutOfUse { data_centre, is_out: true, .. } => Some(data_centre.clone()),
            _ => None,
        });
        out.collect()
    }

    /// Subscribes to snapshots of the known facts.
    pub fn subscribe(&self) -> watch::Receiver<Arc<BTreeMap<FactKey, Fact>>> {
        self.known.subscribe()
    }

    /// Stores a `fact` raised on this node and queues it for peers. Returns whether it was new.
    pub fn insert(&self, fact: Fact) -> bool {
        let new = self.learn(fact.clone());
        if new {
            self.unsent.borrow_mut().push(fact);
            self.raised.send_modify(|count| *count += 1);
        }
        new
    }

    /// Stores a fact received from the peer at `source`, as [`Facts::learn`] does.
    pub fn learn_from(&self, fact: Fact, source: SocketAddr) -> bool {
        let head = match &fact {
            Fact::Head(head) => Some(*head),
            _ => None,
        };
        let new = self.learn(fact);
        if let (true, Some(head)) = (new, head) {
            self.head_source.set(Some((head, source)));
        }
        new
    }

    /// Returns the peer from which `head` was learnt first, which is closer to where it was
    /// committed. `None` unless `head` is the latest head learnt from a peer.
    pub fn head_source(&self, head: &ConfigHead) -> Option<SocketAddr> {
        self.head_source.get().filter(|(learnt, _)| learnt == head).map(|(_, source)| source)
    }

    /// Stores a fact received from a peer. Returns whether it was new.
    pub fn learn(&self, fact: Fact) -> bool {
        self.known.send_if_modified(|known| {
            let replaces = known.get(&fact.key()).is_none_or(|old| fact.replaces(old));
            if replaces {
                let known = Arc::make_mut(known);
                known.insert(fact.key(), fact);
                evict_excess(known);
            }
            replaces
        })
    }

    /// Removes the facts whose expiry time is `now` or earlier.
    pub fn expire(&self, now: WallTime) {
        self.known.send_if_modified(|known| {
            let expired = |fact: &Fact| fact.expires().is_some_and(|at| at <= now);
            let any = known.values().any(expired);
            if any {
                Arc::make_mut(known).retain(|_, fact| !expired(fact));
            }
            any
        });
    }

    /// Subscribes to the number of facts raised on this node.
    pub fn subscribe_raised(&self) -> watch::Receiver<u64> {
        self.raised.subscribe()
    }

    /// Takes the facts raised on this node that were not sent to peers yet.
    pub fn take_unsent(&self) -> Vec<Fact> {
        std::mem::take(&mut self.unsent.borrow_mut())
    }
}

/// Evicts the facts that expire first until at most [`MAX_FACTS`] are left; facts without expiry
/// stay.
fn evict_excess(known: &mut BTreeMap<FactKey, Fact>) {
    while known.len() > MAX_FACTS {
        let first =
            known.iter().filter_map(|(key, fact)| fact.expires().map(|at| (at, key.clone()))).min();
        match first {
            Some((_, key)) => known.remove(&key),
            None => return,
        };
    }
}
