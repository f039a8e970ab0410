//! The state of one disturbed way between processes.

use super::LOOK;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From the one who connects to the one who listens.
    There,
    /// Answers.
    Back,
}

/// What happens to all that passes, for as long as it is set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It arrives so much later.
    Delay(Duration),
    /// Nothing passes one way; connections stay open, and what was sent on them arrives afterwards.
    Cut(Way),
    /// Nothing passes either way.
    Silence,
}

/// One disturbed way, shared by the harness and the proxy.
#[derive(Debug, Default)]
pub struct Link {
    fault: Mutex<Fault>,
    opened: AtomicU64,
    /// Connections with a lower number are reset.
    reset: AtomicU64,
    /// Connections with a lower number never carry anything again.
    muted: AtomicU64,
}

impl Link {
    /// Sets what happens from now on.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Resets the connections that are open.
    pub fn reset(&self) {
        self.reset.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Silences the connections that are open for good; new ones work.
    pub fn mute(&self) {
        self.muted.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    pub(super) fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of a new connection.
    pub(super) fn open(&self) -> u64 {
        self.opened.fetch_add(1, Ordering::SeqCst)
    }

    /// Waits until connection `number` is reset.
    pub(super) async fn is_reset(&self, number: u64) {
        while number >= self.reset.load(Ordering::SeqCst) {
            monoio::time::sleep(LOOK).await;
        }
    }

    /// Waits until something may pass `way` on connection `number`.
    pub(super) async fn pass(&self, number: u64, way: Way) {
        if let Fault::Delay(time) = self.fault() {
            monoio::time::sleep(time).await;
        }
        while self.muted.load(Ordering::SeqCst) > number || self.blocks(way) {
            monoio::time::sleep(LOOK).await;
        }
    }

    /// Whether nothing passes `way` now.
    pub(super) fn blocks(&self, way: Way) -> bool {
        match self.fault() {
            Fault::None | Fault::Delay(_) => false,
            Fault::Cut(cut) => cut == way,
            Fault::Silence => true,
        }
    }
}
