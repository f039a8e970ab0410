//! State of a network link that the proxy can disturb.

use super::POLL_INTERVAL;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Direction of traffic over a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting to the listening process.
    Forward,
    /// From the listening to the connecting process.
    Return,
}

/// Disturbance of all traffic over a link, for as long as it is set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No disturbance: traffic passes in both directions.
    #[default]
    None,
    /// Traffic is delayed by this much in both directions.
    Delay(Duration),
    /// Traffic in one direction is blocked. Connections stay open, and their bytes arrive once the
    /// fault ends; datagrams are lost.
    Cut(Direction),
    /// Traffic in both directions is blocked, as with [`Fault::Cut`].
    Silence,
}

/// Network link whose traffic the harness disturbs; shared by the harness and the proxy's thread.
#[derive(Debug, Default)]
pub struct Link {
    fault: Mutex<Fault>,
    /// Number of connections opened so far, which is also the number of the next connection.
    opened: AtomicU64,
    /// Connections with a number below this one are to be reset.
    reset: AtomicU64,
    /// Connections with a number below this one stay silent for good.
    muted: AtomicU64,
}

impl Link {
    /// Sets the link's fault, which replaces the previous one.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Resets the connections that are open now.
    pub fn reset(&self) {
        self.reset.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Blocks the traffic of the connections that are open now for good, without closing them; later
    /// connections work.
    pub fn mute(&self) {
        self.muted.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Returns the present fault.
    pub(super) fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Assigns a number to a new connection.
    pub(super) fn next_number(&self) -> u64 {
        self.opened.fetch_add(1, Ordering::SeqCst)
    }

    /// Waits until connection `number` is to be reset.
    pub(super) async fn wait_for_reset(&self, number: u64) {
        while number >= self.reset.load(Ordering::SeqCst) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a chunk may pass in `direction` on connection `number`: for the delay, and
    /// for the end of a fault that blocks it.
    pub(super) async fn wait_to_pass(&self, number: u64, direction: Direction) {
        if let Fault::Delay(time) = self.fault() {
            monoio::time::sleep(time).await;
        }
        while self.muted.load(Ordering::SeqCst) > number || self.blocks(direction) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the present fault blocks traffic in `direction`.
    pub(super) fn blocks(&self, direction: Direction) -> bool {
        match self.fault() {
            Fault::None | Fault::Delay(_) => false,
            Fault::Cut(cut) => cut == direction,
            Fault::Silence => true,
        }
    }
}
