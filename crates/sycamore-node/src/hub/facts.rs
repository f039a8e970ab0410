//! The facts that a node knows, and the queue of those to spread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use sycamore_types::prelude::*;
use tokio::sync::watch;

/// Facts kept at most; where there are more, those that expire first are forgotten first.
pub const MAX_FACTS: usize = 16_384;

/// The facts that a node knows. Clones of the map are cheap to take and never change.
pub struct Facts {
    known: watch::Sender<Arc<BTreeMap<FactKey, Fact>>>,
    fresh: RefCell<Vec<Fact>>,
    raised: watch::Sender<u64>,
    head_source: Cell<Option<(ConfigHead, SocketAddr)>>,
}

impl Default for Facts {
    fn default() -> Self {
        Self {
            known: watch::Sender::new(Arc::default()),
            fresh: RefCell::default(),
            raised: watch::Sender::new(0),
            head_source: Cell::new(None),
        }
    }
}

impl Facts {
    /// The facts known now.
    pub fn known(&self) -> Arc<BTreeMap<FactKey, Fact>> {
        self.known.borrow().clone()
    }

    /// Follows the facts known.
    pub fn subscribe(&self) -> watch::Receiver<Arc<BTreeMap<FactKey, Fact>>> {
        self.known.subscribe()
    }

    /// Keeps `fact` and queues it to be spread. Gives whether it told something new.
    pub fn insert(&self, fact: Fact) -> bool {
        let new = self.learn(fact.clone());
        if new {
            self.fresh.borrow_mut().push(fact);
            self.raised.send_modify(|count| *count += 1);
        }
        new
    }

    /// Keeps a fact that the peer at `teller` told, as [`Facts::learn`] does.
    pub fn learn_from(&self, fact: Fact, teller: SocketAddr) -> bool {
        let head = match &fact {
            Fact::Head(head) => Some(*head),
            _ => None,
        };
        let new = self.learn(fact);
        if let (true, Some(head)) = (new, head) {
            self.head_source.set(Some((head, teller)));
        }
        new
    }

    /// The peer that told of `head` first; it was nearer to where the head was accepted.
    pub fn head_source(&self, head: &ConfigHead) -> Option<SocketAddr> {
        self.head_source.get().filter(|(told, _)| told == head).map(|(_, teller)| teller)
    }

    /// Keeps a fact that a peer told. Gives whether it told something new.
    pub fn learn(&self, fact: Fact) -> bool {
        self.known.send_if_modified(|known| {
            let replaces = known.get(&fact.key()).is_none_or(|old| fact.replaces(old));
            if replaces {
                let known = Arc::make_mut(known);
                known.insert(fact.key(), fact);
                bound(known);
            }
            replaces
        })
    }

    /// Forgets the facts that expired by `now`.
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

    /// Follows the number of facts raised on this node.
    pub fn raised(&self) -> watch::Receiver<u64> {
        self.raised.subscribe()
    }

    /// Takes the facts raised on this node that are still to be spread.
    pub fn take_unsent(&self) -> Vec<Fact> {
        std::mem::take(&mut self.fresh.borrow_mut())
    }
}

fn bound(known: &mut BTreeMap<FactKey, Fact>) {
    while known.len() > MAX_FACTS {
        let first =
            known.iter().filter_map(|(key, fact)| fact.expires().map(|at| (at, key.clone()))).min();
        match first {
            Some((_, key)) => known.remove(&key),
            None => return,
        };
    }
}
