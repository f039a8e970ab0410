//! Bound on the memory of request bodies in transit.

use prometheus::IntGauge;
use std::cell::Cell;
use std::rc::Rc;
use sycamore_settings::calls::EXCHANGE_BYTES;

/// Role of this node in an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Relaying the call to a node, which needs memory there too, and here again if it is this
    /// node.
    Relays,
    /// Running the call on the local upstream.
    Runs,
}

/// Memory budget of request bodies in transit.
///
/// Exchanges that relay a call may reserve at most half of it. If they could reserve all, no
/// exchange could run a call on the upstream, and none of the relayed calls would finish.
pub(super) struct BodyMemory {
    /// Size of the budget in bytes.
    limit: u64,
    reserved: Rc<Reserved>,
}

/// Reserved memory in bytes.
struct Reserved {
    all: Cell<u64>,
    relaying: Cell<u64>,
    gauge: IntGauge,
}

impl BodyMemory {
    /// Creates a budget of `limit` bytes; `gauge` is set to the reserved bytes.
    pub(super) fn new(limit: u64, gauge: IntGauge) -> Self {
        let reserved = Reserved { all: Cell::new(0), relaying: Cell::new(0), gauge };
        Self { limit, reserved: Rc::new(reserved) }
    }

    /// Reserves [`EXCHANGE_BYTES`] for one exchange; `None` if the budget doesn't allow it.
    pub(super) fn reserve(&self, role: Role) -> Option<Reservation> {
        let all = self.reserved.all.get() + EXCHANGE_BYTES;
        let relaying = self.reserved.relaying.get() + EXCHANGE_BYTES;
        let fits = all <= self.limit && (role == Role::Runs || relaying <= self.limit / 2);
        if !fits {
            return None;
        }
        self.reserved.set_all(all);
        if role == Role::Relays {
            self.reserved.relaying.set(relaying);
        }
        Some(Reservation { reserved: self.reserved.clone(), role })
    }
}

impl Reserved {
    fn set_all(&self, bytes: u64) {
        self.all.set(bytes);
        self.gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

/// Memory reserved for the body of one exchange, released on drop.
pub(super) struct Reservation {
    reserved: Rc<Reserved>,
    role: Role,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved.set_all(self.reserved.all.get() - EXCHANGE_BYTES);
        if self.role == Role::Relays {
            self.reserved.relaying.set(self.reserved.relaying.get() - EXCHANGE_BYTES);
        }
    }
}
