//! Memory of the bodies under way.

use prometheus::IntGauge;
use std::cell::Cell;
use std::rc::Rc;
use sycamore_settings::calls::EXCHANGE_BYTES;

/// What an exchange does with its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Relays it to a node, which needs memory there as well, and perhaps here.
    Relays,
    /// Passes it to the upstream beside this node.
    Runs,
}

/// The memory that bodies under way may take, and how much of it they hold.
///
/// Exchanges that relay may hold half of it: where they held all, no exchange could pass a call to
/// the upstream, and none of them would come to its end.
pub(super) struct BodyMemory {
    limit: u64,
    held: Rc<Held>,
}

struct Held {
    all: Cell<u64>,
    relaying: Cell<u64>,
    gauge: IntGauge,
}

impl BodyMemory {
    /// `limit` bytes; `gauge` shows what is held.
    pub(super) fn new(limit: u64, gauge: IntGauge) -> Self {
        let held = Held { all: Cell::new(0), relaying: Cell::new(0), gauge };
        Self { limit, held: Rc::new(held) }
    }

    /// Holds [`EXCHANGE_BYTES`] for one exchange; `None` where they are not there.
    pub(super) fn hold(&self, role: Role) -> Option<Holding> {
        let all = self.held.all.get() + EXCHANGE_BYTES;
        let relaying = self.held.relaying.get() + EXCHANGE_BYTES;
        let fits = all <= self.limit && (role == Role::Runs || relaying <= self.limit / 2);
        if !fits {
            return None;
        }
        self.held.set_all(all);
        if role == Role::Relays {
            self.held.relaying.set(relaying);
        }
        Some(Holding { held: self.held.clone(), role })
    }
}

impl Held {
    fn set_all(&self, bytes: u64) {
        self.all.set(bytes);
        self.gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

/// The memory of one exchange's body; given back when dropped.
pub(super) struct Holding {
    held: Rc<Held>,
    role: Role,
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.held.set_all(self.held.all.get() - EXCHANGE_BYTES);
        if self.role == Role::Relays {
            self.held.relaying.set(self.held.relaying.get() - EXCHANGE_BYTES);
        }
    }
}
